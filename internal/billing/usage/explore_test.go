package usage_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/billing/usage"
	"github.com/hyssopwall/hyssopwall/internal/fleet/commit"
	"github.com/hyssopwall/hyssopwall/internal/fleet/explore"
	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
)

var times = flag.Int("explore.times", 1, "multiplies the walks explored")

// The model has three hosts that count, each keeping copies of the two others,
// and two sealers that both seal whenever they like, as if both had the lease.
// Copies arrive late, twice, in any order or never; hosts answer a sealer or
// not; windows pass at any time.

const (
	counters = 3
	windows  = 3
)

// weak is a protocol with a guard removed.
type weak struct {
	copies, readBack, condition, ledger bool
}

type sealerState struct {
	ledger *usage.Ledger
	on     bool
	sealed usage.SealedWindow
	update commit.Update
}

type copying struct {
	to      int
	message usage.Copy
	left    int
}

type world struct {
	store    explore.ModelStore
	books    [counters]*usage.Counters
	dead     [counters]bool
	waiting  [counters]int // counted, but the answer has not ended
	served   uint64
	added    uint64
	messages []copying
	sealers  [2]sealerState
	reported [windows][]string // the figures sent for each window
	now      usage.Window
	faults   int
	crashes  int
	late     commit.Call
}

type step = explore.Step[world]

type model struct{ weak weak }

func counter(i int) view.Member { return view.Member{Host: string(rune('a' + i)), Incarnation: 1} }

func (m model) first(faults, crashes int) world {
	w := world{faults: faults, crashes: crashes}
	for i := range w.books {
		w.books[i] = &usage.Counters{Self: counter(i)}
	}
	for s := range w.sealers {
		w.sealers[s].ledger = newLedger()
	}
	return w
}

func newLedger() *usage.Ledger {
	l := usage.NewLedger(0)
	l.Complete = true
	return l
}

func (w world) clone() world {
	for i := range w.books {
		w.books[i] = w.books[i].Clone()
	}
	for s := range w.sealers {
		w.sealers[s].ledger = w.sealers[s].ledger.Clone()
	}
	for i := range w.reported {
		w.reported[i] = slices.Clone(w.reported[i])
	}
	w.messages = slices.Clone(w.messages)
	return w
}

func (w world) alive(m view.Member) bool { return !w.dead[m.Host[0]-'a'] }

func (m model) next(w world) []step {
	var steps []step
	add := func(label string, change func(*world)) {
		steps = append(steps, step{Label: label, MakeState: func() world {
			next := w.clone()
			change(&next)
			return next
		}})
	}
	for i := range w.books {
		if !w.dead[i] {
			m.host(w, i, add)
		}
	}
	for j := range w.messages {
		add(fmt.Sprintf("a copy reaches %c", 'a'+w.messages[j].to), func(n *world) { n.deliver(j) })
	}
	for s := range w.sealers {
		m.sealer(w, s, add)
	}
	if w.now < windows {
		add("a window passes", func(n *world) { n.now++ })
	}
	if w.late.Key != "" {
		add("a delayed write arrives", func(n *world) {
			n.store.Do(n.late)
			n.late = commit.Call{}
		})
	}
	return steps
}

func (m model) host(w world, i int, add func(string, func(*world))) {
	name := string(rune('a' + i))
	for back := range min(2, int(w.now)+1) {
		if w.added >= 4 {
			break
		}
		add(fmt.Sprintf("%s counts %d windows back", name, back), func(n *world) {
			n.books[i].Add("w", n.now-usage.Window(back), usage.Count{Requests: 1})
			n.waiting[i]++
			n.added++
			m.finish(n, i)
		})
	}
	for j := range w.books {
		if j != i && len(w.messages) < 4 {
			add(name+" sends a copy", func(n *world) { n.send(i, j) })
		}
	}
	if w.crashes > 0 {
		add(name+" crashes", func(n *world) {
			n.crashes--
			n.dead[i] = true
			n.waiting[i] = 0
		})
	}
}

func (w *world) send(i, j int) {
	rows := w.books[i].Pending(counter(j), w.alive)
	if len(rows) > 0 {
		w.messages = append(w.messages, copying{to: j, message: usage.Copy{From: counter(i), Rows: rows}, left: 2})
	}
}

// deliver stores a copy; its acknowledgment may be lost with the next message.
func (w *world) deliver(j int) {
	g := w.messages[j]
	w.messages[j].left--
	if w.messages[j].left == 0 {
		w.messages = slices.Delete(w.messages, j, j+1)
	}
	if w.dead[g.to] {
		return
	}
	w.books[g.to].Copy(g.message)
	i := int(g.message.From.Host[0] - 'a')
	if !w.dead[i] {
		w.books[i].Acked(counter(g.to), g.message.Rows)
		model{}.finish(w, i)
	}
}

// finish ends the answers whose counts are stored by two others.
func (m model) finish(w *world, i int) {
	for j := range w.books {
		if j != i && !m.weak.copies && len(w.books[i].Pending(counter(j), w.alive)) > 0 {
			return
		}
	}
	w.served += uint64(w.waiting[i])
	w.waiting[i] = 0
}

func (m model) sealer(w world, s int, add func(string, func(*world))) {
	name := fmt.Sprintf("sealer %d ", s)
	state := w.sealers[s]
	next := state.ledger.Next
	if state.on {
		m.update(w, s, name, add)
		return
	}
	if next >= windows {
		return
	}
	add(name+"reads", func(n *world) { m.read(n, s, n.store.Do(commit.Call{Op: commit.Get, Key: next.Key()})) })
	if next >= w.now {
		return
	}
	for mask := range 1 << counters {
		add(fmt.Sprintf("%sseals with answers %b", name, mask), func(n *world) { m.seal(n, s, mask) })
	}
	for i := range w.books {
		add(name+"covers", func(n *world) {
			n.books[i].Cover(usage.Cover{Rows: n.sealers[s].ledger.Covered(n.books[i].Holdings().Rows)})
		})
	}
	add(name+"restarts", func(n *world) { n.sealers[s] = sealerState{ledger: newLedger()} })
}

func (m model) read(w *world, s int, answer commit.Answer) {
	if answer.Kind == commit.OK {
		m.apply(w, s, answer.Value)
	}
}

// apply takes in a sealed window that stands, and reports it.
func (m model) apply(w *world, s int, value string) {
	var sealed usage.SealedWindow
	if json.Unmarshal([]byte(value), &sealed) != nil || w.sealers[s].ledger.Apply(sealed) != nil {
		return
	}
	figures, _ := json.Marshal(sealed.Lines)
	w.reported[sealed.Window] = append(w.reported[sealed.Window], string(figures))
}

func (m model) seal(w *world, s, mask int) {
	held := usage.Totals{}
	for i := range w.books {
		if !w.dead[i] && mask&(1<<i) != 0 {
			held.Merge(w.books[i].Holdings().Rows)
		}
	}
	state := &w.sealers[s]
	from := state.ledger
	if m.weak.ledger {
		from = newLedger()
		from.Next = state.ledger.Next
	}
	state.sealed = from.Seal(held, nil, w.now, usage.MaxRows)
	state.sealed.Holder = fmt.Sprint(s)
	value, _ := json.Marshal(state.sealed)
	expect := uint64(0)
	if m.weak.condition {
		expect = w.store.Cells[w.store.Index(state.sealed.Window.Key())].Version
	}
	state.update = commit.New(state.sealed.Window.Key(), string(value), expect)
	state.on = true
}

func (m model) update(w world, s int, name string, add func(string, func(*world))) {
	call := w.sealers[s].update.Call()
	add(name+"call takes effect", func(n *world) { m.answer(n, s, n.store.Do(call)) })
	if w.faults == 0 || call.Op == commit.Get {
		return
	}
	lost := commit.Answer{Kind: commit.Unknown}
	if m.weak.readBack {
		lost = commit.Answer{Kind: commit.OK, Version: w.store.Revision + 1}
	}
	add(name+"answer is lost", func(n *world) {
		n.faults--
		n.store.Do(call)
		m.answer(n, s, lost)
	})
	add(name+"call is delayed", func(n *world) {
		n.faults--
		n.late = call
		m.answer(n, s, lost)
	})
}

func (m model) answer(w *world, s int, answer commit.Answer) {
	state := &w.sealers[s]
	state.update = state.update.Apply(answer)
	switch state.update.State {
	case commit.Unresolved:
		return
	case commit.Won:
		m.apply(w, s, state.update.Value)
	case commit.Lost:
		m.apply(w, s, state.update.Found)
	case commit.Refused:
	}
	state.on = false
}

// check looks at the reports, and at what they add up to once every living
// host has been heard.
func (m model) check(w world) error {
	for window, figures := range w.reported {
		if len(slices.Compact(slices.Sorted(slices.Values(figures)))) > 1 {
			return fmt.Errorf("window %d was reported with different figures", window)
		}
	}
	ledger, sum := newLedger(), uint64(0)
	for {
		answer := w.store.Do(commit.Call{Op: commit.Get, Key: ledger.Next.Key()})
		var sealed usage.SealedWindow
		if answer.Kind != commit.OK || json.Unmarshal([]byte(answer.Value), &sealed) != nil {
			break
		}
		sum += requests(sealed)
		_ = ledger.Apply(sealed)
		if ledger.Next >= windows {
			break
		}
	}
	held := usage.Totals{}
	for i, book := range w.books {
		if !w.dead[i] {
			held.Merge(book.Holdings().Rows)
		}
	}
	ledger.Next = windows + 1
	sum += requests(ledger.Seal(held, nil, windows+2, usage.MaxRows))
	if sum < w.served || sum > w.added {
		return fmt.Errorf("%d reported for %d served and %d counted", sum, w.served, w.added)
	}
	return nil
}

func requests(sealed usage.SealedWindow) (sum uint64) {
	for _, line := range sealed.Lines {
		sum += line.Requests
	}
	return sum
}

func (w world) key() string {
	text, _ := json.Marshal(w.sealers[0].ledger)
	for _, book := range w.books {
		rows, _ := json.Marshal(book.Holdings())
		text = append(text, rows...)
	}
	return fmt.Sprint(string(text), w.store, w.dead, w.waiting, w.served, w.messages, w.now, w.faults, w.late,
		w.sealers[0].update, w.sealers[1].update, w.sealers[1].ledger.Next)
}

func (m model) explored(faults, crashes int) explore.Model[world, string] {
	return explore.Model[world, string]{Initial: m.first(faults, crashes), Next: m.next, Key: world.key, Check: m.check}
}

// Bounds of the walks in CI; the flag multiplies them.
const (
	walks = 250
	steps = 60
	seed  = 1
)

var _ = Describe("the interleavings of usage", func() {
	DescribeTable("always add up", func(faults, crashes int) {
		count := walks * *times
		if testing.Short() {
			count = walks / 5
		}
		report := explore.Walk(model{}.explored(faults, crashes), seed, count, steps)
		AddReportEntry("usage, walks", report.String())
		Expect(report.Violation).NotTo(HaveOccurred(), report.String())
	},
		Entry("with lost answers", 2, 0),
		Entry("with a failed host", 1, 1),
		Entry("with two failed hosts", 0, 2),
	)

	DescribeTable("are broken without", func(w weak, faults, crashes int) {
		m := model{weak: w}.explored(faults, crashes)
		m.Key = nil
		report := explore.Walk(m, seed, 4_000, steps)
		AddReportEntry("without a guard", report.String())
		Expect(report.Violation).To(HaveOccurred(), report.String())
	},
		Entry("the copies", weak{copies: true}, 0, 1),
		Entry("reading back", weak{readBack: true}, 1, 0),
		Entry("the condition of the create", weak{condition: true}, 0, 0),
		Entry("the ledger of earlier windows", weak{ledger: true}, 0, 0),
	)
})
