package matrix_test

import (
	"time"

	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
)

// cell is one row of the fault matrix: a fault, the requests sent meanwhile and their
// expected outcome.
type cell struct {
	Group  string `json:"group"`  // first part of the name
	At     string `json:"at"`     // engine, service, platform, host or zone
	Step   string `json:"step"`   // a fault.Step, "all" calls of the platform, "any" for a host, or the links that a zone loses
	Kind   string `json:"kind"`   // a fault.Kind, or "stop" or "cut"
	Work   string `json:"work"`   // completion, stream, call, keyed (call with an idempotency key) or step (of a trainer)
	Expect string `json:"expect"` // served, unknown or answered; see run
	Count  int    `json:"count"`  // number of faults; zero means until the requests have ended
	Why    string `json:"why"`    // for the page
}

// String returns the name of the cell, which is also the name of its test.
func (c cell) String() string {
	return c.Group + "/" + c.At + "/" + c.Step + "/" + c.Kind + "/" + c.Work
}

// faultDelay is the Delay of every rule: that of a delayed step and of each part of a slow
// answer, the age that a stale answer adds, and the wait that a rate limit asks for.
const faultDelay = 30 * time.Millisecond

// rule returns the rule that injects the fault of the cell in a script.
func (c cell) rule() fault.Rule {
	return fault.Rule{Step: fault.Step(c.Step), Kind: fault.Kind(c.Kind), Count: c.Count, Delay: faultDelay}
}
