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

// The model has three hosts that count, each with copies of the counters of the
// two others, and two sealers that both seal at any time, as if both held the
// lease. Copies arrive late, twice, in any order or never. Hosts answer a sealer
// or not. Windows end at any time.

const (
	hostCount = 3
	windows   = 3
)

// removedGuards selects the guards that a variant of the protocol lacks: the wait
// for copies, reading back after a lost answer, the condition of the create, and
// the ledger of earlier windows.
type removedGuards struct {
	copies, readBack, condition, ledger bool
}

// sealerState is a sealer with the write in progress, if any.
type sealerState struct {
	ledger  *usage.Ledger
	writing bool
	sealed  usage.SealedWindow
	update  commit.Update
}

// copyInFlight is a copy on the way to the host with index to.
type copyInFlight struct {
	to         int
	message    usage.Copy
	deliveries int // remaining deliveries
}

// world is a state of the model.
type world struct {
	store    explore.ModelStore
	counters [hostCount]*usage.Counters
	dead     [hostCount]bool
	waiting  [hostCount]int // requests counted whose response has not ended
	served   uint64         // requests whose response has ended
	added    uint64         // requests counted
	messages []copyInFlight
	sealers  [2]sealerState
	reported [windows][]string // lines reported for each window
	now      usage.Window
	faults   int         // lost answers and delayed writes that may still occur
	crashes  int         // crashes that may still occur
	delayed  commit.Call // a write that has not reached the store yet
}

type step = explore.Step[world]

// model explores the protocol, without the removed guards.
type model struct{ removed removedGuards }

// member returns the member of the host with index i.
func member(i int) view.Member { return view.Member{Host: string(rune('a' + i)), Incarnation: 1} }

// initial returns the initial state.
func (m model) initial(faults, crashes int) world {
	w := world{faults: faults, crashes: crashes}
	for i := range w.counters {
		w.counters[i] = &usage.Counters{Self: member(i)}
	}
	for s := range w.sealers {
		w.sealers[s].ledger = newLedger()
	}
	return w
}

// newLedger returns a ledger that starts at the first window.
func newLedger() *usage.Ledger {
	l := usage.NewLedger(0)
	l.Complete = true
	return l
}

func (w world) clone() world {
	for i := range w.counters {
		w.counters[i] = w.counters[i].Clone()
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

// next returns all steps from a state.
func (m model) next(w world) []step {
	var steps []step
	add := func(label string, change func(*world)) {
		steps = append(steps, step{Label: label, MakeState: func() world {
			next := w.clone()
			change(&next)
			return next
		}})
	}
	for i := range w.counters {
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
	if w.delayed.Key != "" {
		add("a delayed write arrives", func(n *world) {
			n.store.Do(n.delayed)
			n.delayed = commit.Call{}
		})
	}
	return steps
}

// host adds the steps of a host: count a request, send a copy, crash.
func (m model) host(w world, i int, add func(string, func(*world))) {
	name := string(rune('a' + i))
	for back := range min(2, int(w.now)+1) {
		if w.added >= 4 {
			break
		}
		add(fmt.Sprintf("%s counts %d windows back", name, back), func(n *world) {
			n.counters[i].Add("w", n.now-usage.Window(back), usage.Count{Requests: 1})
			n.waiting[i]++
			n.added++
			m.finish(n, i)
		})
	}
	for j := range w.counters {
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

// send puts a copy of the pending rows of host i for host j on the way.
func (w *world) send(i, j int) {
	rows := w.counters[i].Pending(member(j), w.alive)
	if len(rows) > 0 {
		w.messages = append(w.messages, copyInFlight{to: j, message: usage.Copy{From: member(i), Rows: rows}, deliveries: 2})
	}
}

// deliver stores a copy at its target, which acknowledges it to a live sender. A
// copy is delivered up to twice.
func (w *world) deliver(j int) {
	sent := w.messages[j]
	w.messages[j].deliveries--
	if w.messages[j].deliveries == 0 {
		w.messages = slices.Delete(w.messages, j, j+1)
	}
	if w.dead[sent.to] {
		return
	}
	w.counters[sent.to].Copy(sent.message)
	i := int(sent.message.From.Host[0] - 'a')
	if !w.dead[i] {
		w.counters[i].Acked(member(sent.to), sent.message.Rows)
		model{}.finish(w, i)
	}
}

// finish ends the responses of host i if the two other hosts store its counts.
func (m model) finish(w *world, i int) {
	for j := range w.counters {
		if j != i && !m.removed.copies && len(w.counters[i].Pending(member(j), w.alive)) > 0 {
			return
		}
	}
	w.served += uint64(w.waiting[i])
	w.waiting[i] = 0
}

// sealer adds the steps of a sealer: read, seal, cover or restart, or continue a
// write in progress.
func (m model) sealer(w world, s int, add func(string, func(*world))) {
	name := fmt.Sprintf("sealer %d ", s)
	state := w.sealers[s]
	next := state.ledger.Next
	if state.writing {
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
	for mask := range 1 << hostCount {
		add(fmt.Sprintf("%sseals with answers %b", name, mask), func(n *world) { m.seal(n, s, mask) })
	}
	for i := range w.counters {
		add(name+"covers", func(n *world) {
			n.counters[i].Cover(usage.Cover{Rows: n.sealers[s].ledger.Covered(n.counters[i].Holdings().Rows)})
		})
	}
	add(name+"restarts", func(n *world) { n.sealers[s] = sealerState{ledger: newLedger()} })
}

// read applies a sealed window that a sealer has read.
func (m model) read(w *world, s int, answer commit.Answer) {
	if answer.Kind == commit.OK {
		m.apply(w, s, answer.Value)
	}
}

// apply adds a stored window to the ledger of a sealer and reports it.
func (m model) apply(w *world, s int, value string) {
	var sealed usage.SealedWindow
	if json.Unmarshal([]byte(value), &sealed) != nil || w.sealers[s].ledger.Apply(sealed) != nil {
		return
	}
	figures, _ := json.Marshal(sealed.Lines)
	w.reported[sealed.Window] = append(w.reported[sealed.Window], string(figures))
}

// seal starts to seal the next window from the answers of the hosts in mask.
func (m model) seal(w *world, s, mask int) {
	held := usage.Totals{}
	for i := range w.counters {
		if !w.dead[i] && mask&(1<<i) != 0 {
			held.Merge(w.counters[i].Holdings().Rows)
		}
	}
	state := &w.sealers[s]
	from := state.ledger
	if m.removed.ledger {
		from = newLedger()
		from.Next = state.ledger.Next
	}
	state.sealed = from.Seal(held, nil, w.now, usage.MaxRows)
	state.sealed.Holder = fmt.Sprint(s)
	value, _ := json.Marshal(state.sealed)
	expect := uint64(0)
	if m.removed.condition {
		expect = w.store.Cells[w.store.Index(state.sealed.Window.Key())].Version
	}
	state.update = commit.New(state.sealed.Window.Key(), string(value), expect)
	state.writing = true
}

// update adds the outcomes of the next call of a write in progress: it takes
// effect, its answer is lost, or it reaches the store late.
func (m model) update(w world, s int, name string, add func(string, func(*world))) {
	call := w.sealers[s].update.Call()
	add(name+"call takes effect", func(n *world) { m.answer(n, s, n.store.Do(call)) })
	if w.faults == 0 || call.Op == commit.Get {
		return
	}
	lost := commit.Answer{Kind: commit.Unknown}
	if m.removed.readBack {
		lost = commit.Answer{Kind: commit.OK, Version: w.store.Revision + 1}
	}
	add(name+"answer is lost", func(n *world) {
		n.faults--
		n.store.Do(call)
		m.answer(n, s, lost)
	})
	add(name+"call is delayed", func(n *world) {
		n.faults--
		n.delayed = call
		m.answer(n, s, lost)
	})
}

// answer advances a write in progress by the answer to its call.
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
	state.writing = false
}

// check verifies that each window was reported with one set of figures. It also
// verifies that the reports, with a last one from all live hosts, add up to at
// least the requests served and at most the requests counted.
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
	for i, counters := range w.counters {
		if !w.dead[i] {
			held.Merge(counters.Holdings().Rows)
		}
	}
	ledger.Next = windows + 1
	sum += requests(ledger.Seal(held, nil, windows+2, usage.MaxRows))
	if sum < w.served || sum > w.added {
		return fmt.Errorf("%d requests reported, but %d served and %d counted", sum, w.served, w.added)
	}
	return nil
}

// requests sums the requests of all lines.
func requests(sealed usage.SealedWindow) (sum uint64) {
	for _, line := range sealed.Lines {
		sum += line.Requests
	}
	return sum
}

// key returns a text by which Walk counts the states in its report. It omits the requests
// counted, the reported lines, the crashes left and the totals of the ledgers, so the count
// is too low.
func (w world) key() string {
	text, _ := json.Marshal(w.sealers[0].ledger)
	for _, counters := range w.counters {
		rows, _ := json.Marshal(counters.Holdings())
		text = append(text, rows...)
	}
	return fmt.Sprint(string(text), w.store, w.dead, w.waiting, w.served, w.messages, w.now, w.faults, w.delayed,
		w.sealers[0].update, w.sealers[1].update, w.sealers[1].ledger.Next)
}

func (m model) explored(faults, crashes int) explore.Model[world, string] {
	return explore.Model[world, string]{Initial: m.initial(faults, crashes), Next: m.next, Key: world.key, Check: m.check}
}

// Number, length and seed of the walks in CI. The flag -explore.times multiplies
// the number.
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

	DescribeTable("are broken without", func(removed removedGuards, faults, crashes int) {
		m := model{removed: removed}.explored(faults, crashes)
		m.Key = nil
		report := explore.Walk(m, seed, 4_000, steps)
		AddReportEntry("without a guard", report.String())
		Expect(report.Violation).To(HaveOccurred(), report.String())
	},
		Entry("the copies", removedGuards{copies: true}, 0, 1),
		Entry("reading back", removedGuards{readBack: true}, 1, 0),
		Entry("the condition of the create", removedGuards{condition: true}, 0, 0),
		Entry("the ledger of earlier windows", removedGuards{ledger: true}, 0, 0),
	)
})
