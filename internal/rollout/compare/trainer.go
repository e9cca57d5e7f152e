package compare

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/rollout/step"
)

// trainer opens a step, pulls all its samples, trains, and opens the next step. Ledger
// is nil while no step is open.
type trainer struct {
	name     string
	history  *step.History
	number   uint64
	ledger   *step.Ledger
	opened   time.Time
	nextOpen time.Time       // time to open the next step, while none is open
	cursor   uint64          // of the last accepted chunk
	received map[[2]int]bool // by group and index of the sample
}

// plan returns the plan of the trainer's step. It puts each group into one of the classes
// at random; samples of a class have similar lengths (see lengthOf).
func (t *trainer) plan(c Scenario) step.Plan {
	p := step.Plan{ID: step.ID{Workspace: "w", Trainer: t.name, Number: t.number}, Model: "m", MaxSampleAge: c.MaxSampleAge}
	for g := range c.Groups {
		class := int(random(c.Seed, t.name, fmt.Sprint(t.number, "/", g)).Uint64() % classes)
		p.Groups = append(p.Groups, step.Group{
			Prompt: "p", Size: c.GroupSize, Class: fmt.Sprint(class), MaxTokens: c.MaxTokens, PrefixHash: prefixOf(t, g),
		})
	}
	return p
}

// prefixOf returns the prefix hash of the prompt of a group.
func prefixOf(t *trainer, group int) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, t.name, "/", t.number, "/", group)
	return h.Sum64()
}

// lengthOf returns the number of tokens of a sample. It does not depend on any
// decision, so that all baselines of a scenario get the same work.
func (t *trainer) lengthOf(c Scenario, group, index int) int {
	class := random(c.Seed, t.name, fmt.Sprint(t.number, "/", group)).Uint64() % classes
	median := c.MedianTokens * math.Exp(classSigma*random(c.Seed, "class", fmt.Sprint(class)).NormFloat64())
	r := random(c.Seed, t.name, fmt.Sprint(t.number, "/", group, "/", index))
	length := median * math.Exp(lengthSigma*r.NormFloat64())
	return max(1, min(c.MaxTokens, int(length)))
}

// random returns a generator that is seeded with seed and the given parts.
func random(seed uint64, parts ...string) *rand.Rand {
	h := fnv.New64a()
	for _, part := range parts {
		_, _ = fmt.Fprint(h, part, ";")
	}
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}
