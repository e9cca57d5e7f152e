package command

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/hyssopwall/hyssopwall/internal/site/document"
	"github.com/hyssopwall/hyssopwall/internal/site/form"
	"github.com/hyssopwall/hyssopwall/internal/site/settings"
)

// checkCommand is "check": it validates a file without submitting or loading it.
type checkCommand struct {
	output
	File string `arg:"" help:"The file."`
	Kind string `enum:"auto,document,settings" default:"auto" help:"What the file is: document, settings, or auto."`
}

// checkResult is the output of "check".
type checkResult struct {
	File     string         `json:"file"`
	Kind     string         `json:"kind"`
	Problems []form.Problem `json:"problems"`
}

// Run decodes the file and shows every problem found, with its line and column. It fails
// if there is any.
func (c checkCommand) Run(streams Streams) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return &usageError{reason: err.Error()}
	}
	result := checkResult{File: c.File, Kind: c.kind(data), Problems: []form.Problem{}}
	if result.Kind == "settings" {
		_, err = settings.Decode(c.File, data)
	} else {
		_, err = document.Decode(c.File, data)
	}
	var problems *form.ProblemsError
	if errors.As(err, &problems) {
		result.Problems = problems.Problems
	}
	if err := c.show(streams, result, func() error { return result.writeText(streams) }); err != nil {
		return err
	}
	if len(result.Problems) > 0 {
		return &FailedError{Reason: fmt.Sprintf("%d problems", len(result.Problems))}
	}
	return nil
}

// kind returns the kind that the user chose. For auto it takes a file with the field
// "certificate" or "listen", which only settings have, for settings.
func (c checkCommand) kind(data []byte) string {
	switch {
	case c.Kind != "auto":
		return c.Kind
	case strings.Contains(string(data), `"certificate"`) || strings.Contains(string(data), `"listen"`):
		return "settings"
	default:
		return "document"
	}
}

// writeText writes the problems, one a line, or that the file is sound.
func (r checkResult) writeText(streams Streams) error {
	for _, problem := range r.Problems {
		if _, err := fmt.Fprintln(streams.Out, problem); err != nil {
			return err
		}
	}
	if len(r.Problems) == 0 {
		_, err := fmt.Fprintf(streams.Out, "%s: sound %s\n", r.File, r.Kind)
		return err
	}
	return nil
}
