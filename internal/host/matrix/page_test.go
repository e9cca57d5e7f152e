package matrix_test

import (
	"flag"
	"fmt"
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
)

// pagePath is the page that is generated from the cells.
const pagePath = "../../../docs/FAULTS.md"

var update = flag.Bool("update", false, "write docs/FAULTS.md")

// pageHeader is the text of the page up to the rows of its table.
const pageHeader = `# Faults

This page is made from the cells of internal/host/matrix (go test
./internal/host/matrix -update). Each row is a test: on a site of three zones,
six hosts, four engines and three services, the fault is brought about while six
requests, or one step of eight samples, are under way. Every cell checks that
the fault really happened; that each text is the whole answer to its own
request; that a keyed call ran at most once; that "not run" is true; that no
backend server saw a key; that the step was whole, fresh, labeled and delivered
once; and that the site serves afterwards.

"served": every request is answered in the end, its caller repeating what may be
repeated. "unknown": some end with an unknown outcome. "answered": each ends
with an answer or a true refusal.

| group | where | step | fault | work | outcome | why |
| --- | --- | --- | --- | --- | --- | --- |
`

// renderPage returns the page with one row for each cell.
func renderPage(all []cell) string {
	var out strings.Builder
	out.WriteString(pageHeader)
	for _, c := range all {
		_, _ = fmt.Fprintf(&out, "| %s | %s | %s | %s | %s | %s | %s |\n", c.Group, c.At, c.Step, c.Kind, c.Work, c.Expect, c.Why)
	}
	return out.String()
}

var _ = Describe("the page of faults", func() {
	It("lists the cells", func() {
		loaded, err := cases.Load[[]cell]("testdata/cells.hujson")
		Expect(err).NotTo(HaveOccurred())
		want := renderPage(loaded[0].Data)
		if *update {
			Expect(os.WriteFile(pagePath, []byte(want), 0o600)).To(Succeed())
		}
		got, err := os.ReadFile(pagePath)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got)).To(Equal(want))
	})
})
