// Package event defines the numbered events that hyssopwall logs. The catalog
// has one entry per number, with its severity, its cause and the action for an
// operator; docs/EVENTS.md is generated from it.
//
// Numbers are grouped by area: 1000 entry, 2000 rollout, 3000 fleet, 4000
// site, 5000 billing, 6000 platform. No event contains an API key, a prompt or
// the text of an answer.
package event

import (
	"fmt"
	"slices"

	"k8s.io/klog/v2"
)

// Number identifies an event. Numbers are stable and never reused.
type Number int

// String returns the number in the form used in logs, such as HW1001.
func (n Number) String() string { return fmt.Sprintf("HW%04d", int(n)) }

// Severity is the urgency of an event for an operator.
type Severity string

// The severities, least urgent first.
const (
	Info    Severity = "info"
	Warning Severity = "warning"
	Error   Severity = "error"
)

// Entry describes one event in the catalog.
type Entry struct {
	Number   Number
	Severity Severity
	Text     string // message of the log line
	Cause    string // why the event occurs
	Action   string // what an operator should do
}

// Log writes events through Logger. The zero value writes to klog's default logger.
type Log struct {
	Logger klog.Logger
	// Sink, when set, receives each event and its key-value pairs instead of Logger.
	Sink func(Entry, []any)
}

// Emit logs the event with alternating keys and values. A number without a
// catalog entry is logged with severity Error, so that it is noticed.
func (l Log) Emit(number Number, pairs ...any) {
	entry, ok := Find(number)
	if !ok {
		entry = Entry{Number: number, Severity: Error, Text: "event without a catalog entry"}
	}
	l.deliver(entry, pairs)
}

// Tap returns a log that calls tap with each event before l logs it.
func (l Log) Tap(tap func(Entry)) Log {
	return Log{Sink: func(entry Entry, pairs []any) {
		tap(entry)
		l.deliver(entry, pairs)
	}}
}

func (l Log) deliver(entry Entry, pairs []any) {
	if l.Sink != nil {
		l.Sink(entry, pairs)
		return
	}
	l.writeKlog(entry, pairs)
}

// writeKlog logs an event with its number and severity as values. Only an event of severity
// Error is logged as an error.
func (l Log) writeKlog(entry Entry, pairs []any) {
	logger := l.Logger
	if logger.GetSink() == nil {
		logger = klog.Background()
	}
	values := append([]any{"event", entry.Number.String(), "severity", string(entry.Severity)}, pairs...)
	if entry.Severity == Error {
		logger.Error(nil, entry.Text, values...)
		return
	}
	logger.Info(entry.Text, values...)
}

// Find returns the catalog entry of a number, if it exists.
func Find(number Number) (Entry, bool) {
	entries := known()
	index, ok := slices.BinarySearchFunc(entries, number, func(e Entry, n Number) int { return int(e.Number - n) })
	if !ok {
		return Entry{}, false
	}
	return entries[index], true
}
