package explore_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/billing/usage"
	"github.com/hyssopwall/hyssopwall/internal/entry/claim"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
)

const page = "../../../docs/FAULTS-accord.md"

var update = flag.Bool("update", false, "write the table of faults")

func TestExplore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Explore Suite")
}

type stage struct {
	Platform []string `json:"platform"`
	Zones    bool     `json:"zones"`
	Holder   string   `json:"holder"`
	Home     string   `json:"home"`
	Far      string   `json:"far"`
	Usage    string   `json:"usage"`
	Sealed   bool     `json:"sealed"`
}

type row struct {
	Name   string  `json:"name"`
	Stages []stage `json:"stages"`
}

func rows() []row {
	all, err := cases.Load[[]row]("testdata/faults.hujson")
	if err != nil {
		panic(err)
	}
	return all[0].Data
}

// trial runs one row.
type trial struct {
	*site
	ctx   context.Context
	count int
}

func (t *trial) claim(shard string) string {
	t.count++
	ctx, cancel := context.WithTimeout(t.ctx, 20*time.Millisecond)
	defer cancel()
	reply := t.hosts[0].client.Claim(ctx, claim.Request{
		Shard: shard, Key: claim.Key{Workspace: "w", ID: fmt.Sprint(t.count)}, Digest: "d",
		Attempt: fmt.Sprint(t.count), Within: time.Minute,
	})
	switch reply.Status {
	case claim.Granted:
		return "served"
	case claim.Busy, claim.Moved:
		return "refused"
	default:
		return fmt.Sprint("status ", reply.Status)
	}
}

func (t *trial) serve() string {
	t.added++
	if t.hosts[0].meter.Add(t.ctx, "w", usage.Count{Requests: 1}) != nil {
		return "thin"
	}
	return "stored"
}

// turn lets every host seal and report what it may, and returns the number of
// windows reported so far.
func (t *trial) turn() int {
	for _, h := range t.hosts {
		_ = h.sealer.Turn(t.ctx)
	}
	return len(t.taken)
}

func (t *trial) run(s stage) {
	before := t.turn()
	t.cut(s.Platform, s.Zones)
	Expect(t.serve()).To(Equal(s.Usage))
	Expect(t.pass(t.ctx, usage.Length+usage.Grace, all)).To(BeNumerically("<=", 1), "holders at once")
	t.look(t.ctx)
	Expect(t.serve()).To(Equal(s.Usage))
	Expect(t.claim("shard-a")).To(Equal(s.Home), "claims at home")
	Expect(t.claim("shard-b")).To(Equal(s.Far), "claims far away")
	Expect(t.turn() > before).To(Equal(s.Sealed), "windows sealed")
	holder := strings.Join(append(t.holders(), "none"), " ")
	if s.Holder != "any" {
		Expect(holder).To(HavePrefix(s.Holder))
	} else {
		Expect(t.holders()).To(HaveLen(1))
	}
}

func all(*host) bool { return true }

var _ = Describe("the table of faults", func() {
	for _, r := range rows() {
		It("is true for: "+r.Name, func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			t := &trial{site: newSite(ctx), ctx: ctx}
			t.pass(ctx, time.Minute, func(h *host) bool { return h.zone == "a" })
			t.look(ctx)
			for _, s := range r.Stages {
				t.run(s)
			}
			t.cut(nil, false)
			for range 2 {
				Expect(t.pass(ctx, usage.Length+usage.Grace, all)).To(BeNumerically("<=", 1))
				t.turn()
			}
			Expect(t.holders()).To(HaveLen(1))
			sum := uint64(0)
			for _, requests := range t.taken {
				sum += requests
			}
			Expect(sum).To(Equal(t.added), "usage adds up once healed")
		})
	}

	It("stands in the page for operators", func() {
		want := render()
		if *update {
			Expect(os.WriteFile(page, []byte(want), 0o600)).To(Succeed())
		}
		got, err := os.ReadFile(page)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got)).To(Equal(want), "run the test with -update")
	})
})

func render() string {
	var b strings.Builder
	b.WriteString(`# Faults: leases, orders, claims and usage

Generated from internal/fleet/explore/testdata/faults.hujson by
` + "`go test ./internal/fleet/explore -update`" + `; the same rows are run as tests.
Zone a holds the duties at first, and each stage lasts an hour. "Home" and "far"
are requests that may not be repeated, made in zone a, whose claim shard's home
is zone a or zone b. A refused one gets a true "not run". Once healed, one host
holds each duty and usage adds up in every row.

| Fault | Cut off from the platform | Zones cut | Orders and reports come from | Home | Far | Usage | Windows |
|---|---|---|---|---|---|---|---|
`)
	for _, r := range rows() {
		for _, s := range r.Stages {
			fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s | %s |\n", r.Name, listed(s.Platform), yes(s.Zones), from(s.Holder), s.Home, s.Far, s.Usage, sealing(s.Sealed))
		}
	}
	return b.String()
}

func listed(zones []string) string {
	if len(zones) == 0 {
		return "no zone"
	}
	return "zone " + strings.Join(zones, ", ")
}

func yes(is bool) string {
	if is {
		return "yes"
	}
	return "no"
}

func from(holder string) string {
	switch holder {
	case "none":
		return "nobody: paused"
	case "any":
		return "one zone"
	default:
		return "zone " + holder
	}
}

func sealing(sealed bool) string {
	if sealed {
		return "sealed and reported"
	}
	return "paused"
}
