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

// fleet joins meters by direct calls.
type fleet struct {
	mu      sync.Mutex
	now     time.Time
	members []view.Member
	meters  map[view.Member]*usage.Meter
	dead    map[view.Member]bool
	cut     map[view.Member]bool // lives, but no message reaches it
	store   explore.FakeStore
	taken   map[string][]report.Report
	lose    int // answers of the sink to lose
	held    bool
	epoch   uint64
}

func newFleet(ctx context.Context, names ...string) *fleet {
	f := &fleet{
		now: begin, meters: map[view.Member]*usage.Meter{}, dead: map[view.Member]bool{}, cut: map[view.Member]bool{},
		taken: map[string][]report.Report{}, held: true, epoch: 1,
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

func (f *fleet) wall() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *fleet) pass(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}

func (f *fleet) alive(m view.Member) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.dead[m]
}

func (f *fleet) kill(at int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dead[f.members[at]] = true
}

func (f *fleet) setCut(at int, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[f.members[at]] = cut
}

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

func (f *fleet) reaches(a, b view.Member) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.dead[b] && (a == b || !f.cut[a] && !f.cut[b])
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
	f.taken[r.ID] = append(f.taken[r.ID], r)
	if f.lose > 0 {
		f.lose--
		return &object.UnknownError{Key: r.ID, Err: errors.New("lost")}
	}
	return nil
}

func (f *fleet) Held(string) (lease.Grant, bool) { return lease.Grant{Epoch: f.epoch}, f.held }

func (f *fleet) Do(ctx context.Context, duty string, send func(context.Context, lease.Grant) error) error {
	if !f.held {
		return &lease.NotHeldError{Duty: duty}
	}
	return send(ctx, lease.Grant{Epoch: f.epoch})
}

func (f *fleet) sealer(at int) *usage.Sealer {
	return &usage.Sealer{Self: f.members[at], Store: &f.store, Sink: f, Leases: f, Peers: f, Hosts: f.living, Now: f.wall}
}

// sums adds up the reports, each ID once, and fails if two differ.
func (f *fleet) sums() (total uint64, late int) {
	for _, reports := range f.taken {
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

	It("adds up with what was served when hosts fail, and repeats the same report", func() {
		s := f.sealer(4)
		Expect(s.RunOnce(ctx)).To(Succeed())
		serve(0, 3)
		serve(1, 2)
		f.kill(0)
		f.kill(1)
		serve(2, 4)
		f.pass(usage.WindowLength + usage.SealDelay)
		f.lose = 2
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
		f.setCut(0, true)
		Expect(f.meters[f.members[0]].Add(ctx, "forge", one)).To(BeAssignableToTypeOf(&usage.UnderReplicatedError{}))
		f.pass(usage.WindowLength + usage.SealDelay)
		Expect(f.sealer(4).RunOnce(ctx)).To(Succeed())
		total, _ := f.sums()
		Expect(total).To(Equal(uint64(2)))
		f.setCut(0, false)
		f.epoch++
		f.pass(usage.WindowLength)
		Expect(f.sealer(3).RunOnce(ctx)).To(Succeed())
		total, late := f.sums()
		Expect(total).To(Equal(uint64(3)))
		Expect(late).To(Equal(1))
		f.pass(usage.WindowLength)
		Expect(f.sealer(2).RunOnce(ctx)).To(Succeed())
		total, _ = f.sums()
		Expect(total).To(Equal(uint64(3)))
	})

	It("seals and reports nothing without the lease", func() {
		f.held = false
		serve(0, 1)
		f.pass(2 * usage.WindowLength)
		Expect(f.sealer(4).RunOnce(ctx)).To(Succeed())
		Expect(f.taken).To(BeEmpty())
	})

	It("seals one window with one figure through lost answers and old reads", func() {
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
			f.pass(usage.WindowLength + usage.SealDelay)
			_, _ = first.RunOnce(ctx), second.RunOnce(ctx)
		}
		f.store.SetFault(nil)
		f.pass(usage.WindowLength)
		Expect(second.RunOnce(ctx)).To(Succeed())
		total, _ := f.sums()
		Expect(total).To(Equal(uint64(4)))
	})

	It("takes in a window that lies ahead once", func() {
		Expect(f.sealer(4).RunOnce(ctx)).To(Succeed())
		wrong := f.meters[f.members[0]]
		ahead := usage.Copy{From: f.members[0], Rows: []usage.Row{{
			Counter: usage.CounterID{Source: view.Member{Host: "z", Incarnation: 1}, Window: usage.WindowAt(begin) + 100, Workspace: "forge"},
			Total:   one,
		}}}
		wrong.Copy(ahead)
		for range 103 {
			f.pass(usage.WindowLength + time.Second)
			Expect(f.sealer(4).RunOnce(ctx)).To(Succeed())
			wrong.Copy(ahead) // an old message
		}
		total, late := f.sums()
		Expect(total).To(Equal(uint64(1)))
		Expect(late).To(Equal(1))
	})

	It("loses counts as seldom as its documentation says", func() {
		perYear := usage.LossesPerYear(390, 64, 15*time.Second)
		GinkgoWriter.Printf("lost counts: %.2g a year, %.2g without repair\n", perYear, usage.LossesPerYear(390, 64, usage.WindowLength))
		Expect(1 / perYear).To(BeNumerically(">", 10_000))
		Expect(math.Round(usage.LossesPerYear(390, 64, usage.WindowLength))).To(BeNumerically("~", 3, 2))
	})

	It("forgets what hosts that are gone have acknowledged, and sends it to others", func() {
		book := usage.Counters{Self: counter(0)}
		book.Add("forge", usage.WindowAt(begin), one)
		rows := book.Pending(counter(1), f.alive)
		Expect(rows).To(HaveLen(1))
		book.Acked(counter(1), rows)
		Expect(book.Pending(counter(1), f.alive)).To(BeEmpty())
		book.RetainTargets([]view.Member{counter(1)})
		Expect(book.Pending(counter(1), f.alive)).To(BeEmpty())
		book.RetainTargets([]view.Member{counter(2)})
		Expect(book.Pending(counter(1), f.alive)).To(HaveLen(1))
	})
})
