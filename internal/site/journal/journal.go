// Package journal writes events as JSON lines without ever holding up the part
// that logs: lines go through a bounded ring, and what does not fit is counted
// and said later.
package journal

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// ring is the number of lines that may wait for the writer: about a second of
// the busiest host's.
const ring = 2048

// reportEvery is the least time between two lines about dropped ones.
const reportEvery = time.Second

// Journal is a sink of events. Create it with New.
type Journal struct {
	lines   chan line
	dropped atomic.Int64
	done    chan struct{}
}

type line struct {
	at    time.Time
	entry event.Entry
	pairs []any
}

// New returns a journal that writes to out. Each line carries the pairs given
// here, such as the host's name.
func New(out io.Writer, pairs ...any) *Journal {
	j := &Journal{lines: make(chan line, ring), done: make(chan struct{})}
	go j.write(slog.New(slog.NewJSONHandler(out, nil)).With(pairs...))
	return j
}

// Log returns the log to hand to the parts of a host.
func (j *Journal) Log() event.Log {
	return event.Log{Sink: func(entry event.Entry, pairs []any) {
		select {
		case j.lines <- line{time.Now(), entry, pairs}:
		default:
			j.dropped.Add(1)
		}
	}}
}

// Close writes what waits and ends the journal.
func (j *Journal) Close() {
	close(j.lines)
	<-j.done
}

func (j *Journal) write(out *slog.Logger) {
	defer close(j.done)
	reported := time.Time{}
	for l := range j.lines {
		put(out, l)
		if l.at.Sub(reported) >= reportEvery && j.report(out, l.at) {
			reported = l.at
		}
	}
	j.report(out, time.Now())
}

// report says how many lines were dropped since the last report, if any.
func (j *Journal) report(out *slog.Logger, now time.Time) bool {
	n := j.dropped.Swap(0)
	if n == 0 {
		return false
	}
	entry, _ := event.Find(event.LinesDropped)
	put(out, line{now, entry, []any{"lines", n}})
	return true
}

func put(out *slog.Logger, l line) {
	level := slog.LevelInfo
	switch l.entry.Severity {
	case event.Warning:
		level = slog.LevelWarn
	case event.Error:
		level = slog.LevelError
	case event.Info:
	}
	record := slog.NewRecord(l.at, level, l.entry.Text, 0)
	record.Add("event", l.entry.Number.String())
	record.Add(l.pairs...)
	_ = out.Handler().Handle(context.Background(), record) // standard output is the only place to report to
}
