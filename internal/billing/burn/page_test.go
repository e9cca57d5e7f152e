package burn_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/billing/burn"
	"github.com/hyssopwall/hyssopwall/internal/site/document"
)

var _ = Describe("the page", func() {
	It("shows every objective with its plots, needs nothing else and escapes names", func() {
		book := &burn.Recorder{}
		book.SetObjectives([]document.Objective{{Measure: document.Success, Target: 0.99}})
		book.Observe(now(), burn.Event{Workspace: "<a>", Measure: document.Success, Good: 5, Bad: 5})
		page, err := book.Report(now(), "h1").Page()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(And(
			ContainSubstring("&lt;a&gt;"), ContainSubstring("fast burn"), ContainSubstring(`class="hot"`),
			ContainSubstring("burn 50, 5 good, 5 bad"), ContainSubstring("-4900.0%"),
		))
		for _, outside := range []string{"<a>", "<script", "src=", "href=", "url("} {
			Expect(string(page)).NotTo(ContainSubstring(outside))
		}
	})
})
