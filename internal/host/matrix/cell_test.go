package matrix_test

import (
	"time"

	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
)

// cell is one row of the fault matrix: a fault, the requests sent meanwhile and their
// expected outcome.
type cell struct {
	Group  string `json:"group"`
	At     string `json:"at"` // engine, service, platform, host or zone
	Step   string `json:"step"`
	Kind   string `json:"kind"`
	Work   string `json:"work"` // completion, stream, call, keyed or step
	Expect string `json:"expect"`
	Count  int    `json:"count"` // number of faults; zero means until the requests have ended
	Why    string `json:"why"`
}

// String returns the name of the cell, which is also the name of its test.
func (c cell) String() string {
	return c.Group + "/" + c.At + "/" + c.Step + "/" + c.Kind + "/" + c.Work
}

// faultDelay is the delay of a delayed step and of each part of a slow answer.
const faultDelay = 30 * time.Millisecond

// rule returns the rule that injects the fault of the cell in a script.
func (c cell) rule() fault.Rule {
	return fault.Rule{Step: fault.Step(c.Step), Kind: fault.Kind(c.Kind), Count: c.Count, Delay: faultDelay}
}
