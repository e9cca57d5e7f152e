// Package meter collects the metrics of a host and exposes them in the Prometheus
// text format. All names get the prefix hyssopwall_.
package meter

import (
	"io"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Meter holds the counters, histograms and gauges of a host. Create it with New; the
// methods of a nil Meter do nothing. It is safe for concurrent use.
type Meter struct {
	set *metrics.Set
}

// New returns a meter without metrics.
func New() *Meter { return &Meter{set: metrics.NewSet()} }

// Add adds delta, which must not be negative, to a counter. Dots and dashes in the name,
// such as platform.get, become underscores. It implements object.Counter.
func (m *Meter) Add(name string, delta int64) {
	if m != nil {
		m.set.GetOrCreateCounter("hyssopwall_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)).Add(int(delta))
	}
}

// Count increments a counter; labels are alternating label names and values. A last name
// without a value is ignored.
func (m *Meter) Count(name string, labels ...string) {
	if m != nil {
		m.set.GetOrCreateCounter(fullName(name, labels)).Inc()
	}
}

// Time records a duration in a Prometheus histogram of seconds with the default buckets.
// Labels are those of Count.
func (m *Meter) Time(name string, took time.Duration, labels ...string) {
	if m != nil {
		m.set.GetOrCreatePrometheusHistogram(fullName(name, labels)).Update(took.Seconds())
	}
}

// Gauge registers a gauge whose value is read at each scrape. If the name is registered
// already, the earlier function stays.
func (m *Meter) Gauge(name string, read func() float64) {
	if m != nil {
		m.set.GetOrCreateGauge("hyssopwall_"+name, read)
	}
}

// Write writes all metrics in the Prometheus text format.
func (m *Meter) Write(w io.Writer) {
	if m != nil {
		m.set.WritePrometheus(w)
	}
}

// fullName returns the prefixed name with its labels in braces.
func fullName(name string, labels []string) string {
	var b strings.Builder
	b.WriteString("hyssopwall_" + name)
	for i := 0; i+1 < len(labels); i += 2 {
		separator := ","
		if i == 0 {
			separator = "{"
		}
		b.WriteString(separator + labels[i] + `="` + labelEscaper.Replace(labels[i+1]) + `"`)
	}
	if len(labels) > 1 {
		b.WriteByte('}')
	}
	return b.String()
}

// labelEscaper escapes label values.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)
