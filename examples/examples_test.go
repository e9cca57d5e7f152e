package examples_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/examples"
	"github.com/hyssopwall/hyssopwall/internal/site/document"
	"github.com/hyssopwall/hyssopwall/internal/site/settings"
)

func TestExamples(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Examples Suite")
}

var _ = Describe("the examples", func() {
	It("pass validation", func() {
		forge, err := document.Decode("forge.hujson", examples.Forge)
		Expect(err).NotTo(HaveOccurred())
		Expect(forge.Workspaces).To(HaveLen(8))
		consortium, err := document.Decode("consortium.hujson", examples.Consortium)
		Expect(err).NotTo(HaveOccurred())
		Expect(consortium.Workspaces).To(HaveLen(8))
		_, err = settings.Decode("host.hujson", examples.Host)
		Expect(err).NotTo(HaveOccurred())
	})
})
