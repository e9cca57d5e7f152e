// Package command is the command line of hyssopwall.
//
// Exit codes: 0 done; 1 the thing asked is not so or failed; 2 wrong use.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// The exit codes of the program.
const (
	ExitDone   = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// line is the whole command line.
type line struct {
	Serve    serveCommand    `cmd:"" help:"Run this host."`
	Demo     demoCommand     `cmd:"" help:"Run several hosts and stand-ins in this process and check every promise."`
	Check    checkCommand    `cmd:"" help:"Check a document or a settings file."`
	Document documentCommand `cmd:"" help:"Show the accepted document and its history."`
	Schema   schemaCommand   `cmd:"" help:"Print the JSON Schema of the document."`
	Submit   submitCommand   `cmd:"" help:"Submit a document and wait until it is in force."`
	Status   statusCommand   `cmd:"" help:"Show hosts, zones, backend servers and leases."`
	Report   reportCommand   `cmd:"" help:"Show reports."`
	Key      keyCommand      `cmd:"" help:"Make keys and certificates."`
	Events   eventsCommand   `cmd:"" help:"List the numbered events."`
	Version  versionCommand  `cmd:"" help:"Show the version."`
}

// output is the flag of commands that show something.
type output struct {
	Output string `enum:"text,json" default:"text" help:"Form of the output: text or json."`
}

// Streams are the standard streams of the program.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// FailedError says that the thing asked is not so, after the command has shown
// why.
type FailedError struct {
	Reason string
}

func (e *FailedError) Error() string { return e.Reason }

// Run parses and runs a command line and returns the exit code. Ctx ends long
// commands; serve then stops gracefully.
func Run(ctx context.Context, args []string, streams Streams) int {
	var parsed line
	exit := -1
	parser, err := kong.New(&parsed,
		kong.Name("hyssopwall"),
		kong.Description("A rollout service for reinforcement learning."),
		kong.Writers(streams.Out, streams.Err),
		kong.Exit(func(code int) { exit = code }),
	)
	if err != nil {
		return fail(streams, err, ExitUsage)
	}
	chosen, err := parser.Parse(args)
	if exit >= 0 { // help was asked for and shown
		return exit
	}
	if err != nil {
		return fail(streams, err, ExitUsage)
	}
	chosen.BindTo(ctx, (*context.Context)(nil))
	err = chosen.Run(streams)
	var usage *usageError
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &usage):
		return fail(streams, err, ExitUsage)
	default:
		return fail(streams, err, ExitFailed)
	}
}

// usageError is wrong use that the parser can't see.
type usageError struct {
	reason string
}

func (e *usageError) Error() string { return e.reason }

func fail(streams Streams, err error, code int) int {
	_, _ = fmt.Fprintf(streams.Err, "hyssopwall: %v\n", err)
	return code
}
