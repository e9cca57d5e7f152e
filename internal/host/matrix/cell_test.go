package matrix_test

import (
	"time"

	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
)

// cell is one row of the matrix.
type cell struct {
	Group  string `json:"group"`
	At     string `json:"at"` // engine, service, platform, host or zone
	Step   string `json:"step"`
	Kind   string `json:"kind"`
	Work   string `json:"work"` // completion, stream, call, keyed or step
	Expect string `json:"expect"`
	Count  int    `json:"count"` // faults; zero means as long as the work lasts
	Why    string `json:"why"`
}

func (c cell) String() string {
	return c.Group + "/" + c.At + "/" + c.Step + "/" + c.Kind + "/" + c.Work
}

// faultDelay is how late a delayed step starts, and each part of a slow answer
// comes.
const faultDelay = 30 * time.Millisecond

func (c cell) rule() fault.Rule {
	return fault.Rule{Step: fault.Step(c.Step), Kind: fault.Kind(c.Kind), Count: c.Count, Delay: faultDelay}
}
