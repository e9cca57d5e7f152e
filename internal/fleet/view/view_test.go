package view_test

import (
	"context"
	"errors"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/fleet/commit"
	"github.com/hyssopwall/hyssopwall/internal/fleet/explore"
	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
)

func TestView(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "View Suite")
}

// rule is a test case: the successor among the hosts in Alive, and the members of
// the view after a takeover by By.
type rule struct {
	Name      string `json:"name"`
	Alive     string `json:"alive"`
	Successor string `json:"successor"`
	By        string `json:"by"`
	Next      string `json:"next"`
}

func member(name string) view.Member { return view.Member{Host: name, Incarnation: 1} }

// sample returns a view under epoch 3 with owner a and the copies b and c.
func sample() view.View {
	return view.View{Shard: "s", Zone: "z", Epoch: 3, Owner: member("a"), Copies: []view.Member{member("b"), member("c")}}
}

var _ = Describe("a takeover", func() {
	all, err := cases.Load[[]rule]("testdata/rules.hujson")
	if err != nil {
		panic(err)
	}
	for _, r := range all[0].Data {
		It("is for "+r.Name, func() {
			alive := func(m view.Member) bool { return strings.Contains(r.Alive, m.Host) }
			by, ok := view.Successor(sample(), alive)
			Expect(by.Host).To(Equal(r.Successor))
			Expect(ok).To(Equal(r.Successor != ""))
			if r.By == "" {
				return
			}
			next, ok := view.Takeover(sample(), member(r.By), alive)
			Expect(ok).To(Equal(r.Next != ""))
			names := ""
			for _, m := range next.Members() {
				names += m.Host
			}
			Expect(names).To(Equal(r.Next))
			Expect(next.Epoch).To(BeElementOf(uint64(0), uint64(4)))
		})
	}
})

var _ = Describe("a view", func() {
	It("is replaced only by an update of the version that it was derived from", func() {
		var store explore.FakeStore
		ctx := context.Background()
		first, err := view.Install(ctx, &store, view.View{}, view.First("s", "z", member("a")))
		Expect(err).NotTo(HaveOccurred())
		second, err := view.Install(ctx, &store, first, view.WithCopies(first, []view.Member{member("b")}))
		Expect(err).NotTo(HaveOccurred())
		_, err = view.Install(ctx, &store, first, view.WithCopies(first, nil))
		var lost *commit.LostError
		Expect(errors.As(err, &lost)).To(BeTrue())
		installed, err := view.Parse([]byte(lost.Value), lost.Version)
		Expect(err).NotTo(HaveOccurred())
		Expect(installed).To(Equal(second))
		loaded, err := view.Load(ctx, &store, "s")
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded).To(Equal(second))
	})

	It("is delivered by a Watcher to the Cache, which keeps the newest one", func() {
		var store explore.FakeStore
		ctx, cancel := context.WithCancel(context.Background())
		first, err := view.Install(ctx, &store, view.View{}, view.First("s", "z", member("a")))
		Expect(err).NotTo(HaveOccurred())
		second, err := view.Install(ctx, &store, first, view.WithCopies(first, []view.Member{member("b")}))
		Expect(err).NotTo(HaveOccurred())
		var cache view.Cache
		merged := make(chan struct{})
		watcher := view.Watcher{Store: &store, OnView: func(v view.View) {
			if cache.Merge(v) {
				close(merged)
				cancel()
			}
		}}
		watcher.Run(ctx)
		Expect(merged).To(BeClosed())
		Expect(cache.Merge(first)).To(BeFalse())
		found, _ := cache.Find("s")
		Expect(found).To(Equal(second))
	})

	It("contains the members of lost views until ClearLost", func() {
		lost := view.Restart(sample(), member("d"))
		Expect(lost.LostEpoch).To(Equal(lost.Epoch))
		Expect(lost.LostMembers).To(ConsistOf(sample().Members()))
		again := view.Restart(lost, member("e"))
		Expect(again.LostMembers).To(HaveLen(4))
		cleared := view.ClearLost(again)
		Expect(cleared.LostEpoch).To(BeZero())
		Expect(cleared.LostMembers).To(BeEmpty())
	})

	DescribeTable("is refused if it is invalid", func(change func(*view.View)) {
		v := sample()
		Expect(v.Check()).To(Succeed())
		change(&v)
		Expect(v.Check()).NotTo(Succeed())
	},
		Entry("without a shard", func(v *view.View) { v.Shard = "" }),
		Entry("without an epoch", func(v *view.View) { v.Epoch = 0 }),
		Entry("without an owner", func(v *view.View) { v.Owner = view.Member{} }),
		Entry("with a host twice", func(v *view.View) { v.Copies = append(v.Copies, view.Member{Host: "a", Incarnation: 2}) }),
		Entry("with too many copies", func(v *view.View) { v.Copies = make([]view.Member, view.MaxCopies+1) }),
	)
})
