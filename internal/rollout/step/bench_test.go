package step_test

import (
	"fmt"
	"testing"

	"github.com/hyssopwall/hyssopwall/internal/rollout/step"
)

// BenchmarkAssign assigns a step of 2,048 samples to 3,800 engines.
func BenchmarkAssign(b *testing.B) {
	wanted := plan(256, 8)
	for b.Loop() {
		b.StopTimer()
		l, err := step.NewLedger(step.State{ID: wanted.ID, Owner: "h", Epoch: 1}, wanted, step.Policy{}, nil)
		if err != nil {
			b.Fatal(err)
		}
		var engines []step.Engine
		for i := range 3800 {
			engines = append(engines, step.Engine{Name: fmt.Sprint("e", i), Version: 1, FreeSlots: 8, Speed: 70, Slowdown: 0.2})
		}
		b.StartTimer()
		if n := len(l.Assign(start, engines)); n != 2048 {
			b.Fatal(n)
		}
	}
}
