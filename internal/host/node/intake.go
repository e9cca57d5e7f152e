package node

import (
	"cmp"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/hyssopwall/hyssopwall/internal/entry/callers"
	"github.com/hyssopwall/hyssopwall/internal/entry/intake"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/site/policy"
)

// Parts of Settings.MemoryBytes, beside those that callers.Server gives to callers. Together with
// the program itself they stay below the whole.
const (
	decodingDivisor = 6 // batches while they are decoded
	batchesDivisor  = 5 // batches that run on this host
	peersDivisor    = 8 // messages of other hosts

	requestBytes = 512 << 10 // memory per request under way, without its body
)

const (
	// defaultMaxBody is the reserve while no configuration sets the size of a body.
	defaultMaxBody = 32 << 20
	// refusalPeriod is how long no request must have been refused for a new period of
	// refusals to begin, which is logged.
	refusalPeriod = 10 * time.Second
)

// Intake bounds what callers and other hosts may take of this host.
type Intake struct {
	callers.Server

	peers       intake.Connections  // of other hosts
	probes      intake.Connections  // for readiness checks and metrics
	decoding    *semaphore.Weighted // nil for no limit
	decodable   int64               // weight of decoding
	peerBytes   atomic.Int64        // of messages of other hosts
	lastRefusal atomic.Int64        // time by clock
}

// applyLimits puts the limits that follow from the settings and from a configuration, nil for
// none, into effect. Without a memory limit in the settings, there are only those of the
// configuration.
func (n *Node) applyLimits(p *policy.Policy) {
	var limits policy.Limits
	if p != nil {
		limits = p.Limits
	}
	n.Intake.SetLimits(callers.Limits{
		HeadBytes: limits.MaxHeaderBytes, BodyBytes: cmp.Or(max(0, limits.MaxBodyBytes), defaultMaxBody),
		HeadTimeout: timeoutOr(limits.HeaderTimeout, headerTimeout), IdleTimeout: timeoutOr(limits.IdleTimeout, callerIdleTimeout),
	})
}

// timeoutOr returns a configured timeout, or the default for none.
func timeoutOr(configured, otherwise time.Duration) time.Duration {
	if configured <= 0 {
		return otherwise
	}
	return configured
}

// newIntake sets the limits that depend on the settings alone.
func (n *Node) newIntake() {
	n.Intake.Memory, n.Intake.Files, n.Intake.OnRefusal = n.Settings.MemoryBytes, n.Settings.MaxFiles, n.CountRefusal
	n.Intake.peers.SetLimits(intake.ConnectionLimits{Max: callers.FileShare(n.Settings.MaxFiles)})
	n.Intake.probes.SetLimits(intake.ConnectionLimits{Max: maxProbes})
	if memory := n.Settings.MemoryBytes; memory > 0 {
		n.Intake.Requests.SetMax(int(memory / requestBytes))
		n.Intake.decodable = memory / decodingDivisor
		n.Intake.decoding = semaphore.NewWeighted(n.Intake.decodable)
		n.Batches.MaxOpenBytes = memory / batchesDivisor
	}
	n.applyLimits(nil)
	n.Meter.Gauge("caller_connections", func() float64 { return float64(n.Intake.Connections.Count()) })
	n.Meter.Gauge("body_bytes", func() float64 { return float64(n.Intake.Bodies.Used()) })
	n.Meter.Gauge("answer_bytes", func() float64 { return float64(n.Intake.Answers.Used()) })
	n.Meter.Gauge("batch_bytes", func() float64 { return float64(n.Batches.OpenBytes()) })
}

// CountRefusal counts what was refused or closed to protect this host, and logs the first
// refusal of a period.
func (n *Node) CountRefusal(reason string) {
	n.Meter.Count("intake_refused_total", "reason", reason)
	now := int64(n.clock())
	if last := n.Intake.lastRefusal.Swap(now); last == 0 || time.Duration(now-last) > refusalPeriod {
		n.Log.Emit(event.IntakeRefusing, "reason", reason)
	}
}

// boundedPeers returns a handler that refuses messages of other hosts while those under way
// take too much memory. Senders treat that as a failed call. Small messages are not counted.
func (n *Node) boundedPeers(handler http.Handler, largest int64) http.Handler {
	if n.Settings.MemoryBytes <= 0 {
		return handler
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size := r.ContentLength
		if size < 0 {
			size = largest
		}
		if size = min(size, largest); size > intake.FreeBytes {
			defer n.Intake.peerBytes.Add(-size)
			if n.Intake.peerBytes.Add(size) > max(largest, n.Settings.MemoryBytes/peersDivisor) {
				n.CountRefusal("messages of other hosts take too much memory")
				http.Error(w, "too many messages", http.StatusServiceUnavailable)
				return
			}
		}
		handler.ServeHTTP(w, r)
	})
}
