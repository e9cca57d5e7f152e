package fault_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
)

func TestFault(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fault scripts")
}

var _ = Describe("Script", func() {
	It("skips the first After matches and then injects a fault Count times", func() {
		var script fault.Script
		script.Add(fault.Rule{Step: "put", Match: "lease", Kind: fault.DropAfter, After: 1, Count: 2})
		due := []bool{}
		for range 5 {
			_, taken := script.Take("put", "a/lease/1", fault.Refuse, fault.DropAfter)
			due = append(due, taken)
		}
		Expect(due).To(Equal([]bool{false, true, true, false, false}))
		Expect(script.Injected("put", fault.DropAfter)).To(Equal(2))
	})

	It("doesn't count a fault that a stand-in can't inject", func(ctx SpecContext) {
		var script fault.Script
		script.Add(fault.Rule{Step: "put", Kind: fault.Crossed})
		_, taken := script.Take("put", "a", fault.DropAfter)
		Expect(taken).To(BeFalse())
		_, taken = script.Take("get", "a", fault.Crossed)
		Expect(taken).To(BeFalse())
		Expect(script.Injected("put", fault.Crossed)).To(BeZero())
		_, taken = script.Take("put", "a", fault.Crossed)
		Expect(taken).To(BeTrue())
		Expect(script.Await(ctx, "put", fault.Crossed, 1)).To(Succeed())
	})
})
