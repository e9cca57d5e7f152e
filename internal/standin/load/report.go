package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms in microseconds, and their precision in digits.
const (
	lowest  = 1
	highest = int64(10 * time.Minute / time.Microsecond)
	digits  = 3
)

// Line is what one workspace met. Times count from when a request was due.
type Line struct {
	Workspace string         `json:"workspace"`
	Sent      int            `json:"sent"`
	Answered  int            `json:"answered"`
	Good      int            `json:"good"`
	Wrong     int            `json:"wrong"`
	Tokens    int            `json:"tokens"`
	Errors    map[string]int `json:"errors"`
	P50       time.Duration  `json:"p50"`
	P99       time.Duration  `json:"p99"`
	Max       time.Duration  `json:"max"`
	First     time.Duration  `json:"first"`   // median time to the first token
	Goodput   float64        `json:"goodput"` // good answers per second
}

// Report is the result of a run.
type Report struct {
	Elapsed time.Duration `json:"elapsed"`
	Lines   []Line        `json:"lines"`
	Worst   string        `json:"worst"` // worst-served workspace
	Wrong   int           `json:"wrong"`
}

// meter measures one workspace.
type meter struct {
	mu     sync.Mutex
	target time.Duration
	line   Line
	times  *hdrhistogram.Histogram
	firsts *hdrhistogram.Histogram
}

func newMeter(name string, target time.Duration) *meter {
	return &meter{
		target: target,
		line:   Line{Workspace: name, Errors: make(map[string]int)},
		times:  hdrhistogram.New(lowest, highest, digits),
		firsts: hdrhistogram.New(lowest, highest, digits),
	}
}

func (m *meter) fail(code string) {
	m.add(result{code: code}, 0)
}

func (m *meter) add(result result, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.line.Sent++
	if result.code != "" {
		m.line.Errors[result.code]++
		return
	}
	m.line.Answered++
	m.line.Tokens += result.tokens
	if result.wrong {
		m.line.Wrong++
	} else if m.target == 0 || took <= m.target {
		m.line.Good++
	}
	_ = m.times.RecordValue(min(took.Microseconds(), highest))
	if result.first > 0 {
		_ = m.firsts.RecordValue(min(result.first.Microseconds(), highest))
	}
}

func (m *meter) summary(elapsed time.Duration) Line {
	m.mu.Lock()
	defer m.mu.Unlock()
	line := m.line
	line.P50 = quantile(m.times, 50)
	line.P99 = quantile(m.times, 99)
	line.Max = time.Duration(m.times.Max()) * time.Microsecond
	line.First = quantile(m.firsts, 50)
	line.Goodput = float64(line.Good) / elapsed.Seconds()
	return line
}

func quantile(histogram *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(histogram.ValueAtQuantile(percent)) * time.Microsecond
}

func summarize(meters []*meter, elapsed time.Duration) Report {
	report := Report{Elapsed: elapsed}
	for _, m := range meters {
		line := m.summary(elapsed)
		report.Lines = append(report.Lines, line)
		report.Wrong += line.Wrong
	}
	report.Worst = worst(report.Lines)
	return report
}

// worst returns the workspace with the smallest share of good answers, and
// among equals the one with the greatest 99th percentile.
func worst(lines []Line) string {
	var found *Line
	for i := range lines {
		line := &lines[i]
		if line.Sent == 0 {
			continue
		}
		if found == nil || line.share() < found.share() || line.share() == found.share() && line.P99 > found.P99 {
			found = line
		}
	}
	if found == nil {
		return ""
	}
	return found.Workspace
}

func (l *Line) share() float64 { return float64(l.Good) / float64(l.Sent) }
