package claim_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/entry/claim"
	"github.com/hyssopwall/hyssopwall/internal/fleet/commit"
	"github.com/hyssopwall/hyssopwall/internal/fleet/explore"
	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
)

// The model has three hosts, one shard, one key that two attempts claim at any
// host, and the platform. Messages arrive late, twice, in any order or never.
// Each host may take over, drop a copy, bring a new one up to date or restart
// the shard whenever the rules of package view allow it, whoever really lives.

const members = 3

// weak is a protocol with a guard removed.
type weak struct {
	acks, floor, sync, join, readBack, renewal, lost bool
}

type message struct {
	to, from int
	copied   claim.Copy
	attempt  string
	sync     bool
	reply    *claim.CopyReply // set on the way back
	epoch    uint64
	left     int // times that it may still arrive
}

type keeperState struct {
	table   *claim.Table
	serial  uint64
	on      bool // an update of the view is under way
	update  commit.Update
	next    view.View
	growing int    // host being brought up to date, -1 if none
	renews  string // attempt that waits for a renewal
}

type world struct {
	store    explore.ModelStore
	hosts    [members]keeperState
	messages []message
	late     commit.Call
	faults   int
	crashes  int
	said     [2]bool // attempts that got New
}

type step = explore.Step[world]

func (w world) clone() world {
	for i := range w.hosts {
		w.hosts[i].table = w.hosts[i].table.Clone()
	}
	w.messages = slices.Clone(w.messages)
	return w
}

func (w world) member(i int) view.Member {
	return view.Member{Host: string(rune('a' + i)), Incarnation: w.hosts[i].serial}
}

func (w world) index(m view.Member) int {
	i := int(m.Host[0] - 'a')
	if w.hosts[i].serial != m.Incarnation {
		return -1
	}
	return i
}

func (w world) stands() view.View {
	cell := w.store.Cells[0]
	v, _ := view.Parse([]byte(cell.Value), cell.Version)
	return v
}

// model is a protocol under search, with planned stops and claims taken back
// when whole is set.
type model struct {
	weak  weak
	whole bool
}

func (m model) first(faults, crashes int, lone bool) world {
	w := world{faults: faults, crashes: crashes}
	for i := range w.hosts {
		w.hosts[i] = keeperState{serial: 1, growing: -1}
		w.hosts[i].table = &claim.Table{Shard: "s", Self: w.member(i)}
	}
	v := view.First("s", "z", w.member(0))
	if !lone {
		v.Copies = []view.Member{w.member(1)}
	}
	update, _ := view.Update(view.View{}, v)
	w.store.Do(update.Call())
	for i := range w.hosts {
		w.hosts[i].table.Adopt(w.stands())
	}
	return w
}

func (m model) next(w world) []step {
	var steps []step
	add := func(label string, change func(*world)) {
		steps = append(steps, step{Label: label, MakeState: func() world {
			next := w.clone()
			change(&next)
			return next
		}})
	}
	for i := range w.hosts {
		m.host(w, i, add)
	}
	for j := range w.messages {
		add("message "+w.messages[j].kind(), func(n *world) { m.deliver(n, j) })
	}
	if w.late.Key != "" {
		add("a delayed write arrives", func(n *world) {
			n.store.Do(n.late)
			n.late = commit.Call{}
		})
	}
	return steps
}

func (g message) kind() string {
	return fmt.Sprintf("%c to %c reply %v sync %v", 'a'+g.from, 'a'+g.to, g.reply != nil, g.sync)
}

func (m model) host(w world, i int, add func(string, func(*world))) {
	name := string(rune('a' + i))
	for a, attempt := range []string{"1", "2"} {
		if !w.hosts[i].table.IsOwner() {
			break
		}
		if m.whole && w.hosts[i].table.Has(claim.Key{Workspace: "w", ID: "k"}) {
			add(name+" withdraws attempt "+attempt, func(n *world) {
				n.hosts[i].table.Withdraw(claim.Key{Workspace: "w", ID: "k"}, attempt)
			})
		}
		add(name+" is asked by attempt "+attempt, func(n *world) { m.claim(n, i, a, attempt) })
	}
	if w.hosts[i].table.View().Version < w.store.Cells[0].Version {
		add(name+" learns the view", func(n *world) { n.hosts[i].table.Adopt(n.stands()) })
	}
	if w.hosts[i].on {
		m.install(w, i, name, add)
	} else {
		m.plan(w, i, name, add)
	}
	if w.crashes > 0 {
		add(name+" crashes", func(n *world) { n.crash(i) })
	}
}

func (w *world) crash(i int) {
	w.crashes--
	w.hosts[i] = keeperState{serial: w.hosts[i].serial + 1, growing: -1}
	w.hosts[i].table = &claim.Table{Shard: "s", Self: w.member(i)}
}

func (m model) claim(w *world, i, a int, attempt string) {
	request := claim.Request{Shard: "s", Key: claim.Key{Workspace: "w", ID: "k"}, Digest: "d", Attempt: attempt, Within: time.Minute}
	h := &w.hosts[i]
	reply, ask := h.table.Claim(request, 0)
	if !ask.Any() {
		w.said[a] = w.said[a] || reply.Status == claim.Granted
		return
	}
	for _, to := range ask.To {
		if m.weak.acks {
			h.table.MarkStored(request.Key, attempt, to)
		}
		w.post(message{from: i, copied: ask.Copy, attempt: attempt, left: 2}, to)
	}
	if !ask.Renew || h.on {
		return
	}
	if m.weak.renewal {
		h.table.MarkStored(request.Key, attempt, view.Member{})
		return
	}
	h.start(h.table.View(), view.Renew(h.table.View()))
	h.renews = attempt
}

// post sends a message to a member, unless its process has ended or one like
// it is on its way.
func (w *world) post(g message, to view.Member) {
	g.to = w.index(to)
	if g.to < 0 || len(w.messages) >= 4 {
		return
	}
	g.epoch = g.copied.Epoch
	for _, other := range w.messages {
		if other.from == g.from && other.to == g.to && other.attempt == g.attempt && other.sync == g.sync && other.epoch == g.epoch && other.reply == nil {
			return
		}
	}
	w.messages = append(w.messages, g)
}

func (h *keeperState) start(from, next view.View) {
	h.update, _ = view.Update(from, next)
	h.next, h.on = next, true
}

// deliver lets a message arrive; it may arrive once more.
func (m model) deliver(w *world, j int) {
	g := w.messages[j]
	w.messages[j].left--
	if w.messages[j].left == 0 {
		w.messages = slices.Delete(w.messages, j, j+1)
	}
	h := &w.hosts[g.to]
	if g.reply != nil {
		m.acknowledge(w, h, g)
		return
	}
	reply := h.table.Copy(g.copied, 0)
	if m.weak.floor && !reply.Stored {
		reply = claim.CopyReply{Stored: true, Epoch: g.copied.Epoch}
	}
	if len(w.messages) < 4 {
		w.messages = append(w.messages, message{from: g.to, to: g.from, attempt: g.attempt, sync: g.sync, epoch: g.epoch, reply: &reply, left: 1})
	}
}

func (m model) acknowledge(w *world, h *keeperState, g message) {
	if !g.reply.Stored {
		h.table.RaiseMinEpoch(g.reply.Epoch)
		return
	}
	if !g.sync {
		h.table.MarkStored(claim.Key{Workspace: "w", ID: "k"}, g.attempt, w.member(g.from))
		return
	}
	v := h.table.View()
	if h.growing == g.from && !h.on && v.Epoch == g.epoch && v.Owner == h.table.Self {
		h.start(v, view.WithCopies(v, append(slices.Clone(v.Copies), w.member(g.from))))
	}
}

func (m model) install(w world, i int, name string, add func(string, func(*world))) {
	call := w.hosts[i].update.Call()
	add(name+"'s call takes effect", func(n *world) { m.answer(n, i, n.store.Do(call)) })
	if w.faults == 0 {
		return
	}
	if call.Op == commit.Get {
		add(name+" reads the old view", func(n *world) {
			n.faults--
			m.answer(n, i, n.store.StaleGet(call))
		})
		return
	}
	lost := commit.Answer{Kind: commit.Unknown}
	if m.weak.readBack {
		lost = commit.Answer{Kind: commit.OK, Version: w.store.Revision + 1}
	}
	add(name+"'s answer is lost", func(n *world) {
		n.faults--
		n.store.Do(call)
		m.answer(n, i, lost)
	})
	add(name+"'s call is delayed", func(n *world) {
		n.faults--
		n.late = call
		m.answer(n, i, lost)
	})
}

func (m model) answer(w *world, i int, answer commit.Answer) {
	h := &w.hosts[i]
	h.update = h.update.Apply(answer)
	switch h.update.State {
	case commit.Unresolved:
		return
	case commit.Won:
		h.next.Version = h.update.Version
		h.table.Adopt(h.next)
		if h.renews != "" {
			h.table.MarkStored(claim.Key{Workspace: "w", ID: "k"}, h.renews, view.Member{})
		}
	case commit.Lost:
		if other, err := view.Parse([]byte(h.update.Found), h.update.Version); err == nil {
			h.table.Adopt(other)
		}
		h.table.ClearJoining()
	case commit.Refused:
		h.table.ClearJoining()
	}
	h.on, h.renews, h.growing = false, "", -1
}

// plan allows each step that the rules of views allow a host.
func (m model) plan(w world, i int, name string, add func(string, func(*world))) {
	v := w.hosts[i].table.View()
	self := w.member(i)
	everyone := func(view.Member) bool { return true }
	switch {
	case v.Epoch == 0 || v.Epoch >= 4:
	case v.HasCopy(self):
		add(name+" takes over", func(n *world) {
			next, _ := view.Takeover(v, self, everyone)
			n.hosts[i].start(v, next)
		})
	case v.Owner != self:
		add(name+" restarts the shard", func(n *world) {
			next := view.Restart(v, self)
			if m.weak.lost {
				next.LostEpoch = 0
			}
			n.hosts[i].start(v, next)
		})
	default:
		m.own(w, i, name, add)
	}
}

func (m model) own(w world, i int, name string, add func(string, func(*world))) {
	h := w.hosts[i]
	v := h.table.View()
	if len(v.Copies) > 0 {
		add(name+" drops a copy", func(n *world) { n.hosts[i].start(v, view.WithCopies(v, v.Copies[1:])) })
	}
	if len(v.Copies) > 0 && m.whole {
		add(name+" hands over", func(n *world) {
			next, _ := view.Handover(v, func(view.Member) bool { return true })
			n.hosts[i].start(v, next)
		})
	}
	for j := range w.hosts {
		if j == i || v.HasCopy(w.member(j)) || h.growing >= 0 && h.growing != j {
			continue
		}
		add(name+" adds a copy", func(n *world) { m.grow(n, i, j) })
	}
}

func (m model) grow(w *world, i, j int) {
	h := &w.hosts[i]
	h.growing = j
	v := h.table.View()
	if !m.weak.join {
		h.table.AddJoining([]view.Member{w.member(j)})
	}
	if m.weak.sync {
		h.start(v, view.WithCopies(v, append(slices.Clone(v.Copies), w.member(j))))
		return
	}
	for _, records := range h.table.Records(0) {
		w.post(message{from: i, copied: records, sync: true, left: 2}, w.member(j))
	}
}

func (m model) check(w world) error {
	if w.said[0] && w.said[1] {
		return errors.New("two attempts may run the request")
	}
	return nil
}

// key is everything that decides the future of a state.
func key(w world) string {
	var b strings.Builder
	fmt.Fprint(&b, w.store, w.late, w.faults, w.crashes, w.said)
	for _, h := range w.hosts {
		fmt.Fprint(&b, h.serial, h.on, h.update, h.growing, h.renews, h.table.Dump())
	}
	for _, g := range w.messages {
		fmt.Fprint(&b, g.kind(), g.attempt, g.epoch, g.left, len(g.copied.Records))
	}
	return b.String()
}

func (m model) explored(faults, crashes int, lone bool) explore.Model[world, string] {
	return explore.Model[world, string]{Initial: m.first(faults, crashes, lone), Next: m.next, Key: key, Check: m.check}
}
