package claim_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/entry/claim"
	"github.com/hyssopwall/hyssopwall/internal/fleet/explore"
	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
)

func TestClaim(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Claim Suite")
}

// site joins keepers by direct calls; it stands for the network and for the
// list of hosts.
type site struct {
	store   explore.FakeStore
	now     atomic.Int64
	members []view.Member
	keepers map[view.Member]*claim.Manager
	clients map[view.Member]*claim.Client
	dead    map[view.Member]bool // no message reaches it
	certain bool
}

func newSite(names ...string) *site {
	s := &site{
		keepers: map[view.Member]*claim.Manager{},
		clients: map[view.Member]*claim.Client{},
		dead:    map[view.Member]bool{},
	}
	for _, name := range names {
		member := view.Member{Host: name, Incarnation: 1}
		keeper := &claim.Manager{
			Self: member, Zone: "plateau", Store: &s.store, Peers: s, Clock: s,
			Fleet: s, HomeShards: []string{"s"}, Book: &view.Cache{},
		}
		s.members = append(s.members, member)
		s.keepers[member] = keeper
		s.clients[member] = &claim.Client{Self: member, Manager: keeper, Peers: s, Book: keeper.Book}
	}
	return s
}

func (s *site) Now() time.Duration             { return time.Duration(s.now.Load()) }
func (s *site) Alive(m view.Member) bool       { return !s.dead[m] }
func (s *site) ConfirmedDead(view.Member) bool { return s.certain }
func (s *site) Hosts(string) (l []view.Member) {
	for _, m := range s.members {
		if !s.dead[m] {
			l = append(l, m)
		}
	}
	return l
}

func (s *site) Claim(ctx context.Context, to view.Member, r claim.Request) (claim.Reply, error) {
	if s.dead[to] {
		return claim.Reply{}, context.DeadlineExceeded
	}
	return s.keepers[to].Claim(ctx, r), nil
}

func (s *site) Finish(ctx context.Context, to view.Member, f claim.Finish) error {
	if s.dead[to] {
		return context.DeadlineExceeded
	}
	return s.keepers[to].Finish(ctx, f)
}

func (s *site) Copy(_ context.Context, to view.Member, c claim.Copy) (claim.CopyReply, error) {
	if s.dead[to] {
		return claim.CopyReply{}, context.DeadlineExceeded
	}
	return s.keepers[to].Copy(c)
}

// settle lets every reachable host look at its views a few times.
func (s *site) settle() {
	for range 6 {
		for _, m := range s.members {
			if s.dead[m] {
				continue
			}
			s.keepers[m].Tick(context.Background()).Wait()
			s.spread(m)
		}
	}
}

// spread tells the other reachable hosts the views that one knows.
func (s *site) spread(from view.Member) {
	for _, v := range s.keepers[from].Book.All() {
		for _, m := range s.members {
			if !s.dead[m] {
				s.keepers[m].Learn(v)
			}
		}
	}
}

func (s *site) claim(at int, id, attempt string) claim.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	return s.clients[s.members[at]].Claim(ctx, request(id, attempt))
}

func (s *site) owner() view.Member {
	v, _ := s.keepers[s.members[len(s.members)-1]].Book.Find("s")
	return v.Owner
}

func request(id, attempt string) claim.Request {
	return claim.Request{
		Shard: "s", Key: claim.Key{Workspace: "w", ID: id}, Digest: "d",
		Attempt: attempt, Within: time.Minute,
	}
}

var _ = Describe("the keepers of a shard", func() {
	It("give a claim once, whichever host is asked, also after the owner failed", func() {
		s := newSite("a", "b", "c", "d")
		s.settle()
		Expect(s.claim(1, "k", "1").Status).To(Equal(claim.Granted))
		Expect(s.claim(2, "k", "2").Status).To(Equal(claim.Running))
		Expect(s.claim(1, "k", "1").Status).To(Equal(claim.Granted), "the same attempt after a lost reply")

		s.dead[s.members[0]] = true
		s.settle()
		Expect(s.owner()).NotTo(Equal(s.members[0]))
		Expect(s.claim(1, "k", "3").Status).To(Equal(claim.Running))
		Expect(s.claim(2, "other", "4").Status).To(Equal(claim.Granted))
		s.now.Add(int64(time.Minute))
		Expect(s.claim(1, "k", "5").Status).To(Equal(claim.OutcomeUnknown))
	})

	It("stop an owner that was paused through its own replacement", func() {
		s := newSite("a", "b", "c")
		s.settle()
		old := s.keepers[s.members[0]]
		s.dead[s.members[0]] = true
		s.settle()
		Expect(s.claim(1, "k", "1").Status).To(Equal(claim.Granted))
		s.dead[s.members[0]] = false
		Expect(old.Claim(context.Background(), request("k", "2")).Status).To(BeElementOf(claim.Moved, claim.Busy))
		Expect(s.claim(0, "k", "3").Status).To(Equal(claim.Running))
	})

	It("reply that the outcome is unknown when no member survived", func() {
		s := newSite("a", "b", "c", "d")
		s.settle()
		Expect(s.claim(3, "k", "1").Status).To(Equal(claim.Granted))
		for _, m := range s.members[:3] {
			s.dead[m] = true
		}
		s.settle()
		Expect(s.owner()).To(Equal(s.members[0]), "silence for a moment is no proof of loss")
		s.now.Add(int64(claim.RestartAfter))
		s.settle()
		Expect(s.owner()).To(Equal(s.members[3]))
		Expect(s.claim(3, "never seen", "2").Status).To(Equal(claim.OutcomeUnknown))
		s.settle()
		minted := request("minted", "3")
		v, _ := s.keepers[s.members[3]].Book.Find("s")
		minted.MintedEpoch = v.Epoch
		Expect(s.clients[s.members[3]].Claim(context.Background(), minted).Status).To(Equal(claim.Granted))

		s.now.Add(int64(claim.Retention + claim.MaxWithin))
		s.settle()
		Expect(s.claim(3, "never seen", "4").Status).To(Equal(claim.OutcomeUnknown), "an old member may still answer")
		s.certain = true
		s.settle()
		Expect(s.claim(3, "never seen", "5").Status).To(Equal(claim.Granted))
	})

	It("take no shard from members that a host has not heard of since it started", func() {
		s := newSite("a", "b", "c", "d")
		s.settle()
		for _, m := range s.members[:3] {
			s.dead[m] = true // as the fourth host sees them after its start
		}
		s.keepers[s.members[3]].Tick(context.Background()).Wait()
		for _, m := range s.members[:3] {
			s.dead[m] = false
		}
		s.now.Add(int64(claim.RestartAfter))
		s.settle()
		v, _ := s.keepers[s.members[3]].Book.Find("s")
		Expect(v.LostEpoch).To(BeZero())
		Expect(s.claim(3, "k", "1").Status).To(Equal(claim.Granted))
	})

	It("go on through an outage of the platform while no host fails", func() {
		s := newSite("a", "b", "c")
		s.settle()
		s.store.SetFault(func(string, string) explore.Fault { return explore.Outage })
		Expect(s.claim(0, "k", "1").Status).To(Equal(claim.Granted))
	})

	It("refuse in an outage when the owner has no copy left", func() {
		s := newSite("a")
		s.settle()
		Expect(s.claim(0, "k", "1").Status).To(Equal(claim.Granted))
		s.store.SetFault(func(string, string) explore.Fault { return explore.Outage })
		Expect(s.claim(0, "l", "1").Status).To(Equal(claim.Busy))
	})

	It("return the kept answer of a finished request, and a conflict for another body", func() {
		s := newSite("a", "b", "c")
		s.settle()
		Expect(s.claim(1, "k", "1").Status).To(Equal(claim.Granted))
		finish := claim.Finish{Shard: "s", Key: claim.Key{Workspace: "w", ID: "k"}, Attempt: "1", Ran: true, Answer: []byte("42"), HasAnswer: true}
		Expect(s.clients[s.members[1]].Finish(context.Background(), finish)).To(Succeed())
		reply := s.claim(2, "k", "2")
		Expect(reply).To(Equal(claim.Reply{Status: claim.Done, Answer: []byte("42"), HasAnswer: true}))
		other := request("k", "3")
		other.Digest = "e"
		Expect(s.clients[s.members[1]].Claim(context.Background(), other).Status).To(Equal(claim.Conflict))
	})

	It("survive lost answers of the platform and old reads", func() {
		s := newSite("a", "b", "c", "d")
		calls := 0
		s.store.SetFault(func(op, _ string) explore.Fault {
			calls++
			if op == "put" && calls%2 == 0 {
				return explore.LoseAnswer
			}
			if op == "get" && calls%3 == 0 {
				return explore.StaleRead
			}
			return explore.NoFault
		})
		s.settle()
		Expect(s.claim(1, "k", "1").Status).To(Equal(claim.Granted))
		s.dead[s.members[0]] = true
		s.settle()
		Expect(s.claim(1, "k", "2").Status).To(Equal(claim.Running))
	})

	It("give nothing for a claim that a replaced owner left with a later restarter", func() {
		a, b, c := view.Member{Host: "a", Incarnation: 1}, view.Member{Host: "b", Incarnation: 1}, view.Member{Host: "c", Incarnation: 1}
		stale := claim.Copy{Shard: "s", Epoch: 1, Records: []claim.Record{{
			Key: claim.Key{Workspace: "w", ID: "k"}, Digest: "d", Attempt: "2", State: claim.Claimed, Within: time.Minute,
		}}}
		first := view.First("s", "z", a)
		first.Copies, first.Version = []view.Member{b}, 1
		second, _ := view.Takeover(first, b, func(view.Member) bool { return true })
		second.Version = 2
		third := view.Restart(second, c)
		third.Version = 3

		late := claim.Table{Self: c, Shard: "s"}
		late.Adopt(second)
		Expect(late.Copy(stale, 0).Stored).To(BeFalse())

		early := claim.Table{Self: c, Shard: "s"}
		Expect(early.Copy(stale, 0).Stored).To(BeTrue())
		early.Adopt(third)
		early.MarkStored(claim.Key{Workspace: "w", ID: "k"}, "2", view.Member{})
		reply, _ := early.Claim(request("k", "2"), 0)
		Expect(reply.Status).To(Equal(claim.OutcomeUnknown))
	})

	It("hand their shards over when they stop", func() {
		s := newSite("a", "b", "c")
		s.settle()
		Expect(s.claim(1, "k", "1").Status).To(Equal(claim.Granted))
		first := s.members[0]
		Expect(s.keepers[first].Release(context.Background())).To(BeEmpty())
		s.spread(first)
		Expect(s.owner()).To(Equal(s.members[1]))
		Expect(s.claim(0, "k", "2").Status).To(Equal(claim.Running))
		Expect(s.claim(0, "l", "3").Status).To(Equal(claim.Granted), "without a wait for its failure")
		s.keepers[first].Tick(context.Background()).Wait()
		s.keepers[s.members[1]].Tick(context.Background()).Wait()
		Expect(s.owner()).To(Equal(s.members[1]))
	})

	It("forget a record when its retention has passed, and take no more than they hold", func() {
		table := claim.Table{Self: view.Member{Host: "a", Incarnation: 1}, Shard: "s", MaxRows: 1}
		v := view.First("s", "z", table.Self)
		v.Version = 1
		table.Adopt(v)
		table.Claim(request("k", "1"), 0)
		reply, _ := table.Claim(request("l", "2"), 0)
		Expect(reply.Status).To(Equal(claim.Busy))
		table.Expire(time.Minute + claim.Retention - 1)
		Expect(table.Len()).To(Equal(1))
		table.Expire(time.Minute + claim.Retention)
		Expect(table.Len()).To(BeZero())
		_, ask := table.Claim(request("l", "2"), time.Hour)
		Expect(ask.Any()).To(BeTrue())
	})

	It("take back a claim that a copy could not store, so that the next attempt gets it", func() {
		s := newSite("a", "b", "c")
		s.settle()
		s.dead[s.members[1]] = true // before its owner notices
		Expect(s.claim(0, "k", "1").Status).To(BeElementOf(claim.Busy, claim.Moved))
		s.dead[s.members[1]] = false
		Expect(s.claim(0, "k", "2").Status).To(Equal(claim.Granted))
		Expect(s.claim(0, "k", "1").Status).To(Equal(claim.Running))
	})
})
