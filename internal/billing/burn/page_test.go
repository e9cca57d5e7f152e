package burn_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/billing/burn"
	"github.com/hyssopwall/hyssopwall/internal/site/document"
)

var _ = Describe("the page", func() {
	It("shows each objective with its plots, refers to no other file and escapes names", func() {
		recorder := &burn.Recorder{}
		recorder.SetObjectives([]document.Objective{{Measure: document.Success, Target: 0.99}})
		recorder.Observe(now(), burn.Event{Workspace: "<a>", Measure: document.Success, Good: 5, Bad: 5})
		page, err := recorder.Report(now(), "h1").Page()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(And(
			ContainSubstring("&lt;a&gt;"), ContainSubstring("fast burn"), ContainSubstring(`class="hot"`),
			ContainSubstring("burn 50, 5 good, 5 bad"), ContainSubstring("-4900.0%"),
		))
		for _, unwanted := range []string{"<a>", "<script", "src=", "href=", "url("} {
			Expect(string(page)).NotTo(ContainSubstring(unwanted))
		}
	})
})
