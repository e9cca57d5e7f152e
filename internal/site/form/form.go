// Package form decodes files of JSON with comments and reports every problem
// at once, each with its line, column, field, reason and a way to mend it.
package form

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

// Problem is one thing wrong with a file. Line and Column count from 1; Field
// is a JSON pointer (RFC 6901).
type Problem struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Field  string `json:"field"`
	Reason string `json:"reason"`
	Fix    string `json:"fix"`
}

func (p Problem) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s; %s", p.File, p.Line, p.Column, p.Field, p.Reason, p.Fix)
}

// ProblemsError holds all problems of a file, in the order of their fields.
type ProblemsError struct {
	Problems []Problem
}

func (e *ProblemsError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Checker is a decoded file that checks its own values.
type Checker interface {
	Check(report *Report)
}

// Report collects the problems that a Checker finds.
type Report struct {
	file     string
	data     []byte
	root     hujson.Value
	problems []Problem
}

// Add records a problem of the field that the pointer names. A field that is
// absent from the file is placed at the nearest enclosing value.
func (r *Report) Add(pointer, reason, fix string) {
	line, column := r.position(pointer)
	r.problems = append(r.problems, Problem{
		File: r.file, Line: line, Column: column, Field: pointer, Reason: reason, Fix: fix,
	})
}

func (r *Report) position(pointer string) (line, column int) {
	for at := pointer; ; at = at[:strings.LastIndexByte(at, '/')] {
		if found := r.root.Find(at); found != nil {
			return position(r.data, found.StartOffset)
		}
		if at == "" || !strings.Contains(at, "/") {
			return 1, 1
		}
	}
}

func position(data []byte, offset int) (line, column int) {
	before := data[:min(offset, len(data))]
	line = bytes.Count(before, []byte("\n")) + 1
	column = offset - bytes.LastIndexByte(before, '\n')
	return line, column
}

// Decode reads data, named file in errors, into a T and checks it. It returns
// a *ProblemsError that lists every unknown field, every value of a wrong type
// and everything that T's Check reports.
func Decode[T any, P interface {
	*T
	Checker
}](file string, data []byte) (T, error) {
	var value T
	root, err := hujson.Parse(data)
	if err != nil {
		return value, &ProblemsError{Problems: []Problem{syntaxProblem(file, err)}}
	}
	report := &Report{file: file, data: data, root: root}
	compare[T](report)
	if len(report.problems) > 0 {
		return value, &ProblemsError{Problems: report.problems}
	}
	standard := root.Clone()
	standard.Standardize()
	if err := json.Unmarshal(standard.Pack(), &value); err != nil {
		report.Add("", err.Error(), "correct the value")
		return value, &ProblemsError{Problems: report.problems}
	}
	P(&value).Check(report)
	if len(report.problems) > 0 {
		return value, &ProblemsError{Problems: report.problems}
	}
	return value, nil
}

// syntaxProblem takes the position from hujson's message, which has the form
// "hujson: line 1, column 2: reason".
func syntaxProblem(file string, err error) Problem {
	p := Problem{File: file, Line: 1, Column: 1, Reason: err.Error(), Fix: "correct the syntax"}
	var line, column int
	if n, _ := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); n == 2 {
		p.Line, p.Column = line, column
		p.Reason = err.Error()[strings.LastIndex(err.Error(), ": ")+2:]
	}
	return p
}
