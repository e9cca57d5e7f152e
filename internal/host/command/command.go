// Package command implements the command line of hyssopwall.
//
// Exit codes: 0 success; 1 the command failed or its check found a problem; 2 incorrect
// usage.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// Exit codes of the program.
const (
	ExitDone   = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// commandLine declares the commands of the program; kong parses arguments into it.
type commandLine struct {
	Serve    serveCommand    `cmd:"" help:"Run this host."`
	Demo     demoCommand     `cmd:"" help:"Run several hosts and simulated outside systems in this process and check every promise."`
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

// output is embedded in the commands that show a result; it adds the flag --output.
type output struct {
	Output string `enum:"text,json" default:"text" help:"Format of the output: text or json."`
}

// Streams holds the output streams of the program: results go to Out, errors to Err.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// FailedError reports that a command ran but its check failed or its goal wasn't reached.
// A command with a result has shown it by then. The exit code is ExitFailed.
type FailedError struct {
	Reason string
}

func (e *FailedError) Error() string { return e.Reason }

// Run parses args, runs the command and returns the exit code. Canceling ctx ends long
// commands; serve then shuts down gracefully.
func Run(ctx context.Context, args []string, streams Streams) int {
	var parsed commandLine
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
	selected, err := parser.Parse(args)
	if exit >= 0 { // kong has shown the help
		return exit
	}
	if err != nil {
		return fail(streams, err, ExitUsage)
	}
	selected.BindTo(ctx, (*context.Context)(nil))
	err = selected.Run(streams)
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

// usageError reports incorrect usage that the parser doesn't detect; the exit code is
// ExitUsage.
type usageError struct {
	reason string
}

func (e *usageError) Error() string { return e.reason }

// fail writes err to the error stream and returns code.
func fail(streams Streams, err error, code int) int {
	_, _ = fmt.Fprintf(streams.Err, "hyssopwall: %v\n", err)
	return code
}
