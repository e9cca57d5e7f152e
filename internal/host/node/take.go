package node

import (
	"context"
	"math"
	"net"
	"net/http"
	"runtime"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/entry/intake"
)

// ReadBody reads the body of a request of at most limit bytes. The errors are those of
// intake.ReadBody. The caller must call release once the body is not used any more.
func (n *Node) ReadBody(w http.ResponseWriter, r *http.Request, caller intake.Caller, limit int64) (body net.Buffers, release func(), err error) {
	var claim *intake.Claim
	body, err = intake.ReadBody(r.Context(), r.Body, r.ContentLength, limit, func(need int64) *intake.Claim {
		claim = n.Intake.Bodies.Open(time.Now(), caller, need, func() {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now()) // fails only for a connection that is closed
		})
		return claim
	})
	if conn, ok := r.Context().Value(connKey{}).(*callerConn); ok {
		conn.entry.Arrive()
	}
	return body, func() {
		if claim != nil {
			n.collectBody(claim)
			claim.Close(time.Now())
		}
	}, err
}

// collectDivisor gives the size of a large body as a part of the memory.
const collectDivisor = 16

// collectBody frees the memory of a large body before its claim ends, which lets the next body
// take as much: two bodies of the largest size don't fit.
func (n *Node) collectBody(claim *intake.Claim) {
	if memory := n.Settings.MemoryBytes; memory > 0 && claim.Completed() >= memory/collectDivisor {
		runtime.GC()
	}
}

// WriteAnswer writes the body of an answer. While answers take too much memory, it closes the
// connections of callers that read nothing.
func (n *Node) WriteAnswer(w http.ResponseWriter, r *http.Request, caller intake.Caller, body []byte) {
	if len(body) <= smallAnswer {
		_, _ = w.Write(body) //nolint:gosec // sent as it is; fails only if the caller is gone
		return
	}
	claim := n.Intake.Answers.Open(time.Now(), caller, 0, func() {
		if conn, ok := r.Context().Value(connKey{}).(*callerConn); ok {
			_ = conn.Conn.Close()
		}
	})
	defer func() { claim.Close(time.Now()) }()
	for _, evicted := range claim.Force(time.Now(), int64(len(body))) {
		n.CountRefusal(intake.ReasonSlow)
		evicted.Evict()
	}
	for len(body) > 0 {
		piece := body[:min(len(body), answerPiece)]
		if _, err := w.Write(piece); err != nil { //nolint:gosec // sent as it is
			return // the caller is gone
		}
		claim.Deliver(int64(len(piece)))
		body = body[len(piece):]
	}
}

// Decoding waits until a batch that takes the given number of bytes may be decoded, and
// returns a function to call at the end. It returns false if the context ends first.
func (n *Node) Decoding(ctx context.Context, bytes int64) (end func(), ok bool) {
	if n.Intake.decoding == nil {
		return func() {}, true
	}
	weight := min(bytes, n.Intake.decodable)
	if n.Intake.decoding.Acquire(ctx, weight) != nil {
		return nil, false
	}
	return func() { n.Intake.decoding.Release(weight) }, true
}

// MaxDecoded returns the largest size of a decoded batch that this host takes.
func (n *Node) MaxDecoded() int64 {
	if n.Settings.MemoryBytes <= 0 {
		return math.MaxInt64
	}
	return n.Settings.MemoryBytes / decodedDivisor
}

// decodedDivisor gives the largest decoded batch as a part of the memory. A batch of the largest
// body has three quarters of its size; many empty items or headers multiply it.
const decodedDivisor = 3
