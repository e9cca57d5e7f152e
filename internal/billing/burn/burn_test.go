package burn_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/billing/burn"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
	"github.com/hyssopwall/hyssopwall/internal/site/document"
	"github.com/hyssopwall/hyssopwall/internal/site/form"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
)

func TestBurn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Burn Suite")
}

// scenario is a scripted case: the events that one host counts, and the expected
// lines of its report in order.
type scenario struct {
	Objectives []document.Objective `json:"objectives"`
	Events     []scriptedEvent      `json:"events"`
	Want       []wantedLine         `json:"want"`
}

// scriptedEvent is an event that occurred some time ago.
type scriptedEvent struct {
	Ago       form.Duration    `json:"ago"`
	Workspace string           `json:"workspace"`
	Route     string           `json:"route"`
	Measure   document.Measure `json:"measure"`
	Good      uint64           `json:"good"`
	Bad       uint64           `json:"bad"`
	Took      form.Duration    `json:"took"`
}

// wantedLine is an expected line of a report. Burns are the burn rates of all windows.
type wantedLine struct {
	Workspace string     `json:"workspace"`
	Route     string     `json:"route"`
	Burns     []float64  `json:"burns"`
	Left      float64    `json:"left"`
	Alarm     burn.Alarm `json:"alarm"`
}

// now is the last moment of a bucket of every level.
func now() time.Time { return time.Date(2026, 3, 1, 12, 59, 59, 0, time.UTC) }

// linesOf returns the lines of all workspaces of a report.
func linesOf(report burn.Report) []wantedLine {
	var lines []wantedLine
	for _, workspace := range report.Workspaces {
		for _, line := range workspace.Lines {
			got := wantedLine{Workspace: workspace.Workspace, Route: line.Route, Left: line.Left, Alarm: line.Alarm}
			for _, rate := range line.Rates {
				got.Burns = append(got.Burns, rate.Burn)
			}
			lines = append(lines, got)
		}
	}
	return lines
}

var _ = Describe("a report", func() {
	It("follows the scripted cases", func() {
		loaded, err := cases.Load[scenario]("testdata/*.hujson")
		Expect(err).NotTo(HaveOccurred())
		for _, c := range loaded {
			recorder := &burn.Recorder{}
			recorder.SetObjectives(c.Data.Objectives)
			for _, e := range c.Data.Events {
				recorder.Observe(now().Add(-time.Duration(e.Ago)), burn.Event{
					Workspace: e.Workspace, Route: e.Route, Measure: e.Measure, Good: e.Good, Bad: e.Bad, Elapsed: time.Duration(e.Took),
				})
			}
			got := linesOf(recorder.Report(now(), "h"))
			Expect(got).To(HaveLen(len(c.Data.Want)), c.Name)
			for i, want := range c.Data.Want {
				for w, rate := range want.Burns {
					Expect(got[i].Burns[w]).To(BeNumerically("~", rate, 1e-9), c.Name)
				}
				Expect(got[i].Left).To(BeNumerically("~", want.Left, 1e-9), c.Name)
				got[i].Burns, got[i].Left = want.Burns, want.Left
			}
			Expect(got).To(Equal(c.Data.Want), c.Name)
		}
	})

	It("keeps the counts of an objective whose target changes and drops those of a removed one", func() {
		recorder := &burn.Recorder{}
		recorder.SetObjectives([]document.Objective{{Measure: document.Success, Target: 0.9}})
		recorder.Observe(now(), burn.Event{Workspace: "a", Measure: document.Success, Good: 9, Bad: 1})
		recorder.SetObjectives([]document.Objective{{Measure: document.Success, Target: 0.5}})
		Expect(linesOf(recorder.Report(now(), "h"))[0].Burns[0]).To(BeNumerically("~", 0.2, 1e-9))
		recorder.SetObjectives(nil)
		Expect(recorder.Report(now(), "h").Workspaces).To(BeEmpty())
	})
})

// objectives returns one objective of each kind that the random events count for.
func objectives() []document.Objective {
	return []document.Objective{
		{Measure: document.Success, Target: 0.99},
		{Route: "r1", Measure: document.Latency, Target: 0.9, Within: form.Duration(time.Second)},
		{Measure: document.Step, Target: 0.9, Within: form.Duration(24 * time.Minute)},
	}
}

// recordRandomEvents counts random events, each on one of several hosts and on a further host
// that counts all of them.
func recordRandomEvents(seed uint64, hosts, events int) (perHost []*burn.Recorder, combined *burn.Recorder) {
	random := rand.New(rand.NewPCG(seed, 1))
	combined = &burn.Recorder{}
	combined.SetObjectives(objectives())
	for range hosts {
		recorder := &burn.Recorder{}
		recorder.SetObjectives(objectives())
		perHost = append(perHost, recorder)
	}
	measures := []document.Measure{document.Success, document.Latency, document.Step}
	for range events {
		ago := time.Duration(random.ExpFloat64() * float64(3*time.Hour))
		e := burn.Event{
			Workspace: fmt.Sprintf("w%d", random.IntN(4)), Route: fmt.Sprintf("r%d", random.IntN(2)),
			Measure: measures[random.IntN(len(measures))],
		}
		e.Good = random.Uint64N(2)
		e.Bad = 1 - e.Good
		if e.Good > 0 && e.Measure != document.Success {
			e.Elapsed = time.Duration(random.ExpFloat64() * float64(time.Second))
		}
		perHost[random.IntN(hosts)].Observe(now().Add(-ago), e)
		combined.Observe(now().Add(-ago), e)
	}
	return perHost, combined
}

// encoded returns the encoded snapshot of a host.
func encoded(recorder *burn.Recorder, host string) []byte {
	data, err := wire.Encode(recorder.Snapshot(now(), host, 1))
	Expect(err).NotTo(HaveOccurred())
	return data
}

// merge returns the report of encoded snapshots, merged in the given order.
func merge(all [][]byte) burn.Report {
	var merged burn.Merged
	for _, data := range all {
		snapshot, err := wire.Decode[burn.Snapshot](data)
		Expect(err).NotTo(HaveOccurred())
		_, err = merged.Add(snapshot)
		Expect(err).NotTo(HaveOccurred())
	}
	return merged.Report(now())
}

var _ = Describe("snapshots", func() {
	It("merge exactly, in any order, to what one host would have counted", func() {
		for seed := range uint64(5) {
			perHost, combined := recordRandomEvents(seed, 7, 4000)
			var all [][]byte
			for i, recorder := range perHost {
				all = append(all, encoded(recorder, fmt.Sprintf("h%d", i)))
			}
			want := combined.Report(now(), "all")
			backward := slices.Clone(all)
			slices.Reverse(backward)
			for _, order := range [][][]byte{all, backward} {
				got := merge(order)
				Expect(got.Hosts).To(HaveLen(7))
				Expect(got.Workspaces).To(Equal(want.Workspaces))
			}
		}
	})

	It("of one host are added once", func() {
		perHost, _ := recordRandomEvents(1, 1, 500)
		data := encoded(perHost[0], "h")
		Expect(merge([][]byte{data, data}).Workspaces).To(Equal(merge([][]byte{data}).Workspaces))
	})

	It("are refused when damaged", func() {
		perHost, _ := recordRandomEvents(1, 1, 500)
		damages := map[string]func(*burn.Snapshot){
			"Host":   func(s *burn.Snapshot) { s.Host = "" },
			"Series": func(s *burn.Snapshot) { s.Series = append(s.Series, s.Series[0]) },
			"Target": func(s *burn.Snapshot) { s.Series[0].Target = 1 },
			"Levels": func(s *burn.Snapshot) { s.Series[0].Levels[0][0].Good = 1 << 60 },
			"Times":  func(s *burn.Snapshot) { firstTimes(s).Data[2] ^= 0xff },
		}
		for field, damage := range damages {
			snapshot, err := wire.Decode[burn.Snapshot](encoded(perHost[0], "h"))
			Expect(err).NotTo(HaveOccurred())
			damage(&snapshot)
			data, err := wire.Encode(snapshot)
			Expect(err).NotTo(HaveOccurred())
			_, err = wire.Decode[burn.Snapshot](data)
			var wrong *wire.FieldError
			Expect(errors.As(err, &wrong)).To(BeTrue(), field)
			Expect(wrong.Field).To(ContainSubstring(field))
		}
	})

	It("of a host with full series fit the control budget when fetched once a minute", func() {
		const budget = 5 << 10 * 60 // bytes a minute
		recorder := &burn.Recorder{}
		recorder.SetObjectives(objectives())
		random := rand.New(rand.NewPCG(1, 1))
		for ago := 72 * time.Hour; ago >= 0; ago -= time.Minute {
			for w := range 8 {
				took := time.Duration(random.ExpFloat64() * float64(time.Second))
				for _, measure := range []document.Measure{document.Success, document.Latency} {
					recorder.Observe(now().Add(-ago), burn.Event{Workspace: fmt.Sprintf("w%d", w), Route: "r1", Measure: measure, Good: 300, Bad: 3, Elapsed: took})
				}
			}
		}
		size := len(encoded(recorder, "h"))
		GinkgoWriter.Printf("%d bytes for 16 full series\n", size)
		Expect(size).To(BeNumerically("<", budget))
	})
})

// firstTimes returns the first distribution of durations of a snapshot, nil if there is
// none.
func firstTimes(s *burn.Snapshot) *burn.Times {
	for i := range s.Series {
		if len(s.Series[i].Times) > 0 {
			return &s.Series[i].Times[0]
		}
	}
	return nil
}

func BenchmarkObserve(b *testing.B) {
	recorder := &burn.Recorder{}
	recorder.SetObjectives(objectives())
	at := now()
	for b.Loop() {
		recorder.Observe(at, burn.Event{Workspace: "w", Route: "r1", Measure: document.Latency, Good: 1, Elapsed: 40 * time.Millisecond})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	RegisterTestingT(b)
	perHost, _ := recordRandomEvents(1, 1, 20000)
	size := 0
	for b.Loop() {
		size = len(encoded(perHost[0], "h"))
	}
	b.ReportMetric(float64(size), "B/snapshot")
}

func FuzzSnapshot(f *testing.F) {
	RegisterTestingT(f)
	perHost, _ := recordRandomEvents(1, 1, 200)
	f.Add(encoded(perHost[0], "h"))
	f.Fuzz(func(t *testing.T, data []byte) {
		snapshot, err := wire.Decode[burn.Snapshot](data)
		if err != nil {
			return
		}
		var merged burn.Merged
		if _, err := merged.Add(snapshot); err != nil {
			t.Fatalf("checked snapshot not added: %v", err)
		}
		merged.Report(now())
	})
}
