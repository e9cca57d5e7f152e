// Package chain finds the log lines that belong to one request, batch or item
// among those of several hosts, and puts them in order.
package chain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// longestLine bounds a line of a log in bytes; hosts write far shorter ones.
const longestLine = 1 << 20

// Line is one line of a host's log.
type Line struct {
	Time   time.Time
	Level  string
	Text   string
	Host   string
	Event  string
	Fields map[string]any // the others
}

// Chain is what the logs say of one identifier. Context are the losses and
// returns of dependencies, on the hosts of Lines, around its time.
type Chain struct {
	ID      string
	Lines   []Line
	Context []Line
	Skipped int // lines that are none of a host's log
}

// NotFoundError says that no line names the identifier.
type NotFoundError struct {
	ID    string
	Lines int // that were read
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("none of %d log lines names %s", e.Lines, e.ID)
}

// dependencies are the events that tell of lost and regained dependencies and
// of a host's own start and stop.
var dependencies = []string{"HW3004", "HW3005", "HW3007", "HW3008", "HW3009", "HW3017", "HW3018", "HW3020", "HW4002", "HW4006", "HW4008", "HW4009"}

// around is the time before the first line of a chain in which a loss may be
// its cause.
const around = 5 * time.Second

// Find reads logs, one JSON object a line, whatever stands before the object in
// a line. The error is a *NotFoundError or that of the reader.
func Find(logs io.Reader, id string) (Chain, error) {
	all, skipped, err := read(logs)
	if err != nil {
		return Chain{}, err
	}
	found := Chain{ID: id, Skipped: skipped}
	wanted := related(all, id)
	hosts := map[string]bool{}
	for _, line := range all {
		if line.names(wanted) {
			found.Lines = append(found.Lines, line)
			hosts[line.Host] = true
		}
	}
	if len(found.Lines) == 0 {
		return Chain{}, &NotFoundError{ID: id, Lines: len(all)}
	}
	first, last := found.Lines[0].Time.Add(-around), found.Lines[len(found.Lines)-1].Time
	for _, line := range all {
		during := !line.Time.Before(first) && !line.Time.After(last)
		if during && hosts[line.Host] && slices.Contains(dependencies, line.Event) {
			found.Context = append(found.Context, line)
		}
	}
	return found, nil
}

func read(logs io.Reader) (all []Line, skipped int, err error) {
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		if line, ok := decode(scanner.Bytes()); ok {
			all = append(all, line)
		} else {
			skipped++
		}
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return all, skipped, scanner.Err()
}

func decode(raw []byte) (Line, bool) {
	at := bytes.IndexByte(raw, '{')
	if at < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal(raw[at:], &fields) != nil {
		return Line{}, false
	}
	take := func(name string) string {
		text, _ := fields[name].(string) // another type names nothing
		delete(fields, name)
		return text
	}
	line := Line{Level: take("level"), Text: take("msg"), Host: take("host"), Event: take("event"), Fields: fields}
	var err error
	line.Time, err = time.Parse(time.RFC3339Nano, take("time"))
	return line, err == nil && line.Event != ""
}

// related returns the identifier and, for an item, the batches that held it.
func related(all []Line, id string) []string {
	ids := []string{id}
	for _, line := range all {
		batch, ok := line.Fields["batch"].(string)
		if ok && line.Fields["item"] == id && !slices.Contains(ids, batch) {
			ids = append(ids, batch)
		}
	}
	return ids
}

// names says whether the line is about one of the identifiers: the first one, or
// a batch as a whole.
func (l Line) names(ids []string) bool {
	for _, name := range []string{"request", "batch", "item", "attempt", "step"} {
		if l.Fields[name] == ids[0] {
			return true
		}
	}
	batch, ok := l.Fields["batch"].(string)
	return ok && l.Fields["item"] == nil && slices.Contains(ids, batch)
}

// Cause returns the last line of the chain that is no plain information, else
// its last line.
func (c Chain) Cause() Line {
	for _, line := range slices.Backward(c.Lines) {
		if line.Level != "INFO" {
			return line
		}
	}
	return c.Lines[len(c.Lines)-1]
}

// Write writes the chain for people.
func (c Chain) Write(out io.Writer) error {
	var b strings.Builder
	lines := slices.Concat(c.Lines, c.Context)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	first := c.Lines[0].Time
	for _, line := range lines {
		fmt.Fprintf(&b, "%+9.3f s  %-20s %s\n", line.Time.Sub(first).Seconds(), line.Host, line)
	}
	fmt.Fprintf(&b, "cause: %s\n", c.Cause())
	if c.Skipped > 0 {
		fmt.Fprintf(&b, "%d lines were no log lines\n", c.Skipped)
	}
	_, err := io.WriteString(out, b.String())
	return err
}

// String returns the line without its time and host.
func (l Line) String() string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare[string])
	text := l.Event + " " + l.Text
	for _, name := range names {
		text += fmt.Sprintf(" %s=%v", name, l.Fields[name])
	}
	return text
}
