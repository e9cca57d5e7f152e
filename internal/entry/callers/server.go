package callers

import (
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/entry/intake"
)

// Parts of Server.Memory. Together with the program itself and the largest body, which is
// joined from its segments, they stay below the whole.
const (
	bodiesDivisor    = 4  // bodies that arrive, the reserve for the largest one included
	minSharedDivisor = 16 // bodies that arrive, without the reserve, at least
	answersDivisor   = 8  // answers on their way to callers

	unbudgetedDivisor = 16 // heads of requests, and the parts of bodies that no budget charges

	connectionBytes = 256 << 10 // memory per connection of a caller, with the kernel's buffers
)

// maxPipelined is the number of requests under way that callers sent without waiting for
// earlier responses. HTTP clients don't do so; one that does gets one response at a time.
const maxPipelined = 2

// smallAnswer is not counted, in bytes: it fits into the buffers of its connection.
const smallAnswer = 64 << 10

// bodyTimes are the limits of callers that are slow while memory is short. A caller on a poor
// link sends several times MinRate.
var bodyTimes = intake.Limits{MinRate: 8 << 10, Window: time.Second, Patience: 500 * time.Millisecond, MaxWait: 5 * time.Second}

// answerPatience is how long a caller must have accepted nothing of its answer before its
// connection is closed while memory is short.
const answerPatience = time.Second

// Server bounds what callers may take of a host. SetLimits must be called before it serves, and
// Memory and Files must not change after that.
type Server struct {
	Bodies      intake.Budget // request bodies that arrive or are under way
	Answers     intake.Budget // answers on their way to callers
	Connections intake.Connections
	Requests    intake.Turns // requests under way

	Memory int64 // of the host in bytes, zero for no limit
	Files  int   // descriptors of the host, zero for no limit
	// OnRefusal, if set, is called with the reason when a request is refused or a connection is
	// closed to protect the host.
	OnRefusal func(reason string)
	// WriteRefusal, if set, writes the response to a refused request, which has not run, in place
	// of one with status 503, Retry-After and no body.
	WriteRefusal func(w http.ResponseWriter, refused *intake.RefusedError)

	pipelined intake.Turns
}

// Limits are those of one request. A zero HeadBytes or time means no limit.
type Limits struct {
	HeadBytes   int
	BodyBytes   int64 // of the largest body, which always gets its turn
	BodyCopies  int64 // of its body that a request has in memory, zero for one
	HeadTimeout time.Duration
	IdleTimeout time.Duration // of a connection between two requests
}

// SetLimits puts the limits of requests and those that follow from Memory and Files into effect.
func (s *Server) SetLimits(limits Limits) {
	connections := intake.ConnectionLimits{
		Max: s.MaxConnections(), HeadBytes: limits.HeadBytes,
		HeadTimeout: min(limits.HeadTimeout, maxServerTimeout), IdleTimeout: min(limits.IdleTimeout, maxServerTimeout),
	}
	bodies, answers := bodyTimes, bodyTimes
	bodies.Shared, answers.Shared = math.MaxInt64/2, math.MaxInt64/2
	if s.Memory > 0 {
		copies := max(1, limits.BodyCopies)
		bodies.Shared = max(s.Memory/bodiesDivisor-copies*limits.BodyBytes, s.Memory/minSharedDivisor) / copies
		answers.Shared = s.Memory / answersDivisor
		connections.Unbudgeted = s.Memory / unbudgetedDivisor
		s.pipelined.SetMax(maxPipelined)
	}
	answers.Patience = answerPatience
	s.Connections.SetLimits(connections)
	s.Bodies.SetLimits(bodies)
	s.Answers.SetLimits(answers)
}

// MaxConnections returns the number of connections that callers may have, 0 for no limit: their
// share of the descriptors, and what fits into the memory.
func (s *Server) MaxConnections() int {
	most := math.MaxInt
	if share := FileShare(s.Files); share > 0 {
		most = share
	}
	if s.Memory > 0 {
		most = min(most, int(s.Memory/connectionBytes))
	}
	if most == math.MaxInt {
		return 0
	}
	return most
}

// Descriptors. Connections must leave reservedFiles of them free. Callers, other hosts and
// servers have a third of the rest each.
const (
	reservedFiles = 200
	filesDivisor  = 3
)

// FileShare returns the number of connections that callers, other hosts or servers may have on a
// host with the given number of descriptors, 0 for no limit.
func FileShare(files int) int {
	if files <= 0 {
		return 0
	}
	return max(1, (files-reservedFiles)/filesDivisor)
}

// refused reports a refusal to OnRefusal.
func (s *Server) refused(reason string) {
	if s.OnRefusal != nil {
		s.OnRefusal(reason)
	}
}

// Refuse writes the response to a request that was not taken in, and that has thus not
// run. The connection is closed: its caller may still be sending.
func (s *Server) Refuse(w http.ResponseWriter, r *http.Request, err error) {
	w.Header().Set("Connection", "close")
	refused, ok := errors.AsType[*intake.RefusedError](err) // otherwise the caller is gone
	if ok {
		s.refused(refused.Reason)
		w.Header().Set("Retry-After", strconv.FormatFloat(refused.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if ok && s.WriteRefusal != nil {
		s.WriteRefusal(w, refused)
	} else {
		w.Header().Set("Content-Length", "0") // so that the response ends before the rest of the body is read
		w.WriteHeader(http.StatusServiceUnavailable)
	}
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
