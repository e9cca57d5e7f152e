package step

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// explore visits every world within depth actions of a first one, and returns
// how many there are and the first violation.
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
	everything := faults{crash: 2, rewind: 1, repeat: 1, release: 1, lose: 1, late: 1, forget: 1}

	It("keeps its promises in every world within reach", func() {
		depth := 10
		if testing.Short() {
			depth = 8
		}
		states, err := explore(newModel(disabled{}, everything), depth)
		AddReportEntry("states explored", states)
		fmt.Fprintln(GinkgoWriter, "states explored:", states)
		Expect(err).NotTo(HaveOccurred())
		Expect(states).To(BeNumerically(">", 1000))
	})

	DescribeTable("is caught when a guard is missing",
		func(w disabled, left faults) {
			_, err := explore(newModel(w, left), 12)
			Expect(err).To(BeAssignableToTypeOf(&violation{}))
		},
		Entry("of the cursor that a chunk follows", disabled{previousCheck: true}, faults{crash: 1, forget: 1}),
		Entry("of the commit before the hand-over", disabled{commitFirst: true}, faults{crash: 1}),
		Entry("of the condition on the object's version", disabled{versionCheck: true}, faults{}),
		Entry("of the look at the platform on an unknown cursor", disabled{cursorCheck: true}, faults{crash: 1}),
	)
})
