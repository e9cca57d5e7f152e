package chain_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/site/chain"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
)

func TestChain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Chain Suite")
}

// script holds log lines, an identifier and the expected chain.
type script struct {
	ID      string
	Logs    []string
	Events  []string
	Context []string
	Cause   string
	Skipped int
}

// events returns the event numbers of lines.
func events(lines []chain.Line) []string {
	var names []string
	for _, line := range lines {
		names = append(names, line.Event)
	}
	return names
}

var _ = Describe("a chain of log lines", func() {
	all, err := cases.Load[script]("testdata/*.hujson")
	if err != nil {
		panic(err)
	}
	for _, c := range all {
		It("is found and ordered: "+c.Name, func() {
			found, err := chain.Find(strings.NewReader(strings.Join(c.Data.Logs, "\n")), c.Data.ID)
			Expect(err).NotTo(HaveOccurred())
			Expect(events(found.Lines)).To(Equal(c.Data.Events))
			Expect(events(found.Context)).To(Equal(c.Data.Context))
			Expect(found.Cause().Event).To(Equal(c.Data.Cause))
			Expect(found.Skipped).To(Equal(c.Data.Skipped))
			var out bytes.Buffer
			Expect(found.Write(&out)).To(Succeed())
			Expect(out.String()).To(ContainSubstring("cause: " + c.Data.Cause))
		})
	}

	It("is an error when no line contains the identifier", func() {
		_, err := chain.Find(strings.NewReader(all[0].Data.Logs[0]), "x")
		Expect(err).To(Equal(&chain.NotFoundError{ID: "x", Lines: 1}))
	})
})

// Logs are untrusted input: no content may make the command panic.
func FuzzFind(f *testing.F) {
	f.Add([]byte(`{"time":"2026-12-04T03:00:01Z","event":"HW1","item":"x","batch":3}`))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		if found, err := chain.Find(bytes.NewReader(raw), "x"); err == nil {
			_ = found.Cause()
		}
	})
}
