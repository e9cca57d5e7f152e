// Package command implements the command line of hyssopstand, which runs each
// stand-in as a program of its own.
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
	exitFailed = 1 // the command failed, or one of its checks did
	exitUsage  = 2 // invalid arguments
)

// program holds the commands of the command line.
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

// environment holds the context of a command and the writer for its output.
type environment struct {
	ctx context.Context
	out io.Writer
}

// ChecksFailedError reports the number of failed checks of a run.
type ChecksFailedError struct {
	Count int
}

func (e *ChecksFailedError) Error() string { return fmt.Sprintf("%d checks failed", e.Count) }

// exitPanic carries the exit code out of kong, which would end the process otherwise.
type exitPanic struct {
	code int
}

// Run runs the command line until it is done or the context ends, and returns the exit
// code. The end of the context is no failure: the code is 0 unless a check failed.
func Run(ctx context.Context, args []string, out, errOut io.Writer) (code int) {
	defer func() {
		switch cause := recover().(type) {
		case nil:
		case exitPanic:
			code = cause.code
		default:
			panic(cause)
		}
	}()
	var parsed program
	parser, err := kong.New(&parsed,
		kong.Name("hyssopstand"),
		kong.Description("Stand-ins for the systems around hyssopwall."),
		kong.Writers(out, errOut),
		kong.Exit(func(code int) { panic(exitPanic{code}) }),
	)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return exitFailed
	}
	chosen, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "hyssopstand:", err)
		return exitUsage
	}
	if err := chosen.Run(environment{ctx, out}); err != nil {
		_, _ = fmt.Fprintln(errOut, "hyssopstand:", err)
		return exitCode(err)
	}
	return exitDone
}

// UsageError reports an invalid value of a flag.
type UsageError struct {
	Flag string
	Err  error
}

func (e *UsageError) Error() string { return "--" + e.Flag + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Err }

// exitCode returns the exit code for an error of a command: exitUsage for a *UsageError,
// exitFailed for any other.
func exitCode(err error) int {
	if _, wrong := errors.AsType[*UsageError](err); wrong {
		return exitUsage
	}
	return exitFailed
}
