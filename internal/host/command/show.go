package command

import (
	"encoding/json"
	"fmt"
	"runtime/debug"
	"text/tabwriter"

	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// show writes value as JSON, or calls text.
func (o output) show(streams Streams, value any, text func() error) error {
	if o.Output != "json" {
		return text()
	}
	encoder := json.NewEncoder(streams.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// table writes rows in aligned columns.
func table(streams Streams, rows [][]string) error {
	w := tabwriter.NewWriter(streams.Out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				_, _ = fmt.Fprint(w, "\t")
			}
			_, _ = fmt.Fprint(w, cell)
		}
		_, _ = fmt.Fprintln(w)
	}
	return w.Flush()
}

type eventsCommand struct {
	output
}

func (c eventsCommand) Run(streams Streams) error {
	all := event.Catalog()
	return c.show(streams, all, func() error {
		rows := [][]string{{"EVENT", "SEVERITY", "TEXT", "CAUSE", "ACTION"}}
		for _, e := range all {
			rows = append(rows, []string{e.Number.String(), string(e.Severity), e.Text, e.Cause, e.Action})
		}
		return table(streams, rows)
	})
}

type versionCommand struct {
	output
}

type versionInfo struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

func (c versionCommand) Run(streams Streams) error {
	info := versionInfo{Version: "unknown", Go: "unknown"}
	if build, ok := debug.ReadBuildInfo(); ok {
		info.Version, info.Go = build.Main.Version, build.GoVersion
	}
	return c.show(streams, info, func() error {
		_, err := fmt.Fprintf(streams.Out, "hyssopwall %s, %s\n", info.Version, info.Go)
		return err
	})
}
