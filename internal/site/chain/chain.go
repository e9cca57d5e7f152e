// Package chain extracts the log lines of one request, batch, item, attempt or step
// from the logs of several hosts and orders them by time.
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

// maxLineBytes is the maximum length of a log line; lines of hosts are far shorter. Find
// fails with bufio.ErrTooLong at a longer one.
const maxLineBytes = 1 << 20

// Line is one line of a host's log.
type Line struct {
	Time   time.Time
	Level  string
	Text   string
	Host   string
	Event  string         // event number, such as HW3004
	Fields map[string]any // all other fields
}

// Chain holds the log lines of one identifier, ordered by time. For an item, Lines also
// has the lines about its batches that name no item. Context holds the
// dependencyEvents of the hosts in Lines from contextBefore the first line until the last.
type Chain struct {
	ID      string
	Lines   []Line
	Context []Line
	Skipped int // number of input lines that are not log lines of a host
}

// NotFoundError reports that no log line contains the identifier.
type NotFoundError struct {
	ID    string
	Lines int // number of log lines read
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("none of %d log lines contains %s", e.Lines, e.ID)
}

// dependencyEvents are the events about leases, the configuration, the platform and the
// store, which a host depends on, and about the host's own start and stop: LeaseAcquired,
// LeaseLost, ConfigurationApplied, PlatformUnreachable, PlatformReachable, StoreRelayed,
// StoreDirect, WatchFailed, HostDraining, HostStarted, StoreStale and StoreFresh of package
// event.
var dependencyEvents = []string{"HW3004", "HW3005", "HW3007", "HW3008", "HW3009", "HW3017", "HW3018", "HW3020", "HW4002", "HW4006", "HW4008", "HW4009"}

// contextBefore is the time before the first line of a chain in which a dependency
// event may be its cause.
const contextBefore = 5 * time.Second

// Find reads logs with one JSON object per line and returns the chain of an
// identifier, which has at least one line. Text before the object in a line is ignored.
// The error is a *NotFoundError, bufio.ErrTooLong or the reader's.
func Find(logs io.Reader, id string) (Chain, error) {
	all, skipped, err := read(logs)
	if err != nil {
		return Chain{}, err
	}
	found := Chain{ID: id, Skipped: skipped}
	ids := relatedIDs(all, id)
	hosts := map[string]bool{}
	for _, line := range all {
		if line.concerns(ids) {
			found.Lines = append(found.Lines, line)
			hosts[line.Host] = true
		}
	}
	if len(found.Lines) == 0 {
		return Chain{}, &NotFoundError{ID: id, Lines: len(all)}
	}
	first, last := found.Lines[0].Time.Add(-contextBefore), found.Lines[len(found.Lines)-1].Time
	for _, line := range all {
		during := !line.Time.Before(first) && !line.Time.After(last)
		if during && hosts[line.Host] && slices.Contains(dependencyEvents, line.Event) {
			found.Context = append(found.Context, line)
		}
	}
	return found, nil
}

// read decodes the lines of logs and sorts them by time.
func read(logs io.Reader) (all []Line, skipped int, err error) {
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLineBytes)
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

// decode parses a log line. It reports false for a line without a valid JSON object,
// time or event.
func decode(raw []byte) (Line, bool) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal(raw[start:], &fields) != nil {
		return Line{}, false
	}
	take := func(name string) string {
		text, _ := fields[name].(string) // other types count as absent
		delete(fields, name)
		return text
	}
	line := Line{Level: take("level"), Text: take("msg"), Host: take("host"), Event: take("event"), Fields: fields}
	var err error
	line.Time, err = time.Parse(time.RFC3339Nano, take("time"))
	return line, err == nil && line.Event != ""
}

// relatedIDs returns the identifier and, for an item, the batches that contained it.
func relatedIDs(all []Line, id string) []string {
	ids := []string{id}
	for _, line := range all {
		batch, ok := line.Fields["batch"].(string)
		if ok && line.Fields["item"] == id && !slices.Contains(ids, batch) {
			ids = append(ids, batch)
		}
	}
	return ids
}

// concerns reports whether the line is about ids[0] or about one of the other ids, which
// are batches, without naming an item.
func (l Line) concerns(ids []string) bool {
	for _, name := range []string{"request", "batch", "item", "attempt", "step"} {
		if l.Fields[name] == ids[0] {
			return true
		}
	}
	batch, ok := l.Fields["batch"].(string)
	return ok && l.Fields["item"] == nil && slices.Contains(ids, batch)
}

// Cause returns the last line of the chain whose level is not INFO, or its last line if
// there is none. Hosts log nothing below INFO. The chain must have lines.
func (c Chain) Cause() Line {
	for _, line := range slices.Backward(c.Lines) {
		if line.Level != "INFO" {
			return line
		}
	}
	return c.Lines[len(c.Lines)-1]
}

// Write writes the chain and its context as text, ordered by time, with times relative
// to the first line of the chain, followed by the cause and the number of skipped lines.
// The chain must have lines.
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
		fmt.Fprintf(&b, "%d lines were not log lines\n", c.Skipped)
	}
	_, err := io.WriteString(out, b.String())
	return err
}

// String formats the line without its time and host, its fields sorted by name.
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
