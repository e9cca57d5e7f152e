package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/platform/weightstore"
	"github.com/hyssopwall/hyssopwall/internal/standin/caller"
	"github.com/hyssopwall/hyssopwall/internal/standin/load"
	"github.com/hyssopwall/hyssopwall/internal/standin/trainer"
)

// reportFlags holds the flags of commands that print a report.
type reportFlags struct {
	Output string `default:"text" enum:"text,json" help:"Form of the report."`
}

// write writes a report as JSON or with the given text function.
func (f reportFlags) write(out io.Writer, report any, text func(io.Writer)) error {
	if f.Output == "json" {
		return json.NewEncoder(out).Encode(report)
	}
	text(out)
	return nil
}

// trainerCommand runs a trainer against entry hosts.
type trainerCommand struct {
	reportFlags
	To        []string      `required:"" help:"URL of an entry host; may be repeated."`
	Key       string        `required:"" env:"HYSSOP_KEY" help:"Key of the workspace."`
	Name      string        `default:"trainer" help:"Name of the trainer."`
	Model     string        `required:"" help:"Model to sample from."`
	Steps     int           `default:"1" help:"Steps to do; 0 for no end."`
	First     int           `default:"1" help:"Number of the first step."`
	Groups    int           `default:"4" help:"Groups of a step."`
	Samples   int           `default:"8" help:"Samples of a group."`
	MaxTokens int           `default:"64" help:"Most tokens of a sample."`
	Bound     uint64        `default:"1" help:"Greatest age of a sample in versions."`
	Deadline  time.Duration `default:"20m" help:"Deadline of a step."`
	Score     string        `help:"Name of the scoring service."`
	Training  time.Duration `default:"1s" help:"Time that the training of a step takes."`
	Weights   string        `help:"URL of the weight store, to know the newest version."`
}

// Run runs the trainer and prints its report. It fails if a step failed or a delivery
// guarantee was violated.
func (c *trainerCommand) Run(env environment) error {
	groups := make([]trainer.Group, c.Groups)
	for i := range groups {
		groups[i] = trainer.Group{Prompt: fmt.Sprintf("%s asks for part %d", c.Name, i), Samples: c.Samples, Seed: int64(i)}
	}
	settings := trainer.Settings{
		Client:   &caller.Client{Hosts: c.To, Key: c.Key},
		Name:     c.Name,
		Model:    c.Model,
		Bound:    c.Bound,
		Deadline: c.Deadline,
		Tokens:   c.MaxTokens,
		Groups:   groups,
		Score:    c.Score,
		Training: c.Training,
	}
	if c.Weights != "" {
		settings.Newest = c.newest(env)
	}
	running := trainer.New(settings)
	running.Run(env.ctx, c.First, c.Steps)
	report := running.Report()
	if err := c.write(env.out, report, func(out io.Writer) { writeTrainerReport(out, report) }); err != nil {
		return err
	}
	if count := report.Violations() + report.Failed; count > 0 {
		return &ChecksFailedError{count}
	}
	return nil
}

// newest returns a function that gets the newest weights version from the weight store.
// If the store fails, the function returns the newest version known before.
func (c *trainerCommand) newest(env environment) func() uint64 {
	store := &weightstore.Client{Base: c.Weights, Source: c.Name}
	known := uint64(0)
	return func() uint64 {
		release, err := store.Newest(env.ctx, c.Model)
		if err == nil {
			known = max(known, release.Version)
		}
		return known
	}
}

// writeTrainerReport writes the report of a trainer as text.
func writeTrainerReport(out io.Writer, r trainer.Report) {
	_, _ = fmt.Fprintf(out, "steps %d whole %d late %d failed %d\n", r.Steps, r.Whole, r.Late, r.Failed)
	_, _ = fmt.Fprintf(out, "samples %d tokens %d ages %v\n", r.Samples, r.Tokens, r.Ages)
	_, _ = fmt.Fprintf(out, "idle %s busy %s errors %v\n", r.Idle.Round(time.Millisecond), r.Busy.Round(time.Millisecond), r.Errors)
	_, _ = fmt.Fprintf(out, "broken %d (doubled %d missing %d foreign %d damaged %d bare %d stale %d wrong %d backward %d)\n",
		r.Violations(), r.Doubled, r.Missing, r.Foreign, r.Damaged, r.Unversioned, r.Stale, r.Wrong, r.Backward)
}

// loadCommand generates load against entry hosts.
type loadCommand struct {
	reportFlags
	To        []string      `required:"" help:"URL of an entry host; may be repeated."`
	Workspace []string      `required:"" sep:"none" help:"NAME,KEY,KIND,RATE,TARGET with KIND completion, stream or service, RATE a second, and TARGET a model or a service; may be repeated."`
	Seconds   float64       `default:"10" help:"Length of the load."`
	Seed      uint64        `default:"1" help:"Seed of the arrivals."`
	Good      time.Duration `default:"2s" help:"Time within which an answer is good."`
	Trust     bool          `help:"Don't compare texts with those of the engine stand-in."`
}

// Run generates the load and prints its report. It fails if a response was wrong, but not
// if a request ended with an error.
func (c *loadCommand) Run(env environment) error {
	settings := load.Settings{
		Hosts:         c.To,
		Duration:      time.Duration(c.Seconds * float64(time.Second)),
		Seed:          c.Seed,
		Target:        c.Good,
		SkipTextCheck: c.Trust,
	}
	for _, text := range c.Workspace {
		workspace, err := parseWorkspace(text)
		if err != nil {
			return &UsageError{"workspace", err}
		}
		settings.Workspaces = append(settings.Workspaces, workspace)
	}
	report := load.Run(env.ctx, settings)
	if err := c.write(env.out, report, func(out io.Writer) { writeLoadReport(out, report) }); err != nil {
		return err
	}
	if report.Wrong > 0 {
		return &ChecksFailedError{report.Wrong}
	}
	return nil
}

// parseWorkspace parses NAME,KEY,KIND,RATE,TARGET. Its error does not name the flag.
func parseWorkspace(text string) (load.Workspace, error) {
	parts := strings.Split(text, ",")
	if len(parts) != 5 {
		return load.Workspace{}, fmt.Errorf("%d parts, not NAME,KEY,KIND,RATE,TARGET", len(parts))
	}
	rate, err := strconv.ParseFloat(parts[3], 64)
	if err != nil || rate <= 0 {
		return load.Workspace{}, fmt.Errorf("%q is no rate", parts[3])
	}
	workspace := load.Workspace{Name: parts[0], Key: parts[1], Kind: load.Kind(parts[2]), Rate: rate}
	switch workspace.Kind {
	case load.Completion, load.Stream:
		workspace.Model = parts[4]
	case load.Service:
		workspace.Service = parts[4]
	default:
		return load.Workspace{}, fmt.Errorf("%q is no kind", parts[2])
	}
	return workspace, nil
}

// writeLoadReport writes the report of a load run as a table.
func writeLoadReport(out io.Writer, report load.Report) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "workspace\tsent\tanswered\tgood\twrong\tgoodput/s\tp50\tp99\tmax\terrors")
	for _, l := range report.Lines {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%.1f\t%s\t%s\t%s\t%v\n",
			l.Workspace, l.Sent, l.Answered, l.Good, l.Wrong, l.Goodput, l.P50, l.P99, l.Max, l.Errors)
	}
	_ = table.Flush()
	_, _ = fmt.Fprintf(out, "worst-served workspace: %s\n", report.Worst)
}
