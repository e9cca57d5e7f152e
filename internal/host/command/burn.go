package command

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/billing/burn"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
)

type burnCommand struct {
	output
	Host []string `required:"" help:"Address of a host for callers, http://IP:port; may be given more than once."`
	HTML string   `name:"html" placeholder:"FILE" help:"Also write the report as an HTML page with plots."`
}

// burnReport is what report burn shows. Missing names the hosts that did not
// answer, whose counts are not in the figures.
type burnReport struct {
	burn.Report
	Missing []string `json:"missing,omitempty"`
}

// Run merges the snapshots of the hosts. It fails when a host is missing,
// after it has shown the figures of the others.
func (c burnCommand) Run(ctx context.Context, streams Streams) error {
	var merged burn.Merged
	var missing []string
	for _, address := range c.Host {
		if err := addSnapshot(ctx, &merged, address); err != nil {
			missing = append(missing, address+": "+err.Error())
		}
	}
	report := burnReport{Report: merged.Report(time.Now()), Missing: missing}
	if c.HTML != "" {
		page, err := report.Page()
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.HTML, page, 0o644); err != nil { //nolint:gosec // a report for readers
			return err
		}
	}
	if err := c.show(streams, report, func() error { return writeBurn(streams, report) }); err != nil {
		return err
	}
	if len(missing) > 0 {
		return &FailedError{Reason: fmt.Sprintf("%d of %d hosts are missing from the figures", len(missing), len(c.Host))}
	}
	return nil
}

func addSnapshot(ctx context.Context, merged *burn.Merged, address string) error {
	ctx, stop := context.WithTimeout(ctx, statusTimeout)
	defer stop()
	body, err := rest.Caller{Base: address}.Do(ctx, rest.Call{Method: http.MethodGet, Path: "/debug/burn"})
	if err != nil {
		return err
	}
	snapshot, err := wire.Decode[burn.Snapshot](body)
	if err != nil {
		return err
	}
	_, err = merged.Add(snapshot)
	return err
}

func writeBurn(streams Streams, report burnReport) error {
	for _, line := range report.Missing {
		_, _ = fmt.Fprintf(streams.Out, "missing %s\n", line)
	}
	if report.Dropped > 0 {
		_, _ = fmt.Fprintf(streams.Out, "%d events were not counted for want of room\n", report.Dropped)
	}
	head := []string{"WORKSPACE", "ROUTE", "OBJECTIVE", "TARGET"}
	for _, window := range burn.Windows() {
		head = append(head, strings.ToUpper(window.Name))
	}
	rows := [][]string{append(head, "LEFT", "P50", "P99", "ALARM")}
	for _, workspace := range report.Workspaces {
		for _, line := range workspace.Lines {
			rows = append(rows, burnRow(workspace.Workspace, line))
		}
	}
	return table(streams, rows)
}

func burnRow(workspace string, line burn.Line) []string {
	objective := line.Measure
	if line.Within != "" {
		objective += " " + line.Within
	}
	row := []string{workspace, orDash(line.Route), objective, burn.FormatShare(line.Target)}
	for _, rate := range line.Rates {
		row = append(row, burn.FormatBurn(rate.Burn))
	}
	median, slow := "-", "-"
	if line.Times != nil && line.Times.Count > 0 {
		median, slow = fmt.Sprintf("%.3fs", line.Times.Median), fmt.Sprintf("%.3fs", line.Times.P99)
	}
	return append(row, burn.FormatShare(line.Left), median, slow, orDash(string(line.Alarm)))
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
