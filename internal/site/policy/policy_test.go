package policy_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/entry/gate"
	"github.com/hyssopwall/hyssopwall/internal/site/policy"
)

func TestPolicy(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Policy Suite")
}

var _ = Describe("a policy", func() {
	three := 3
	p := &policy.Policy{
		Version: 4,
		Routes: []policy.Route{
			{Name: "short", Host: "a.example", Prefix: "/x/", Priority: 2, Open: true},
			{Name: "long", Host: "a.example", Prefix: "/x/y/", Priority: 1},
			{Name: "other", Host: "b.example", Prefix: "/x/"},
		},
		Workspaces: []policy.Workspace{
			{Name: "w", KeyDigests: []string{"0000000000000000000000000000000000000000000000000000000000000000"}, Priority: &three},
			{Name: "v"},
		},
	}

	DescribeTable("selects the longest matching prefix of the host", func(host, path, want string) {
		got, ok := p.Route(host, path)
		Expect(ok).To(Equal(want != ""))
		Expect(got.Name).To(Equal(want))
	},
		Entry("short", "a.example", "/x/z", "short"),
		Entry("long", "A.Example", "/x/y/z", "long"),
		Entry("prefix without its trailing slash", "a.example", "/x", ""),
		Entry("other host", "b.example", "/x/y/z", "other"),
		Entry("unknown host", "c.example", "/x/", ""),
	)

	It("chooses targets by weight and never one of weight zero", func() {
		r := policy.Route{Targets: []policy.Target{{Service: "a", Weight: 9}, {Service: "z", Weight: 0}, {Service: "b", Weight: 1}}}
		Expect(r.ChooseService(0)).To(Equal("a"))
		Expect(r.ChooseService(0.899)).To(Equal("a"))
		Expect(r.ChooseService(0.9)).To(Equal("b"))
		Expect(r.ChooseService(0.999)).To(Equal("b"))
		Expect(policy.Route{}.ChooseService(0.5)).To(BeEmpty())
	})

	It("prefers the workspace's priority to the route's", func() {
		Expect(p.Priority(p.Routes[1], "w")).To(Equal(3))
		Expect(p.Priority(p.Routes[1], "v")).To(Equal(1))
	})

	It("provides the gate's keys, open routes and grace period", func() {
		table, err := gate.NewTable(p.Rules(time.Second))
		Expect(err).NotTo(HaveOccurred())
		Expect(table.Version).To(Equal(uint64(4)))
		var g gate.Gate
		_, err = g.Swap(table)
		Expect(err).NotTo(HaveOccurred())
		caller, err := g.CheckRoute("short", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(caller.Anonymous()).To(BeTrue())
		_, err = g.CheckRoute("long", "")
		Expect(err).To(HaveOccurred())
	})
})
