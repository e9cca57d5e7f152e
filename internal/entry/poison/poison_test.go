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

// step is one call on the ledger of a host. Host "" means "h1".
type step struct {
	Host  string
	At    int      // seconds
	Crash []string // bodies that ran on the backend server
	Alone bool
	Clear string
	From  string // merges the marks of this host
	Admit map[string]poison.Verdict
	News  int // marks that the call gave
	Note  string
}

func fingerprint(body string) poison.Fingerprint {
	return poison.FingerprintOf("w", "r", []byte(body))
}

func play(ledgers map[string]*poison.SuspectTable, s step) int {
	if s.Host == "" {
		s.Host = "h1"
	}
	if ledgers[s.Host] == nil {
		ledgers[s.Host] = &poison.SuspectTable{}
	}
	l := ledgers[s.Host]
	now := time.Unix(int64(s.At), 0)
	news := 0
	switch {
	case len(s.Crash) > 0:
		crash := poison.Crash{Alone: s.Alone}
		for _, body := range s.Crash {
			crash.Running = append(crash.Running, fingerprint(body))
		}
		news = len(l.RecordCrash(now, crash))
	case s.Clear != "":
		l.Clear(fingerprint(s.Clear))
	case s.From != "":
		data, err := wire.Encode(poison.Marks{List: ledgers[s.From].Marks(now)})
		Expect(err).NotTo(HaveOccurred())
		marks, err := wire.Decode[poison.Marks](data)
		Expect(err).NotTo(HaveOccurred())
		news = len(l.Merge(now, marks.List))
	}
	for body, want := range s.Admit {
		got, refusal := l.Admit(now, fingerprint(body))
		Expect(got).To(Equal(want), "%s: %s", body, s.Note)
		Expect(refusal != nil).To(Equal(want == poison.Refuse))
	}
	return news
}

var _ = Describe("the ledger", func() {
	all, err := cases.Load[[]step]("testdata/*.hujson")
	It("has cases", func() { Expect(err).NotTo(HaveOccurred()) })
	for _, c := range all {
		It(c.Name, func() {
			ledgers := map[string]*poison.SuspectTable{}
			for i, s := range c.Data {
				Expect(play(ledgers, s)).To(Equal(s.News), "step %d: %s", i, s.Note)
			}
		})
	}

	It("tells requests apart by workspace, route and body", func() {
		Expect(poison.FingerprintOf("a", "bc", nil)).NotTo(Equal(poison.FingerprintOf("ab", "c", nil)))
		Expect(poison.FingerprintOf("a", "b", []byte("c"))).NotTo(Equal(poison.FingerprintOf("a", "bc", nil)))
	})

	It("refuses marks that it could not hold", func() {
		Expect(poison.Marks{List: []poison.Mark{{}}}.Check()).To(HaveOccurred())
		Expect(poison.Marks{List: []poison.Mark{{Request: fingerprint("x"), TTLMillis: 1 << 31}}}.Check()).To(HaveOccurred())
		Expect(poison.Marks{List: make([]poison.Mark, 5000)}.Check()).To(HaveOccurred())
	})
})
