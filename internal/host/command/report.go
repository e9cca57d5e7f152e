package command

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/hyssopwall/hyssopwall/internal/billing/usage"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/platform/report"
)

// reportCommand groups the commands that show reports.
type reportCommand struct {
	Burn  burnCommand  `cmd:"" help:"Show how fast workspaces use up the error budgets of their objectives."`
	Usage usageCommand `cmd:"" help:"Show the sealed usage windows, recomputed from their counters."`
}

// usageCommand is "report usage".
type usageCommand struct {
	output
	Platform string `required:"" help:"Address of the platform, http://IP:port."`
}

// usageWindow is one sealed window as it was reported. Matches reports whether its lines
// equal those recomputed from the counters that it lists.
type usageWindow struct {
	Window  string        `json:"window"`
	Holder  string        `json:"holder"`
	Lines   []report.Line `json:"lines"`
	Matches bool          `json:"matches"`
}

// Run reads every sealed window, recomputes its lines and shows them. It fails if the
// lines of a window don't match.
func (c usageCommand) Run(ctx context.Context, streams Streams) error {
	batch, err := (&object.Client{Base: c.Platform}).List(ctx, usage.WindowPrefix)
	if err != nil {
		return err
	}
	windows, err := auditWindows(batch)
	if err != nil {
		return err
	}
	if err := c.show(streams, windows, func() error { return writeUsage(streams, windows) }); err != nil {
		return err
	}
	for _, window := range windows {
		if !window.Matches {
			return &FailedError{Reason: "figures of window " + window.Window + " do not match its counters"}
		}
	}
	return nil
}

// auditWindows decodes the sealed windows and checks each against its counters.
func auditWindows(batch object.Batch) ([]usageWindow, error) {
	var sealed []usage.SealedWindow
	for _, stored := range batch.Objects {
		var window usage.SealedWindow
		if err := json.Unmarshal(stored.Value, &window); err != nil {
			return nil, fmt.Errorf("%s: %w", stored.Key, err)
		}
		sealed = append(sealed, window)
	}
	matches, err := usage.Audit(sealed)
	if err != nil {
		return nil, err
	}
	windows := []usageWindow{}
	for i, window := range sealed {
		windows = append(windows, usageWindow{Window: window.Window.String(), Holder: window.Holder, Lines: window.Lines, Matches: matches[i]})
	}
	return windows, nil
}

// writeUsage writes a row for each line of each window.
func writeUsage(streams Streams, windows []usageWindow) error {
	rows := [][]string{{"WINDOW", "WORKSPACE", "REQUESTS", "TOKENS", "SAMPLES", "ADJUSTS", "RECOMPUTED"}}
	for _, window := range windows {
		for _, line := range window.Lines {
			rows = append(rows, []string{
				window.Window, line.Workspace, strconv.FormatUint(line.Requests, 10), strconv.FormatUint(line.Tokens, 10),
				strconv.FormatUint(line.Samples, 10), line.Adjusts, strconv.FormatBool(window.Matches),
			})
		}
	}
	return table(streams, rows)
}
