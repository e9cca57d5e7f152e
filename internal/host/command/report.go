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

type reportCommand struct {
	Burn  burnCommand  `cmd:"" help:"Show how fast workspaces use up the budgets of their objectives."`
	Usage usageCommand `cmd:"" help:"Show the sealed usage windows, recomputed from their counters."`
}

type usageCommand struct {
	output
	Platform string `required:"" help:"Address of the platform, http://IP:port."`
}

// usageWindow is one sealed window as it was reported, and whether its figures
// follow from the counters that it lists.
type usageWindow struct {
	Window  string        `json:"window"`
	Holder  string        `json:"holder"`
	Lines   []report.Line `json:"lines"`
	Matches bool          `json:"matches"`
}

// Run reads every sealed window and recomputes its lines.
func (c usageCommand) Run(ctx context.Context, streams Streams) error {
	batch, err := (&object.Client{Base: c.Platform}).List(ctx, usage.WindowPrefix)
	if err != nil {
		return err
	}
	windows, err := recompute(batch)
	if err != nil {
		return err
	}
	if err := c.show(streams, windows, func() error { return writeUsage(streams, windows) }); err != nil {
		return err
	}
	for _, window := range windows {
		if !window.Matches {
			return &FailedError{Reason: "figures of window " + window.Window + " do not follow from its counters"}
		}
	}
	return nil
}

func recompute(batch object.Batch) ([]usageWindow, error) {
	var sealed []usage.SealedWindow
	for _, found := range batch.Objects {
		var one usage.SealedWindow
		if err := json.Unmarshal(found.Value, &one); err != nil {
			return nil, fmt.Errorf("%s: %w", found.Key, err)
		}
		sealed = append(sealed, one)
	}
	matches, err := usage.Audit(sealed)
	if err != nil {
		return nil, err
	}
	windows := []usageWindow{}
	for i, one := range sealed {
		windows = append(windows, usageWindow{Window: one.Window.String(), Holder: one.Holder, Lines: one.Lines, Matches: matches[i]})
	}
	return windows, nil
}

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
