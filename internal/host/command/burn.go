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

// burnCommand is "report burn": the error budgets of workspaces, merged from several hosts.
type burnCommand struct {
	output
	Host []string `required:"" help:"Address of a host for callers, http://IP:port; may be given more than once."`
	HTML string   `name:"html" placeholder:"FILE" help:"Also write the report as an HTML page with plots."`
}

// burnReport is the output of "report burn". Missing names each host whose snapshot
// couldn't be fetched or merged, with the error; its counts are not in the figures.
type burnReport struct {
	burn.Report
	Missing []string `json:"missing,omitempty"`
}

// Run merges the snapshots of the hosts and shows the report. If a host is missing, it
// still shows the figures of the others and then fails.
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
		if err := os.WriteFile(c.HTML, page, 0o644); err != nil { //nolint:gosec // the report holds no secrets and is meant to be shared
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

// addSnapshot fetches the burn counts of one host and adds them to merged.
func addSnapshot(ctx context.Context, merged *burn.Merged, address string) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
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

// writeBurn writes the report as text: the missing hosts, then a line for each objective.
func writeBurn(streams Streams, report burnReport) error {
	for _, line := range report.Missing {
		_, _ = fmt.Fprintf(streams.Out, "missing %s\n", line)
	}
	if report.Dropped > 0 {
		_, _ = fmt.Fprintf(streams.Out, "%d events were not counted: a host had too many series\n", report.Dropped)
	}
	header := []string{"WORKSPACE", "ROUTE", "OBJECTIVE", "TARGET"}
	for _, window := range burn.Windows() {
		header = append(header, strings.ToUpper(window.Name))
	}
	rows := [][]string{append(header, "LEFT", "P50", "P99", "ALARM")}
	for _, workspace := range report.Workspaces {
		for _, line := range workspace.Lines {
			rows = append(rows, burnRow(workspace.Workspace, line))
		}
	}
	return table(streams, rows)
}

// burnRow returns the table row of one objective of a workspace.
func burnRow(workspace string, line burn.Line) []string {
	objective := line.Measure
	if line.Within != "" {
		objective += " " + line.Within
	}
	row := []string{workspace, orDash(line.Route), objective, burn.FormatShare(line.Target)}
	for _, rate := range line.Rates {
		row = append(row, burn.FormatBurn(rate.Burn))
	}
	median, p99 := "-", "-"
	if line.Times != nil && line.Times.Count > 0 {
		median, p99 = fmt.Sprintf("%.3fs", line.Times.Median), fmt.Sprintf("%.3fs", line.Times.P99)
	}
	return append(row, burn.FormatShare(line.Left), median, p99, orDash(string(line.Alarm)))
}

// orDash returns text, or "-" for an empty cell.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
