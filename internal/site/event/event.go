// Package event holds the numbered events that hyssopwall logs. Each number
// stands once in the catalog, with its severity, its cause and what an
// operator does about it; docs/EVENTS.md is generated from the catalog.
//
// Numbers are grouped by area: 1000 entry, 2000 rollout, 3000 fleet, 4000
// site, 5000 billing, 6000 platform. No event carries a key, a prompt or the
// text of an answer.
package event

import (
	"fmt"
	"slices"

	"k8s.io/klog/v2"
)

// Number identifies an event for ever: a number is never given again.
type Number int

// String returns the number as it stands in logs, such as HW1001.
func (n Number) String() string { return fmt.Sprintf("HW%04d", int(n)) }

// Severity says how soon an operator has to look.
type Severity string

// The severities, from the least urgent.
const (
	Info    Severity = "info"
	Warning Severity = "warning"
	Error   Severity = "error"
)

// Entry is one row of the catalog.
type Entry struct {
	Number   Number
	Severity Severity
	Text     string
	Cause    string
	Action   string
}

// Log writes events through klog. The zero value writes to klog's own sink.
type Log struct {
	Logger klog.Logger
	// Sink, when set, receives each event instead of klog.
	Sink func(Entry, []any)
}

// Emit logs the event with alternating keys and values. A number without an
// entry is logged as an error, so that it can't go unnoticed.
func (l Log) Emit(number Number, pairs ...any) {
	entry, ok := Find(number)
	if !ok {
		entry = Entry{Number: number, Severity: Error, Text: "event without a catalog entry"}
	}
	l.deliver(entry, pairs)
}

// Tap returns a log that shows each event to tap before it passes it on.
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
	l.write(entry, pairs)
}

func (l Log) write(entry Entry, pairs []any) {
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

// Find returns the entry of a number.
func Find(number Number) (Entry, bool) {
	all := Catalog()
	at, ok := slices.BinarySearchFunc(all, number, func(e Entry, n Number) int { return int(e.Number - n) })
	if !ok {
		return Entry{}, false
	}
	return all[at], true
}
