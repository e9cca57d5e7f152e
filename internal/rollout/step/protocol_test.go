package step

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// explore visits every state within depth actions of the initial one. It returns the
// number of states and the first violation.
func explore(initial *model, depth int) (int, error) {
	seen := map[string]bool{initial.key(): true}
	frontier := []*model{initial}
	for range depth {
		var next []*model
		for _, m := range frontier {
			for _, act := range m.actions() {
				c := m.clone()
				c.now++
				if err := act(c); err != nil {
					return len(seen), err
				}
				key := c.key()
				if seen[key] {
					continue
				}
				seen[key] = true
				if err := c.checkCompletes(); err != nil {
					return len(seen), err
				}
				next = append(next, c)
			}
		}
		frontier = next
	}
	return len(seen), nil
}

var _ = Describe("the pull protocol", func() {
	allFaults := faults{crash: 2, rewind: 1, repeat: 1, release: 1, lose: 1, late: 1, forget: 1}

	It("keeps its invariants in every reachable state", func() {
		depth := 10
		if testing.Short() {
			depth = 8
		}
		states, err := explore(newModel(disabled{}, allFaults), depth)
		AddReportEntry("states explored", states)
		fmt.Fprintln(GinkgoWriter, "states explored:", states)
		Expect(err).NotTo(HaveOccurred())
		Expect(states).To(BeNumerically(">", 1000))
	})

	DescribeTable("violates an invariant without the check",
		func(off disabled, remaining faults) {
			_, err := explore(newModel(off, remaining), 12)
			Expect(err).To(BeAssignableToTypeOf(&violation{}))
		},
		Entry("of the previous cursor of a chunk", disabled{previousCheck: true}, faults{crash: 1, forget: 1}),
		Entry("of the commit before a chunk is sent", disabled{commitFirst: true}, faults{crash: 1}),
		Entry("of the version of the step object", disabled{versionCheck: true}, faults{}),
		Entry("of the step object on an unknown cursor", disabled{cursorCheck: true}, faults{crash: 1}),
	)
})
