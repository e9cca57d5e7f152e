package usage_test

import (
	"context"
	"errors"
	"math"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/billing/usage"
	"github.com/hyssopwall/hyssopwall/internal/fleet/explore"
	"github.com/hyssopwall/hyssopwall/internal/fleet/lease"
	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/platform/report"
)

func TestUsage(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Usage Suite")
}

var begin = time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)

// fleet connects meters and sealers by direct calls. It implements Peers, Leases
// and report.Sink.
type fleet struct {
	mu          sync.Mutex
	now         time.Time
	members     []view.Member
	meters      map[view.Member]*usage.Meter
	dead        map[view.Member]bool
	isolated    map[view.Member]bool // alive, but cut off from Copy and Collect messages
	store       explore.FakeStore
	reports     map[string][]report.Report // received reports by ID
	loseAnswers int                        // number of answers of the sink to lose
	leaseHeld   bool                       // whether the lease is held
	epoch       uint64
}

// newFleet returns a fleet of hosts with running meters.
func newFleet(ctx context.Context, names ...string) *fleet {
	f := &fleet{
		now: begin, meters: map[view.Member]*usage.Meter{}, dead: map[view.Member]bool{}, isolated: map[view.Member]bool{},
		reports: map[string][]report.Report{}, leaseHeld: true, epoch: 1,
	}
	for _, name := range names {
		f.members = append(f.members, view.Member{Host: name, Incarnation: 1})
	}
	for _, member := range f.members {
		m := &usage.Meter{Self: member, Peers: f, Hosts: f.living, Alive: f.alive, Now: f.wall}
		f.meters[member] = m
		go m.Run(ctx)
	}
	return f
}

// wall returns the wall clock time of all hosts.
func (f *fleet) wall() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *fleet) advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}

func (f *fleet) alive(m view.Member) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.dead[m]
}

// kill makes the host with an index fail.
func (f *fleet) kill(at int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dead[f.members[at]] = true
}

func (f *fleet) setIsolated(at int, isolated bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isolated[f.members[at]] = isolated
}

// living returns the hosts that have not failed.
func (f *fleet) living() (l []view.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		if !f.dead[m] {
			l = append(l, m)
		}
	}
	return l
}

// reaches reports whether a message from a reaches b.
func (f *fleet) reaches(a, b view.Member) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.dead[b] && (a == b || !f.isolated[a] && !f.isolated[b])
}

func (f *fleet) Copy(_ context.Context, to view.Member, c usage.Copy) error {
	if !f.reaches(c.From, to) {
		return errors.New("unreachable")
	}
	f.meters[to].Copy(c)
	return nil
}

func (f *fleet) Collect(_ context.Context, from view.Member, open usage.Window) (usage.Holdings, error) {
	if !f.reaches(view.Member{}, from) {
		return usage.Holdings{}, errors.New("unreachable")
	}
	return f.meters[from].Collect(open), nil
}

func (f *fleet) Cover(_ context.Context, to view.Member, c usage.Cover) error {
	f.meters[to].Cover(c)
	return nil
}

func (f *fleet) Send(_ context.Context, r report.Report) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports[r.ID] = append(f.reports[r.ID], r)
	if f.loseAnswers > 0 {
		f.loseAnswers--
		return &object.UnknownError{Key: r.ID, Err: errors.New("lost")}
	}
	return nil
}

func (f *fleet) Held(string) (lease.Grant, bool) { return lease.Grant{Epoch: f.epoch}, f.leaseHeld }

func (f *fleet) Do(ctx context.Context, duty string, send func(context.Context, lease.Grant) error) error {
	if !f.leaseHeld {
		return &lease.NotHeldError{Duty: duty}
	}
	return send(ctx, lease.Grant{Epoch: f.epoch})
}

// sealer returns a new sealer on the host with an index.
func (f *fleet) sealer(at int) *usage.Sealer {
	return &usage.Sealer{Self: f.members[at], Store: &f.store, Sink: f, Leases: f, Peers: f, Hosts: f.living, Now: f.wall}
}

// sums adds up the reports, each ID once, and counts the adjustments. It fails if
// two reports of one ID differ.
func (f *fleet) sums() (total uint64, late int) {
	for _, reports := range f.reports {
		for _, r := range reports {
			Expect(r.Lines).To(Equal(reports[0].Lines))
		}
		for _, line := range reports[0].Lines {
			total += line.Requests
			if line.Adjusts != "" {
				late++
			}
		}
	}
	return total, late
}

var one = usage.Count{Requests: 1, Tokens: 10}

var _ = Describe("usage", func() {
	var f *fleet
	ctx := context.Background()
	BeforeEach(func() {
		running, cancel := context.WithCancel(context.Background())
		f = newFleet(running, "a", "b", "c", "d", "e")
		DeferCleanup(func() {
			cancel()
			for _, m := range f.meters {
				<-m.Done()
			}
		})
	})
	serve := func(at, times int) {
		for range times {
			Expect(f.meters[f.members[at]].Add(ctx, "forge", one)).To(Succeed())
		}
	}

	It("reports what was served when hosts fail, and repeats the same report", func() {
		s := f.sealer(4)
		Expect(s.RunOnce(ctx)).To(Succeed())
		serve(0, 3)
		serve(1, 2)
		f.kill(0)
		f.kill(1)
		serve(2, 4)
		f.advance(usage.WindowLength + usage.SealDelay)
		f.loseAnswers = 2
		Expect(s.RunOnce(ctx)).NotTo(Succeed())
		Expect(s.RunOnce(ctx)).NotTo(Succeed())
		Expect(s.RunOnce(ctx)).To(Succeed())
		total, late := f.sums()
		Expect(total).To(Equal(uint64(9)))
		Expect(late).To(BeZero())
	})

	It("reports late counts once, as an adjustment, also under another sealer", func() {
		Expect(f.sealer(4).RunOnce(ctx)).To(Succeed())
		serve(0, 2)
		f.setIsolated(0, true)
		Expect(f.meters[f.members[0]].Add(ctx, "forge", one)).To(BeAssignableToTypeOf(&usage.UnderReplicatedError{}))
		f.advance(usage.WindowLength + usage.SealDelay)
		Expect(f.sealer(4).RunOnce(ctx)).To(Succeed())
		total, _ := f.sums()
		Expect(total).To(Equal(uint64(2)))
		f.setIsolated(0, false)
		f.epoch++
		f.advance(usage.WindowLength)
		Expect(f.sealer(3).RunOnce(ctx)).To(Succeed())
		total, late := f.sums()
		Expect(total).To(Equal(uint64(3)))
		Expect(late).To(Equal(1))
		f.advance(usage.WindowLength)
		Expect(f.sealer(2).RunOnce(ctx)).To(Succeed())
		total, _ = f.sums()
		Expect(total).To(Equal(uint64(3)))
	})

	It("seals and reports nothing without the lease", func() {
		f.leaseHeld = false
		serve(0, 1)
		f.advance(2 * usage.WindowLength)
		Expect(f.sealer(4).RunOnce(ctx)).To(Succeed())
		Expect(f.reports).To(BeEmpty())
	})

	It("seals each window with one set of figures through lost answers and stale reads", func() {
		calls := 0
		f.store.SetFault(func(op, _ string) explore.Fault {
			calls++
			if op == "put" && calls%3 == 0 {
				return explore.LoseAnswer
			}
			if op == "get" && calls%4 == 0 {
				return explore.StaleRead
			}
			return explore.NoFault
		})
		first, second := f.sealer(4), f.sealer(3)
		Expect(first.RunOnce(ctx)).To(Succeed())
		for range 4 {
			serve(0, 1)
			f.advance(usage.WindowLength + usage.SealDelay)
			_, _ = first.RunOnce(ctx), second.RunOnce(ctx)
		}
		f.store.SetFault(nil)
		f.advance(usage.WindowLength)
		Expect(second.RunOnce(ctx)).To(Succeed())
		total, _ := f.sums()
		Expect(total).To(Equal(uint64(4)))
	})

	It("includes a counter of a future window once", func() {
		Expect(f.sealer(4).RunOnce(ctx)).To(Succeed())
		wrong := f.meters[f.members[0]]
		ahead := usage.Copy{From: f.members[0], Rows: []usage.Row{{
			Counter: usage.CounterID{Source: view.Member{Host: "z", Incarnation: 1}, Window: usage.WindowAt(begin) + 100, Workspace: "forge"},
			Total:   one,
		}}}
		wrong.Copy(ahead)
		for range 103 {
			f.advance(usage.WindowLength + time.Second)
			Expect(f.sealer(4).RunOnce(ctx)).To(Succeed())
			wrong.Copy(ahead) // a repeated message
		}
		total, late := f.sums()
		Expect(total).To(Equal(uint64(1)))
		Expect(late).To(Equal(1))
	})

	It("loses counts as rarely as the package documentation says", func() {
		perYear := usage.LossesPerYear(390, 64, 15*time.Second)
		GinkgoWriter.Printf("lost counts: %.2g a year, %.2g without repair\n", perYear, usage.LossesPerYear(390, 64, usage.WindowLength))
		Expect(1 / perYear).To(BeNumerically(">", 10_000))
		Expect(math.Round(usage.LossesPerYear(390, 64, usage.WindowLength))).To(BeNumerically("~", 3, 2))
	})

	It("forgets the acknowledgments of hosts that are gone, and sends the rows again", func() {
		counters := usage.Counters{Self: member(0)}
		counters.Add("forge", usage.WindowAt(begin), one)
		rows := counters.Pending(member(1), f.alive)
		Expect(rows).To(HaveLen(1))
		counters.Acked(member(1), rows)
		Expect(counters.Pending(member(1), f.alive)).To(BeEmpty())
		counters.RetainTargets([]view.Member{member(1)})
		Expect(counters.Pending(member(1), f.alive)).To(BeEmpty())
		counters.RetainTargets([]view.Member{member(2)})
		Expect(counters.Pending(member(1), f.alive)).To(HaveLen(1))
	})
})
