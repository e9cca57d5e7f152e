// Package command is the command line of hyssopstand, which runs each stand-in
// as a program.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1 // the thing asked failed, or a promise was broken
	exitUse    = 2
)

// program is the command line.
type program struct {
	Platform platformCommand `cmd:"" help:"Run the platform: objects, supply, reports, host list and weights."`
	Weights  weightsCommand  `cmd:"" help:"Run a weight store alone."`
	Engine   engineCommand   `cmd:"" help:"Run a model engine."`
	Service  serviceCommand  `cmd:"" help:"Run a plain service that echoes."`
	Scorer   scorerCommand   `cmd:"" help:"Run a scoring service."`
	Trainer  trainerCommand  `cmd:"" help:"Open steps and pull their samples."`
	Load     loadCommand     `cmd:"" help:"Send an open load and report latency."`
	Faults   faultsCommand   `cmd:"" help:"List the faults that --fault takes."`
}

// environment is what a command runs in.
type environment struct {
	ctx context.Context
	out io.Writer
}

// BrokenError says that a run broke promises or failed.
type BrokenError struct {
	Count int
}

func (e *BrokenError) Error() string { return fmt.Sprintf("%d checks failed", e.Count) }

// quit carries the exit code out of kong, which ends the process otherwise.
type quit struct {
	code int
}

// Run runs the command line until the context ends, and returns the exit code.
func Run(ctx context.Context, args []string, out, problems io.Writer) (code int) {
	defer func() {
		switch cause := recover().(type) {
		case nil:
		case quit:
			code = cause.code
		default:
			panic(cause)
		}
	}()
	var parsed program
	parser, err := kong.New(&parsed,
		kong.Name("hyssopstand"),
		kong.Description("Stand-ins for the systems around hyssopwall."),
		kong.Writers(out, problems),
		kong.Exit(func(code int) { panic(quit{code}) }),
	)
	if err != nil {
		_, _ = fmt.Fprintln(problems, err)
		return exitFailed
	}
	chosen, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintln(problems, "hyssopstand:", err)
		return exitUse
	}
	if err := chosen.Run(environment{ctx, out}); err != nil {
		_, _ = fmt.Fprintln(problems, "hyssopstand:", err)
		return exitOf(err)
	}
	return exitDone
}

// UseError says that a flag is wrong.
type UseError struct {
	Flag string
	Err  error
}

func (e *UseError) Error() string { return "--" + e.Flag + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UseError) Unwrap() error { return e.Err }

func exitOf(err error) int {
	if _, wrong := errors.AsType[*UseError](err); wrong {
		return exitUse
	}
	return exitFailed
}
