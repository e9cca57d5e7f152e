// Package form decodes JSON files with comments (HuJSON) and reports all problems at
// once, each with its line, column, field, reason and a suggested fix.
package form

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

// Problem describes one error in a file. Line and Column count from 1, Column in bytes.
// Field is a JSON pointer (RFC 6901), empty for the whole file and for a syntax error. Fix
// suggests a correction.
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

// ProblemsError holds all problems of a file, in the order in which they were found.
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

// Checker is implemented by types that validate their decoded values.
type Checker interface {
	// Check adds every invalid value to the report.
	Check(report *Report)
}

// Report collects the problems of one file.
type Report struct {
	file     string
	data     []byte
	root     hujson.Value
	problems []Problem
}

// Add records a problem of the field at a JSON pointer. A field that is absent from the
// file gets the position of its nearest enclosing value.
func (r *Report) Add(pointer, reason, fix string) {
	line, column := r.position(pointer)
	r.problems = append(r.problems, Problem{
		File: r.file, Line: line, Column: column, Field: pointer, Reason: reason, Fix: fix,
	})
}

// position returns the line and column of the value at pointer, or of its nearest
// enclosing value.
func (r *Report) position(pointer string) (line, column int) {
	for prefix := pointer; ; prefix = prefix[:strings.LastIndexByte(prefix, '/')] {
		if found := r.root.Find(prefix); found != nil {
			return lineColumn(r.data, found.StartOffset)
		}
		if prefix == "" || !strings.Contains(prefix, "/") {
			return 1, 1
		}
	}
}

// lineColumn converts a byte offset to a line and column.
func lineColumn(data []byte, offset int) (line, column int) {
	before := data[:min(offset, len(data))]
	line = bytes.Count(before, []byte("\n")) + 1
	column = offset - bytes.LastIndexByte(before, '\n')
	return line, column
}

// Decode decodes data into a T and checks it; file is its name in errors. The error is a
// *ProblemsError with the syntax error, or else all unknown fields, duplicate fields and
// values of a wrong type, or else everything that T's Check reports. With an error, the
// returned value is not valid and may be incomplete.
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
	checkTypes[T](report)
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

// syntaxProblem converts a syntax error. It parses the position out of the message, which
// has the form "hujson: line 1, column 2: reason".
func syntaxProblem(file string, err error) Problem {
	p := Problem{File: file, Line: 1, Column: 1, Reason: err.Error(), Fix: "correct the syntax"}
	var line, column int
	if n, _ := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); n == 2 {
		p.Line, p.Column = line, column
		p.Reason = err.Error()[strings.LastIndex(err.Error(), ": ")+2:]
	}
	return p
}
