package command

import (
	"context"
	"fmt"

	"github.com/hyssopwall/hyssopwall/internal/host/demo"
)

// demoCommand is "demo": it runs example deployments in this process and checks them.
type demoCommand struct {
	output
	Deployment string `enum:"forge,consortium,both" default:"both" help:"The site to run: forge, consortium or both."`
	Seconds    int    `default:"10" help:"Length of the workload in seconds."`
	Seed       uint64 `default:"1" help:"Seed of the load."`
	Hold       bool   `help:"Keep the site running after the report, until interrupted."`
}

// Run runs the chosen deployments one after the other and shows their reports. It fails
// if a promise was broken. With --hold each report is shown as soon as it is complete,
// since its site then runs until interrupted.
func (c demoCommand) Run(ctx context.Context, streams Streams) error {
	if c.Seconds < 1 {
		return &usageError{reason: "--seconds must be 1 or more"}
	}
	settings := demo.Settings{Seconds: c.Seconds, Seed: c.Seed, Progress: streams.Err}
	if c.Hold {
		settings.OnReport = func(report demo.Report) error { return c.write(streams, []demo.Report{report}) }
	}
	var reports []demo.Report
	broken := 0
	for _, deployment := range c.deployments() {
		report, err := demo.Run(ctx, deployment, settings)
		if err != nil {
			return err
		}
		reports = append(reports, report)
		broken += report.Broken()
	}
	if !c.Hold {
		if err := c.write(streams, reports); err != nil {
			return err
		}
	}
	if broken > 0 {
		return &FailedError{Reason: fmt.Sprintf("%d promises broken", broken)}
	}
	return nil
}

// write shows the reports.
func (c demoCommand) write(streams Streams, reports []demo.Report) error {
	return c.show(streams, reports, func() error {
		for _, report := range reports {
			if err := report.Write(streams.Out); err != nil {
				return err
			}
		}
		return nil
	})
}

// deployments returns the deployments that --deployment selects.
func (c demoCommand) deployments() []demo.Deployment {
	switch c.Deployment {
	case "forge":
		return []demo.Deployment{demo.Forge()}
	case "consortium":
		return []demo.Deployment{demo.Consortium()}
	default:
		return []demo.Deployment{demo.Forge(), demo.Consortium()}
	}
}
