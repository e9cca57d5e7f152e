// Package meter counts and times what a host does and shows it in the text
// format of Prometheus.
package meter

import (
	"io"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Meter holds the counters and histograms of a host. Create it with New; a nil
// Meter counts nothing. It is safe for concurrent use.
type Meter struct {
	set *metrics.Set
}

// New returns an empty meter.
func New() *Meter { return &Meter{set: metrics.NewSet()} }

// Add adds to a counter whose name holds dots, such as platform.get; it
// implements the counting of package object.
func (m *Meter) Add(name string, delta int64) {
	if m != nil {
		m.set.GetOrCreateCounter("hyssopwall_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)).Add(int(delta))
	}
}

// Count adds one to a counter with alternating names and values of labels.
func (m *Meter) Count(name string, labels ...string) {
	if m != nil {
		m.set.GetOrCreateCounter(full(name, labels)).Inc()
	}
}

// Time adds a duration to a histogram of seconds.
func (m *Meter) Time(name string, took time.Duration, labels ...string) {
	if m != nil {
		m.set.GetOrCreatePrometheusHistogram(full(name, labels)).Update(took.Seconds())
	}
}

// Gauge shows a value that is read when asked for.
func (m *Meter) Gauge(name string, read func() float64) {
	if m != nil {
		m.set.GetOrCreateGauge("hyssopwall_"+name, read)
	}
}

// Write writes everything as text.
func (m *Meter) Write(w io.Writer) {
	if m != nil {
		m.set.WritePrometheus(w)
	}
}

func full(name string, labels []string) string {
	var b strings.Builder
	b.WriteString("hyssopwall_" + name)
	for i := 0; i+1 < len(labels); i += 2 {
		separator := ","
		if i == 0 {
			separator = "{"
		}
		b.WriteString(separator + labels[i] + `="` + quote.Replace(labels[i+1]) + `"`)
	}
	if len(labels) > 1 {
		b.WriteByte('}')
	}
	return b.String()
}

var quote = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)
