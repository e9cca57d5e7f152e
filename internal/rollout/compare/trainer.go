package compare

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/rollout/step"
)

// trainer opens a step, pulls it whole, trains, and opens the next.
type trainer struct {
	name    string
	history *step.History
	number  uint64
	ledger  *step.Ledger
	opened  time.Time
	next    time.Time // opening of the next step, while it trains
	cursor  uint64
	got     map[[2]int]bool
}

// plan returns the trainer's next step. Prompts of a class have like lengths.
func (t *trainer) plan(c Scenario) step.Plan {
	p := step.Plan{ID: step.ID{Workspace: "w", Trainer: t.name, Number: t.number}, Model: "m", Bound: c.Bound}
	for g := range c.Groups {
		class := int(random(c.Seed, t.name, fmt.Sprint(t.number, "/", g)).Uint64() % classes)
		p.Groups = append(p.Groups, step.Group{
			Prompt: "p", Size: c.Size, Class: fmt.Sprint(class), MaxTokens: c.Most, PrefixHash: prefixOf(t, g),
		})
	}
	return p
}

func prefixOf(t *trainer, group int) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, t.name, "/", t.number, "/", group)
	return h.Sum64()
}

// lengthOf returns the tokens of a sample. It depends on nothing that a
// decision changes, so that all runs of a scenario generate the same work.
func (t *trainer) lengthOf(c Scenario, group, index int) int {
	class := random(c.Seed, t.name, fmt.Sprint(t.number, "/", group)).Uint64() % classes
	mean := c.Mean * math.Exp(classSigma*random(c.Seed, "class", fmt.Sprint(class)).NormFloat64())
	r := random(c.Seed, t.name, fmt.Sprint(t.number, "/", group, "/", index))
	length := mean * math.Exp(lengthSigma*r.NormFloat64())
	return max(1, min(c.Most, int(length)))
}

func random(seed uint64, parts ...string) *rand.Rand {
	h := fnv.New64a()
	for _, part := range parts {
		_, _ = fmt.Fprint(h, part, ";")
	}
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}
