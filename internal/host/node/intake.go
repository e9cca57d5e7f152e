package node

import (
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/hyssopwall/hyssopwall/internal/entry/intake"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/site/policy"
)

// Parts of Settings.MemoryBytes. Together with the program itself and the largest body, which is
// joined from its segments, they stay below the whole.
const (
	bodiesDivisor    = 4  // bodies that arrive, the reserve for the largest one included
	minSharedDivisor = 16 // bodies that arrive, without the reserve, at least
	answersDivisor   = 8  // answers on their way to callers
	decodingDivisor  = 6  // batches while they are decoded
	batchesDivisor   = 5  // batches that run on this host
	peersDivisor     = 8  // messages of other hosts

	unbudgetedDivisor = 16 // heads of requests, and the parts of bodies that no budget charges

	connectionBytes = 256 << 10 // memory per connection of a caller, with the kernel's buffers
	requestBytes    = 512 << 10 // memory per request under way, without its body
)

const (
	// maxPipelined is the number of requests under way that callers sent without waiting for
	// earlier responses. HTTP clients don't do so; one that does gets one response at a time.
	maxPipelined = 2
	// defaultMaxBody is the reserve while no configuration sets the size of a body.
	defaultMaxBody = 32 << 20
	// smallAnswer is not counted: it fits into the buffers of its connection.
	smallAnswer = 64 << 10
	// refusalPeriod is how long no request must have been refused for a new period of
	// refusals to begin, which is logged.
	refusalPeriod = 10 * time.Second
)

// bodyTimes are the limits of callers that are slow while memory is short. A caller on a poor
// link sends several times MinRate.
var bodyTimes = intake.Limits{MinRate: 8 << 10, Window: time.Second, Patience: 500 * time.Millisecond, MaxWait: 5 * time.Second}

// answerPatience is how long a caller must have accepted nothing of its answer before its
// connection is closed while memory is short.
const answerPatience = time.Second

// Intake bounds what callers and other hosts may take of this host.
type Intake struct {
	Bodies      intake.Budget // request bodies that arrive or are under way
	Answers     intake.Budget // answers on their way to callers
	Connections intake.Connections
	Requests    intake.Turns // requests under way

	peers       intake.Connections // of other hosts
	probes      intake.Connections // for readiness checks and metrics
	pipelined   intake.Turns
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
	connections := intake.ConnectionLimits{
		Max: n.maxConnections(), HeadBytes: limits.MaxHeaderBytes,
		HeadTimeout: timeoutOr(limits.HeaderTimeout, headerTimeout), IdleTimeout: timeoutOr(limits.IdleTimeout, callerIdleTimeout),
	}
	bodies, answers := bodyTimes, bodyTimes
	bodies.Shared, answers.Shared = math.MaxInt64/2, math.MaxInt64/2
	if memory := n.Settings.MemoryBytes; memory > 0 {
		largest := limits.MaxBodyBytes
		if largest <= 0 {
			largest = defaultMaxBody
		}
		bodies.Shared = max(memory/bodiesDivisor-largest, memory/minSharedDivisor)
		answers.Shared = memory / answersDivisor
		connections.Unbudgeted = memory / unbudgetedDivisor
	}
	answers.Patience = answerPatience
	n.Intake.Connections.SetLimits(connections)
	n.Intake.Bodies.SetLimits(bodies)
	n.Intake.Answers.SetLimits(answers)
}

// timeoutOr returns a configured timeout within maxServerTimeout, or the default for none.
func timeoutOr(configured, otherwise time.Duration) time.Duration {
	if configured <= 0 {
		return otherwise
	}
	return min(configured, maxServerTimeout)
}

// newIntake sets the limits that depend on the settings alone.
func (n *Node) newIntake() {
	n.Intake.peers.SetLimits(intake.ConnectionLimits{Max: n.maxPeerConnections()})
	n.Intake.probes.SetLimits(intake.ConnectionLimits{Max: maxProbes})
	if memory := n.Settings.MemoryBytes; memory > 0 {
		n.Intake.pipelined.SetMax(maxPipelined)
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

// maxConnections returns the number of connections that callers may have, 0 for no limit: a
// third of the descriptors that are not reserved, since other hosts and servers take as many,
// and what fits into the memory.
func (n *Node) maxConnections() int {
	most := math.MaxInt
	if n.Settings.MaxFiles > 0 {
		most = max(1, (n.Settings.MaxFiles-reservedFiles)/filesDivisor)
	}
	if n.Settings.MemoryBytes > 0 {
		most = min(most, int(n.Settings.MemoryBytes/connectionBytes))
	}
	if most == math.MaxInt {
		return 0
	}
	return most
}

// maxPeerConnections returns the number of connections that other hosts may have, 0 for no
// limit.
func (n *Node) maxPeerConnections() int {
	if n.Settings.MaxFiles <= 0 {
		return 0
	}
	return max(1, (n.Settings.MaxFiles-reservedFiles)/filesDivisor)
}

// Descriptors. Connections must leave reservedFiles of them free. Callers, other hosts and
// servers have a third of the rest each.
const (
	reservedFiles = 200
	filesDivisor  = 3
)

// CountRefusal counts what was refused or closed to protect this host, and logs the first
// refusal of a period.
func (n *Node) CountRefusal(reason string) {
	n.Meter.Count("intake_refused_total", "reason", reason)
	now := int64(n.clock())
	if last := n.Intake.lastRefusal.Swap(now); last == 0 || time.Duration(now-last) > refusalPeriod {
		n.Log.Emit(event.IntakeRefusing, "reason", reason)
	}
}

// RefuseIntake writes the response to a request that was not taken in, and that has thus not
// run. The connection is closed: its caller may still be sending.
func (n *Node) RefuseIntake(w http.ResponseWriter, r *http.Request, err error) {
	w.Header().Set("Connection", "close")
	if refused, ok := errors.AsType[*intake.RefusedError](err); ok { // otherwise the caller is gone
		n.CountRefusal(refused.Reason)
		w.Header().Set("Retry-After", strconv.FormatFloat(refused.RetryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Length", "0") // so that the response ends before the rest of the body is read
	w.WriteHeader(http.StatusServiceUnavailable)
	// A connection that is closed with unread data is reset, and the caller may lose the
	// response. An error only shortens the time for reading it.
	control := http.NewResponseController(w)
	_ = control.Flush()
	_ = control.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, r.Body, lingerBytes)
}

// lingerTime and lingerBytes bound how much of a refused body is read, and discarded.
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 8 << 20
)

// CallerOf returns the sender of a request with an API key.
func CallerOf(r *http.Request, key string) intake.Caller {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	return intake.Caller{Key: key, Address: host}
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
