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

// The model has three hosts, one shard, the platform, and one key that two
// attempts claim at any host. Messages arrive late, twice, in any order or never.
// Each host may take over, drop a copy, bring a new one up to date or restart the
// shard whenever the rules of package view allow it, whichever hosts are alive.

const members = 3

// removedGuards names the guards of the protocol that a model leaves out.
type removedGuards struct {
	acks, minEpoch, sync, join, readBack, renewal, lost bool
}

// message is a Copy, or its reply, in flight.
type message struct {
	to, from   int
	copied     claim.Copy
	attempt    string
	sync       bool             // brings a joining host up to date
	reply      *claim.CopyReply // set on the way back
	epoch      uint64
	deliveries int // times that it may still arrive
}

// hostState is a host with the update of the view that it carries out.
type hostState struct {
	table       *claim.Table
	incarnation uint64
	updating    bool // an update of the view is in progress
	update      commit.Update
	next        view.View // the view that the update installs
	joining     int       // host being brought up to date, -1 if none
	renewalFor  string    // attempt that waits for a renewal
}

// state is a state of the model.
type state struct {
	store    explore.ModelStore
	hosts    [members]hostState
	messages []message
	delayed  commit.Call // write that may still take effect
	faults   int         // platform faults that may still happen
	crashes  int         // crashes that may still happen
	granted  [2]bool     // attempts that got Granted
}

type step = explore.Step[state]

func (s state) clone() state {
	for i := range s.hosts {
		s.hosts[i].table = s.hosts[i].table.Clone()
	}
	s.messages = slices.Clone(s.messages)
	return s
}

func (s state) member(i int) view.Member {
	return view.Member{Host: string(rune('a' + i)), Incarnation: s.hosts[i].incarnation}
}

// index returns the index of a member's host, or -1 if its process has ended.
func (s state) index(m view.Member) int {
	i := int(m.Host[0] - 'a')
	if s.hosts[i].incarnation != m.Incarnation {
		return -1
	}
	return i
}

// installedView returns the view at the platform.
func (s state) installedView() view.View {
	cell := s.store.Cells[0]
	v, _ := view.Parse([]byte(cell.Value), cell.Version)
	return v
}

// model is the protocol to explore. With planned set, owners also withdraw claims
// and hand the shard over as before a planned stop.
type model struct {
	removed removedGuards
	planned bool
}

// initial returns a state with an owner, and a copy unless lone is set.
func (m model) initial(faults, crashes int, lone bool) state {
	s := state{faults: faults, crashes: crashes}
	for i := range s.hosts {
		s.hosts[i] = hostState{incarnation: 1, joining: -1}
		s.hosts[i].table = &claim.Table{Shard: "s", Self: s.member(i)}
	}
	v := view.First("s", "z", s.member(0))
	if !lone {
		v.Copies = []view.Member{s.member(1)}
	}
	update, _ := view.Update(view.View{}, v)
	s.store.Do(update.Call())
	for i := range s.hosts {
		s.hosts[i].table.Adopt(s.installedView())
	}
	return s
}

// next returns every step that is possible in a state.
func (m model) next(s state) []step {
	var steps []step
	add := func(label string, change func(*state)) {
		steps = append(steps, step{Label: label, MakeState: func() state {
			next := s.clone()
			change(&next)
			return next
		}})
	}
	for i := range s.hosts {
		m.addHostSteps(s, i, add)
	}
	for j := range s.messages {
		add("message "+s.messages[j].kind(), func(n *state) { m.deliver(n, j) })
	}
	if s.delayed.Key != "" {
		add("a delayed write takes effect", func(n *state) {
			n.store.Do(n.delayed)
			n.delayed = commit.Call{}
		})
	}
	return steps
}

// kind describes the message in the labels of steps.
func (g message) kind() string {
	return fmt.Sprintf("%c to %c reply %v sync %v", 'a'+g.from, 'a'+g.to, g.reply != nil, g.sync)
}

// addHostSteps adds the steps of one host.
func (m model) addHostSteps(s state, i int, add func(string, func(*state))) {
	name := string(rune('a' + i))
	for a, attempt := range []string{"1", "2"} {
		if !s.hosts[i].table.IsOwner() {
			break
		}
		if m.planned && s.hosts[i].table.Has(claim.Key{Workspace: "w", ID: "k"}) {
			add(name+" withdraws the claim of attempt "+attempt, func(n *state) {
				n.hosts[i].table.Withdraw(claim.Key{Workspace: "w", ID: "k"}, attempt)
			})
		}
		add(name+" gets a request of attempt "+attempt, func(n *state) { m.claim(n, i, a, attempt) })
	}
	if s.hosts[i].table.View().Version < s.store.Cells[0].Version {
		add(name+" adopts the installed view", func(n *state) { n.hosts[i].table.Adopt(n.installedView()) })
	}
	if s.hosts[i].updating {
		m.addUpdateSteps(s, i, name, add)
	} else {
		m.addPlanSteps(s, i, name, add)
	}
	if s.crashes > 0 {
		add(name+" crashes", func(n *state) { n.crash(i) })
	}
}

// crash restarts a host with a higher incarnation and an empty table.
func (s *state) crash(i int) {
	s.crashes--
	s.hosts[i] = hostState{incarnation: s.hosts[i].incarnation + 1, joining: -1}
	s.hosts[i].table = &claim.Table{Shard: "s", Self: s.member(i)}
}

// claim lets an owner decide an attempt's request and start the pending steps.
func (m model) claim(s *state, i, a int, attempt string) {
	request := claim.Request{Shard: "s", Key: claim.Key{Workspace: "w", ID: "k"}, Digest: "d", Attempt: attempt, Within: time.Minute}
	h := &s.hosts[i]
	reply, pending := h.table.Claim(request, 0)
	if !pending.Any() {
		s.granted[a] = s.granted[a] || reply.Status == claim.Granted
		return
	}
	for _, to := range pending.To {
		if m.removed.acks {
			h.table.MarkStored(request.Key, attempt, to)
		}
		s.send(message{from: i, copied: pending.Copy, attempt: attempt, deliveries: 2}, to)
	}
	if !pending.Renew || h.updating {
		return
	}
	if m.removed.renewal {
		h.table.MarkStored(request.Key, attempt, view.Member{})
		return
	}
	h.start(h.table.View(), view.Renew(h.table.View()))
	h.renewalFor = attempt
}

// send sends a message to a member, unless its process has ended, an equal message
// is in flight, or four messages are.
func (s *state) send(g message, to view.Member) {
	g.to = s.index(to)
	if g.to < 0 || len(s.messages) >= 4 {
		return
	}
	g.epoch = g.copied.Epoch
	for _, other := range s.messages {
		if other.from == g.from && other.to == g.to && other.attempt == g.attempt && other.sync == g.sync && other.epoch == g.epoch && other.reply == nil {
			return
		}
	}
	s.messages = append(s.messages, g)
}

// start starts an update of the view.
func (h *hostState) start(from, next view.View) {
	h.update, _ = view.Update(from, next)
	h.next, h.updating = next, true
}

// deliver delivers a message once.
func (m model) deliver(s *state, j int) {
	g := s.messages[j]
	s.messages[j].deliveries--
	if s.messages[j].deliveries == 0 {
		s.messages = slices.Delete(s.messages, j, j+1)
	}
	h := &s.hosts[g.to]
	if g.reply != nil {
		m.acknowledge(s, h, g)
		return
	}
	reply := h.table.Copy(g.copied, 0)
	if m.removed.minEpoch && !reply.Stored {
		reply = claim.CopyReply{Stored: true, Epoch: g.copied.Epoch}
	}
	if len(s.messages) < 4 {
		s.messages = append(s.messages, message{from: g.to, to: g.from, attempt: g.attempt, sync: g.sync, epoch: g.epoch, reply: &reply, deliveries: 1})
	}
}

// acknowledge applies a reply at the owner.
func (m model) acknowledge(s *state, h *hostState, g message) {
	if !g.reply.Stored {
		h.table.RaiseMinEpoch(g.reply.Epoch)
		return
	}
	if !g.sync {
		h.table.MarkStored(claim.Key{Workspace: "w", ID: "k"}, g.attempt, s.member(g.from))
		return
	}
	v := h.table.View()
	if h.joining == g.from && !h.updating && v.Epoch == g.epoch && v.Owner == h.table.Self {
		h.start(v, view.WithCopies(v, append(slices.Clone(v.Copies), s.member(g.from))))
	}
}

// addUpdateSteps adds the outcomes of the platform call that an update needs.
func (m model) addUpdateSteps(s state, i int, name string, add func(string, func(*state))) {
	call := s.hosts[i].update.Call()
	add(name+"'s call takes effect", func(n *state) { m.applyAnswer(n, i, n.store.Do(call)) })
	if s.faults == 0 {
		return
	}
	if call.Op == commit.Get {
		add(name+" reads the old view", func(n *state) {
			n.faults--
			m.applyAnswer(n, i, n.store.StaleGet(call))
		})
		return
	}
	lost := commit.Answer{Kind: commit.Unknown}
	if m.removed.readBack {
		lost = commit.Answer{Kind: commit.OK, Version: s.store.Revision + 1}
	}
	add(name+"'s answer is lost", func(n *state) {
		n.faults--
		n.store.Do(call)
		m.applyAnswer(n, i, lost)
	})
	add(name+"'s call is delayed", func(n *state) {
		n.faults--
		n.delayed = call
		m.applyAnswer(n, i, lost)
	})
}

// applyAnswer applies the answer to a platform call to the update.
func (m model) applyAnswer(s *state, i int, answer commit.Answer) {
	h := &s.hosts[i]
	h.update = h.update.Apply(answer)
	switch h.update.State {
	case commit.Unresolved:
		return
	case commit.Won:
		h.next.Version = h.update.Version
		h.table.Adopt(h.next)
		if h.renewalFor != "" {
			h.table.MarkStored(claim.Key{Workspace: "w", ID: "k"}, h.renewalFor, view.Member{})
		}
	case commit.Lost:
		if other, err := view.Parse([]byte(h.update.Found), h.update.Version); err == nil {
			h.table.Adopt(other)
		}
		h.table.ClearJoining()
	case commit.Refused:
		h.table.ClearJoining()
	}
	h.updating, h.renewalFor, h.joining = false, "", -1
}

// addPlanSteps adds each change of the view that the rules of package view allow
// a host.
func (m model) addPlanSteps(s state, i int, name string, add func(string, func(*state))) {
	v := s.hosts[i].table.View()
	self := s.member(i)
	allAlive := func(view.Member) bool { return true }
	switch {
	case v.Epoch == 0 || v.Epoch >= 4: // no view is known, or the bound of the model is reached
	case v.HasCopy(self):
		add(name+" takes over", func(n *state) {
			next, _ := view.Takeover(v, self, allAlive)
			n.hosts[i].start(v, next)
		})
	case v.Owner != self:
		add(name+" restarts the shard", func(n *state) {
			next := view.Restart(v, self)
			if m.removed.lost {
				next.LostEpoch = 0
			}
			n.hosts[i].start(v, next)
		})
	default:
		m.addOwnerSteps(s, i, name, add)
	}
}

// addOwnerSteps adds each change of the view that an owner may make.
func (m model) addOwnerSteps(s state, i int, name string, add func(string, func(*state))) {
	h := s.hosts[i]
	v := h.table.View()
	if len(v.Copies) > 0 {
		add(name+" drops a copy", func(n *state) { n.hosts[i].start(v, view.WithCopies(v, v.Copies[1:])) })
	}
	if len(v.Copies) > 0 && m.planned {
		add(name+" hands over", func(n *state) {
			next, _ := view.Handover(v, func(view.Member) bool { return true })
			n.hosts[i].start(v, next)
		})
	}
	for j := range s.hosts {
		if j == i || v.HasCopy(s.member(j)) || h.joining >= 0 && h.joining != j {
			continue
		}
		add(name+" adds a copy", func(n *state) { m.addCopy(n, i, j) })
	}
}

// addCopy starts to bring host j up to date for owner i.
func (m model) addCopy(s *state, i, j int) {
	h := &s.hosts[i]
	h.joining = j
	v := h.table.View()
	if !m.removed.join {
		h.table.AddJoining([]view.Member{s.member(j)})
	}
	if m.removed.sync {
		h.start(v, view.WithCopies(v, append(slices.Clone(v.Copies), s.member(j))))
		return
	}
	for _, records := range h.table.Records(0) {
		s.send(message{from: i, copied: records, sync: true, deliveries: 2}, s.member(j))
	}
}

// check reports an error if both attempts were granted the claim.
func (m model) check(s state) error {
	if s.granted[0] && s.granted[1] {
		return errors.New("two attempts may run the request")
	}
	return nil
}

// key returns everything that determines the future of a state.
func key(s state) string {
	var b strings.Builder
	fmt.Fprint(&b, s.store, s.delayed, s.faults, s.crashes, s.granted)
	for _, h := range s.hosts {
		fmt.Fprint(&b, h.incarnation, h.updating, h.update, h.joining, h.renewalFor, h.table.Dump())
	}
	for _, g := range s.messages {
		fmt.Fprint(&b, g.kind(), g.attempt, g.epoch, g.deliveries, len(g.copied.Records))
	}
	return b.String()
}

func (m model) explored(faults, crashes int, lone bool) explore.Model[state, string] {
	return explore.Model[state, string]{Initial: m.initial(faults, crashes, lone), Next: m.next, Key: key, Check: m.check}
}
