package batch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// lossyPeers delivers copies to hosts, and loses or delays some of them.
type lossyPeers struct {
	Peers
	rng      *rand.Rand
	lossless bool
	hosts    map[string]*Batches
	delayed  []CopyRequest
}

var errLost = errors.New("lost")

func (*lossyPeers) Ranked(string) []RankedHost {
	return []RankedHost{{Name: "a1", Zone: "a"}, {Name: "b1", Zone: "b"}, {Name: "a2", Zone: "a"}, {Name: "c1", Zone: "c"}}
}

func (p *lossyPeers) Copy(_ context.Context, host string, request CopyRequest) (CopyReply, error) {
	for i := range request.Items { // as a network does
		request.Items[i].Partial.Texts = slices.Clone(request.Items[i].Partial.Texts)
	}
	fault := p.rng.IntN(12)
	switch {
	case p.lossless:
	case fault == 0:
		return CopyReply{}, errLost
	case fault == 1: // arrives after later messages
		p.delayed = append(p.delayed, request)
		return CopyReply{}, errLost
	case fault == 2: // the answer is lost
		p.hosts[host].ServeCopy(request)
		return CopyReply{}, errLost
	case fault == 3: // the host restarts
		p.hosts[host] = &Batches{Host: host}
	}
	return p.hosts[host].ServeCopy(request), nil
}

// Messages are lost, arrive late and repeat texts, and texts are dropped and begun anew with
// other weights. Guards against a copy that mixes two texts of an item, misses an event, holds
// one twice or forgets failures.
var _ = DescribeTable("a copy holds a state of its owner", func(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	network := &lossyPeers{rng: rng, hosts: map[string]*Batches{"b1": {Host: "b1"}, "a2": {Host: "a2"}, "c1": {Host: "c1"}}}
	owner := &Batches{Host: "a1", ToleratedZones: 1, Peers: network, Log: event.Log{Sink: func(event.Entry, []any) {}}}
	w := newWorker(owner, Batch{ID: "one", Items: make([]Item, 6)}, Record{Epoch: 1}, process{}, nil, 0)
	states := map[string]Partial{}
	history := map[string]bool{} // all states of all items
	for step := range 600 {
		id := fmt.Sprint(rng.IntN(6))
		p := states[id]
		switch rng.IntN(12) {
		case 0:
			p.Texts, p.Versions = nil, nil
		case 1:
			p.Failures++
		case 2:
			if rng.IntN(20) == 0 {
				w.publish(w.nextChunk(), []Result{{ID: id}})
			}
		default:
			p.Texts = append(p.Texts, fmt.Sprintf("%d-%d ", step, len(p.Texts)))
			p.Versions = []uint64{uint64(step)}
		}
		states[id] = p
		history[fmt.Sprint(id, p)] = true
		w.copies.publish(id, p)
		if rng.IntN(4) > 0 {
			continue
		}
		w.copies.failedAt = time.Time{} // no pauses
		w.copies.send(context.Background())
		for _, request := range network.delayed {
			if rng.IntN(2) == 0 {
				network.hosts[w.copies.standby].ServeCopy(request)
			}
		}
		for _, host := range network.hosts {
			size := 0
			for id, partial := range host.heldCopy("one").Partials {
				Expect(history[fmt.Sprint(id, partial)]).To(BeTrue(), "item %s at %s: %v", id, host.Host, partial)
				size += copySize(partial)
			}
			Expect(host.CopiesSize()).To(Equal(size))
		}
	}
	network.lossless, w.copies.failedAt = true, time.Time{}
	for range 4 {
		w.copies.send(context.Background())
	}
	held := network.hosts[w.copies.standby].heldCopy("one").Partials
	for id, p := range states {
		if !w.isListed(id) && (len(p.Texts) > 0 || p.Failures > 0) {
			Expect(fmt.Sprint(held[id])).To(Equal(fmt.Sprint(p)))
		}
	}
	for id := range held {
		Expect(w.isListed(id)).To(BeFalse(), "a listed item is dropped")
	}
}, Entry(nil, uint64(1)), Entry(nil, uint64(2)), Entry(nil, uint64(3)), Entry(nil, uint64(4)), Entry(nil, uint64(5)))

// A late message of an owner that was replaced arrives. Guards against a copy that loses the
// texts of the later owner.
var _ = It("ignores copies of an earlier owner, and refuses those that exceed its memory", func() {
	host := &Batches{Host: "b1"}
	item := func(text string) []CopyItem { return []CopyItem{{ID: "x", Partial: Partial{Texts: []string{text}}}} }
	Expect(host.ServeCopy(CopyRequest{Batch: "one", Epoch: 2, Sequence: 1, First: true, Items: item("new")})).To(Equal(CopyReply{}))
	Expect(host.ServeCopy(CopyRequest{Batch: "one", Epoch: 1, Sequence: 9, First: true, Items: item("old")})).To(Equal(CopyReply{Stale: true}))
	Expect(host.heldCopy("one").Partials["x"].Texts).To(Equal([]string{"new"}))
	Expect(host.ServeCopy(CopyRequest{Batch: "two", Epoch: 1, Sequence: 1, First: true, Items: item(string(make([]byte, maxHeldCopies)))})).To(Equal(CopyReply{Refused: true}))
	Expect(host.CopiesSize()).To(Equal(itemOverhead + textOverhead + len("new")))
})

// Guards against texts that are kept for ever, since no timer drops them.
var _ = It("drops partial results, and copies without messages, after a while", func() {
	host := &Batches{}
	host.storePartial("x", Partial{Failures: 1})
	host.ServeCopy(CopyRequest{Batch: "one", Epoch: 1, Sequence: 1, First: true, Items: []CopyItem{{ID: "x"}}})
	host.sweep(time.Now().Add(partialRetention - time.Second))
	Expect(host.partials).To(HaveLen(1))
	Expect(host.copies).To(HaveLen(1))
	host.sweep(time.Now().Add(partialRetention))
	Expect(host.partials).To(BeEmpty())
	Expect(host.copies).To(BeEmpty())
	Expect(host.CopiesSize()).To(BeZero())
})

// answeringPeers answers requests for partial results.
type answeringPeers struct {
	lossyPeers
	replies map[string]PartialsReply
}

func (p *answeringPeers) Partials(_ context.Context, host string, request PartialsRequest) (PartialsReply, error) {
	reply, ok := p.replies[host]
	if !ok || (request.CopyOf == "") != (host == "a1") {
		return PartialsReply{}, errLost
	}
	return reply, nil
}

// Guards against a text of an earlier copy where the owner has dropped it since, as its own
// answer or a later copy shows, and against an answer of its next process, which has none.
var _ = DescribeTable("the texts of a lost batch come from its owner, else from the latest copy", func(owner PartialsReply, answers bool, want []string) {
	reply := func(epoch, sequence uint64, text string) PartialsReply {
		return PartialsReply{Incarnation: 1, Epoch: epoch, Sequence: sequence, Partials: map[string]Partial{
			"x": {Texts: []string{text}, Versions: []uint64{5}, Failures: int(epoch)},
		}}
	}
	network := &answeringPeers{replies: map[string]PartialsReply{"b1": reply(2, 1, "earlier"), "a2": reply(2, 7, "latest"), "c1": reply(1, 9, "earliest")}}
	if answers {
		network.replies["a1"] = owner
	}
	b := &Batches{Host: "d1", ToleratedZones: 1, Peers: network, Log: event.Log{Sink: func(event.Entry, []any) {}}}
	one := Batch{ID: "one", Items: []Item{{ID: "x"}}}
	carried := newWorker(b, one, Record{Epoch: 3}, process{"a1", 7}, nil, 0).carried(context.Background())
	Expect(carried["x"].Texts).To(Equal(want))
},
	Entry("no answer", PartialsReply{}, false, []string{"latest"}),
	Entry("its next process", PartialsReply{Incarnation: 8}, true, []string{"latest"}),
	Entry("its process, which has dropped the text", PartialsReply{Incarnation: 7}, true, nil),
	Entry("its process", PartialsReply{Incarnation: 7, Partials: map[string]Partial{"x": {Texts: []string{"own"}, Versions: []uint64{6}}}}, true, []string{"own"}),
)
