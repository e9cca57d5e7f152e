package poison_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/entry/poison"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
)

func TestPoison(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Poison Suite")
}

// step is one call on the suspect table of a host and its expected results. Host ""
// means "h1".
type step struct {
	Host    string
	At      int                       // seconds
	Crash   []string                  // bodies that ran on the backend server
	Alone   bool                      // the only work there
	Clear   string                    // body whose suspicion is cleared
	From    string                    // merges the marks of this host
	Admit   map[string]poison.Verdict // by body, after the call
	Changed int                       // marks that the call returns
	Note    string                    // printed on failure
}

// fingerprint returns the fingerprint of a request with a body.
func fingerprint(body string) poison.Fingerprint {
	return poison.FingerprintOf("w", "r", []byte(body))
}

// play performs one step and returns the number of marks that the call returned.
func play(tables map[string]*poison.SuspectTable, s step) int {
	if s.Host == "" {
		s.Host = "h1"
	}
	if tables[s.Host] == nil {
		tables[s.Host] = &poison.SuspectTable{}
	}
	table := tables[s.Host]
	now := time.Unix(int64(s.At), 0)
	changed := 0
	switch {
	case len(s.Crash) > 0:
		crash := poison.Crash{Alone: s.Alone}
		for _, body := range s.Crash {
			crash.Running = append(crash.Running, fingerprint(body))
		}
		changed = len(table.RecordCrash(now, crash))
	case s.Clear != "":
		table.Clear(fingerprint(s.Clear))
	case s.From != "":
		data, err := wire.Encode(poison.Marks{List: tables[s.From].Marks(now)})
		Expect(err).NotTo(HaveOccurred())
		marks, err := wire.Decode[poison.Marks](data)
		Expect(err).NotTo(HaveOccurred())
		changed = len(table.Merge(now, marks.List))
	}
	for body, want := range s.Admit {
		got, refusal := table.Admit(now, fingerprint(body))
		Expect(got).To(Equal(want), "%s: %s", body, s.Note)
		Expect(refusal != nil).To(Equal(want == poison.Refuse))
	}
	return changed
}

var _ = Describe("the suspect table", func() {
	all, err := cases.Load[[]step]("testdata/*.hujson")
	It("has cases", func() { Expect(err).NotTo(HaveOccurred()) })
	for _, c := range all {
		It(c.Name, func() {
			tables := map[string]*poison.SuspectTable{}
			for i, s := range c.Data {
				Expect(play(tables, s)).To(Equal(s.Changed), "step %d: %s", i, s.Note)
			}
		})
	}

	It("tells requests apart by workspace, route and body", func() {
		Expect(poison.FingerprintOf("a", "bc", nil)).NotTo(Equal(poison.FingerprintOf("ab", "c", nil)))
		Expect(poison.FingerprintOf("a", "b", []byte("c"))).NotTo(Equal(poison.FingerprintOf("a", "bc", nil)))
	})

	It("rejects invalid marks", func() {
		Expect(poison.Marks{List: []poison.Mark{{}}}.Check()).To(HaveOccurred())
		Expect(poison.Marks{List: []poison.Mark{{Request: fingerprint("x"), TTLMillis: 1 << 31}}}.Check()).To(HaveOccurred())
		Expect(poison.Marks{List: make([]poison.Mark, 5000)}.Check()).To(HaveOccurred())
	})
})
