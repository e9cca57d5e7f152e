package command

import (
	"encoding/json"
	"fmt"
	"runtime/debug"
	"text/tabwriter"

	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// show writes value as indented JSON if --output is json; otherwise it calls writeText.
func (o output) show(streams Streams, value any, writeText func() error) error {
	if o.Output != "json" {
		return writeText()
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

// eventsCommand is "events".
type eventsCommand struct {
	output
}

// Run lists every event that a host can log, with its cause and the operator's action.
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

// versionCommand is "version".
type versionCommand struct {
	output
}

// versionInfo is the output of "version".
type versionInfo struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

// Run shows the versions of the program and of Go from the build information, or
// "unknown" if the binary has none.
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
