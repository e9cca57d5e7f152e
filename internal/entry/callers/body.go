package callers

import (
	"net"
	"net/http"
	"runtime"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/entry/intake"
)

// ReadBody reads the body of a request of at most limit bytes. The errors are those of
// intake.ReadBody. The caller must call release once the body is not used any more.
func (s *Server) ReadBody(w http.ResponseWriter, r *http.Request, caller intake.Caller, limit int64) (body net.Buffers, release func(), err error) {
	var claim *intake.Claim
	body, err = intake.ReadBody(r.Context(), r.Body, r.ContentLength, limit, func(need int64) *intake.Claim {
		claim = s.Bodies.Open(time.Now(), caller, need, func() {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now()) // fails only for a connection that is closed
		})
		return claim
	})
	if conn, ok := r.Context().Value(connKey{}).(*callerConn); ok {
		conn.entry.Arrive()
	}
	return body, func() {
		if claim != nil {
			s.collectBody(claim)
			claim.Close(time.Now())
		}
	}, err
}

// collectDivisor gives the size of a large body as a part of the memory.
const collectDivisor = 16

// collectBody frees the memory of a large body before its claim ends, which lets the next body
// take as much: two bodies of the largest size don't fit.
func (s *Server) collectBody(claim *intake.Claim) {
	if memory := s.Memory; memory > 0 && claim.Completed() >= memory/collectDivisor {
		runtime.GC()
	}
}

// WriteAnswer writes the body of an answer. While answers take too much memory, it closes the
// connections of callers that read nothing.
func (s *Server) WriteAnswer(w http.ResponseWriter, r *http.Request, caller intake.Caller, body []byte) {
	if len(body) <= smallAnswer {
		_, _ = w.Write(body) // fails only if the caller is gone
		return
	}
	claim := s.Answers.Open(time.Now(), caller, 0, func() {
		if conn, ok := r.Context().Value(connKey{}).(*callerConn); ok {
			_ = conn.Conn.Close()
		}
	})
	defer func() { claim.Close(time.Now()) }()
	for _, evicted := range claim.Force(time.Now(), int64(len(body))) {
		s.refused(intake.ReasonSlow)
		evicted.Evict()
	}
	for len(body) > 0 {
		piece := body[:min(len(body), answerPiece)]
		if _, err := w.Write(piece); err != nil {
			return // the caller is gone
		}
		claim.Deliver(int64(len(piece)))
		body = body[len(piece):]
	}
}
