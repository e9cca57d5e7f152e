package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms in microseconds, and their precision in digits.
const (
	lowest  = 1
	highest = int64(10 * time.Minute / time.Microsecond)
	digits  = 3
)

// Line holds the results of one workspace. Latencies are measured from the
// scheduled arrival of a request, except First, which starts when it is sent. Failed
// requests have no latency. Sent counts all requests that were due, including those that
// were not sent at the in-flight limit, which have the error code "unsent".
type Line struct {
	Workspace string         `json:"workspace"`
	Sent      int            `json:"sent"`
	Answered  int            `json:"answered"` // complete responses, including wrong ones
	Good      int            `json:"good"`     // right responses within Settings.Target
	Wrong     int            `json:"wrong"`    // responses with another text than expected
	Tokens    int            `json:"tokens"`
	Errors    map[string]int `json:"errors"`
	P50       time.Duration  `json:"p50"`
	P99       time.Duration  `json:"p99"`
	Max       time.Duration  `json:"max"`
	First     time.Duration  `json:"first"`   // median time to the first token of a stream
	Goodput   float64        `json:"goodput"` // good responses per second
}

// Report is the result of a run.
type Report struct {
	Elapsed time.Duration `json:"elapsed"`
	Lines   []Line        `json:"lines"`
	Worst   string        `json:"worst"` // name of the worst-served workspace
	Wrong   int           `json:"wrong"`
}

// meter collects the results of one workspace.
type meter struct {
	mu          sync.Mutex
	target      time.Duration
	line        Line
	latencies   *hdrhistogram.Histogram
	firstTokens *hdrhistogram.Histogram
}

func newMeter(name string, target time.Duration) *meter {
	return &meter{
		target:      target,
		line:        Line{Workspace: name, Errors: make(map[string]int)},
		latencies:   hdrhistogram.New(lowest, highest, digits),
		firstTokens: hdrhistogram.New(lowest, highest, digits),
	}
}

// recordError counts a request that failed with the error code.
func (m *meter) recordError(code string) {
	m.record(result{code: code}, 0)
}

// record counts a request that ended after the given latency.
func (m *meter) record(result result, latency time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.line.Sent++
	if result.code != "" {
		m.line.Errors[result.code]++
		return
	}
	m.line.Answered++
	m.line.Tokens += result.tokens
	if result.wrong {
		m.line.Wrong++
	} else if m.target == 0 || latency <= m.target {
		m.line.Good++
	}
	_ = m.latencies.RecordValue(min(latency.Microseconds(), highest))
	if result.first > 0 {
		_ = m.firstTokens.RecordValue(min(result.first.Microseconds(), highest))
	}
}

// summary returns the results, with rates over the elapsed time.
func (m *meter) summary(elapsed time.Duration) Line {
	m.mu.Lock()
	defer m.mu.Unlock()
	line := m.line
	line.P50 = quantile(m.latencies, 50)
	line.P99 = quantile(m.latencies, 99)
	line.Max = time.Duration(m.latencies.Max()) * time.Microsecond
	line.First = quantile(m.firstTokens, 50)
	line.Goodput = float64(line.Good) / elapsed.Seconds()
	return line
}

// quantile returns the latency at a percentile.
func quantile(histogram *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(histogram.ValueAtQuantile(percent)) * time.Microsecond
}

// summarize combines the results of all workspaces into a report.
func summarize(meters []*meter, elapsed time.Duration) Report {
	report := Report{Elapsed: elapsed}
	for _, m := range meters {
		line := m.summary(elapsed)
		report.Lines = append(report.Lines, line)
		report.Wrong += line.Wrong
	}
	report.Worst = worstServed(report.Lines)
	return report
}

// worstServed returns the workspace with the smallest share of good responses; a
// tie goes to the greater 99th percentile latency.
func worstServed(lines []Line) string {
	var worst *Line
	for i := range lines {
		line := &lines[i]
		if line.Sent == 0 {
			continue
		}
		if worst == nil || line.goodShare() < worst.goodShare() || line.goodShare() == worst.goodShare() && line.P99 > worst.P99 {
			worst = line
		}
	}
	if worst == nil {
		return ""
	}
	return worst.Workspace
}

// goodShare returns the fraction of sent requests that were good. Sent must not be zero.
func (l *Line) goodShare() float64 { return float64(l.Good) / float64(l.Sent) }
