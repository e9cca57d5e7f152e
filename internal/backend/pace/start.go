package pace

import "time"

// startSeconds is the number of seconds that a Start covers.
const startSeconds = 5

// StartTime is the time that a Start covers.
const StartTime = startSeconds * time.Second

// Start counts what a host does with a server in the first seconds after it has started or has
// answered again after failures, so that operators can see whether such servers are flooded or left
// idle. The zero value counts nothing.
type Start struct {
	Since     time.Time
	Recovered bool // the server has answered again after failures
	// Sends is the number of requests sent in each of the seconds.
	Sends              [startSeconds]int
	Refusals, Failures int
}

// NewStart returns a Start that counts from now on.
func NewStart(now time.Time, recovered bool) Start { return Start{Since: now, Recovered: recovered} }

// Any reports whether anything was counted.
func (s *Start) Any() bool { return s.Sends != [startSeconds]int{} || s.Refusals > 0 || s.Failures > 0 }

// second returns the index of the current second, and false outside of the time covered.
func (s *Start) second(now time.Time) (int, bool) {
	passed := now.Sub(s.Since)
	return int(passed / time.Second), !s.Since.IsZero() && passed >= 0 && passed < StartTime
}

// Send counts a request that is sent.
func (s *Start) Send(now time.Time) {
	if at, ok := s.second(now); ok {
		s.Sends[at]++
	}
}

// Refuse counts a request that the server refused.
func (s *Start) Refuse(now time.Time) {
	if _, ok := s.second(now); ok {
		s.Refusals++
	}
}

// Fail counts a request that failed.
func (s *Start) Fail(now time.Time) {
	if _, ok := s.second(now); ok {
		s.Failures++
	}
}
