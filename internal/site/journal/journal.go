// Package journal writes events as JSON lines without blocking the caller: lines
// pass through a bounded buffer, and lines that do not fit are dropped, counted
// and reported later.
package journal

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// bufferedLines is the number of lines that may wait for the writer, about one
// second of output of the busiest host.
const bufferedLines = 2048

// writeBytes is the size at which lines are written although more of them wait.
const writeBytes = 32 << 10

// dropReportInterval is the minimum time between two reports of dropped lines. The
// report by Close does not wait for it.
const dropReportInterval = time.Second

// Journal writes events in a goroutine of its own. Create it with New.
type Journal struct {
	lines   chan line
	dropped atomic.Int64
	done    chan struct{}
}

// line is one event with its key-value pairs, waiting to be written.
type line struct {
	at    time.Time
	entry event.Entry
	pairs []any
}

// New returns a journal that writes to out. Every line includes the given pairs,
// such as the host's name.
func New(out io.Writer, pairs ...any) *Journal {
	j := &Journal{lines: make(chan line, bufferedLines), done: make(chan struct{})}
	buffer := &bytes.Buffer{}
	go j.run(slog.New(slog.NewJSONHandler(buffer, nil)).With(pairs...), buffer, out)
	return j
}

// Log returns a log whose events the journal writes.
func (j *Journal) Log() event.Log {
	return event.Log{Sink: func(entry event.Entry, pairs []any) {
		select {
		case j.lines <- line{time.Now(), entry, pairs}:
		default:
			j.dropped.Add(1)
		}
	}}
}

// Close writes the buffered lines and stops the journal. It must be called once only, and
// no event may be logged after it; either would panic.
func (j *Journal) Close() {
	close(j.lines)
	<-j.done
}

// run writes lines until the journal is closed. Lines that wait together are written together: a
// change of the list of servers logs hundreds at once, and each write is a system call.
func (j *Journal) run(lines *slog.Logger, buffer *bytes.Buffer, out io.Writer) {
	defer close(j.done)
	reported := time.Time{}
	for l := range j.lines {
		writeLine(lines, l)
		if l.at.Sub(reported) >= dropReportInterval && j.reportDropped(lines, l.at) {
			reported = l.at
		}
		if len(j.lines) == 0 || buffer.Len() >= writeBytes {
			flush(buffer, out)
		}
	}
	j.reportDropped(lines, time.Now())
	flush(buffer, out)
}

// flush writes what is buffered. A failed write loses these lines: there is no other place to report
// it.
func flush(buffer *bytes.Buffer, out io.Writer) {
	if buffer.Len() > 0 {
		_, _ = out.Write(buffer.Bytes())
	}
	buffer.Reset()
}

// reportDropped logs how many lines were dropped since the last report. It reports
// whether there were any.
func (j *Journal) reportDropped(out *slog.Logger, now time.Time) bool {
	n := j.dropped.Swap(0)
	if n == 0 {
		return false
	}
	entry, _ := event.Find(event.LinesDropped)
	writeLine(out, line{now, entry, []any{"lines", n}})
	return true
}

// writeLine writes one line as JSON.
func writeLine(out *slog.Logger, l line) {
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
	_ = out.Handler().Handle(context.Background(), record) // there is no other place to report a failure of the output
}
