package burn

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"strings"
)

//go:embed page.html
var pageSource string

// The size of a plot in units of its viewBox.
const (
	plotWidth  = 360.0
	plotHeight = 80.0
)

// minTop is the smallest burn rate at the top of a plot, so that low burn rates do
// not fill the plot.
const minTop = 2.0

// Page renders the report as one HTML page without scripts or references to other
// files.
func (r Report) Page() ([]byte, error) {
	page, err := template.New("page").Funcs(template.FuncMap{
		"plot": newPlot, "rate": FormatBurn, "share": FormatShare, "join": strings.Join,
	}).Parse(pageSource)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	if err := page.Execute(&out, r); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// FormatBurn formats a burn rate, without decimals from 10 on and with two below.
func FormatBurn(burn float64) string {
	if burn >= 10 {
		return fmt.Sprintf("%.0f", burn)
	}
	return fmt.Sprintf("%.2f", burn)
}

// FormatShare formats a share as a percentage with one decimal, so that 0.9996 gives
// "100.0%".
func FormatShare(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) }

// plot is the geometry of a plot of burn rates over time.
type plot struct {
	Title  string
	From   string // time of the first bucket
	To     string // time of the last bucket
	Top    string // burn rate at the top
	Width  float64
	Height float64
	Limit  float64 // y coordinate of the line for a burn rate of 1
	Bars   []bar
}

// bar shows the burn rate of one bucket that contains events.
type bar struct {
	X, Y, Width, Height float64
	Hot                 bool // burn rate above 1
	Text                string
}

// newPlot returns the plot of points of equal distance in time.
func newPlot(title string, points []Point) plot {
	p := plot{Title: title, Width: plotWidth, Height: plotHeight}
	if len(points) == 0 {
		return p
	}
	top := minTop
	for _, point := range points {
		top = max(top, point.Burn)
	}
	width := plotWidth / float64(len(points))
	for i, point := range points {
		if point.Good+point.Bad == 0 {
			continue
		}
		height := max(1, plotHeight*point.Burn/top) // a bucket without bad events differs from an empty one
		p.Bars = append(p.Bars, bar{
			X: float64(i) * width, Y: plotHeight - height, Width: width * 0.8, Height: height, Hot: point.Burn > 1,
			Text: fmt.Sprintf("%s: burn %s, %d good, %d bad", point.At.Format("01-02 15:04"), FormatBurn(point.Burn), point.Good, point.Bad),
		})
	}
	p.Top, p.Limit = FormatBurn(top), plotHeight-plotHeight/top
	p.From, p.To = points[0].At.Format("01-02 15:04"), points[len(points)-1].At.Format("01-02 15:04")
	return p
}
