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

// stage is an hour with the same faults, with the expected state at its end.
type stage struct {
	Platform []string `json:"platform"`
	Zones    bool     `json:"zones"`
	Holder   string   `json:"holder"`
	Home     string   `json:"home"`
	Far      string   `json:"far"`
	Usage    string   `json:"usage"`
	Sealed   bool     `json:"sealed"`
}

// row is a row of the table: a sequence of stages.
type row struct {
	Name   string  `json:"name"`
	Stages []stage `json:"stages"`
}

// rows loads the rows of the table.
func rows() []row {
	all, err := cases.Load[[]row]("testdata/faults.hujson")
	if err != nil {
		panic(err)
	}
	return all[0].Data
}

// trial runs one row of the table.
type trial struct {
	*site
	ctx    context.Context
	claims int // number of claims made so far
}

// claim claims a request of a shard from a host of zone a, and returns the result as a row
// names it.
func (t *trial) claim(shard string) string {
	t.claims++
	ctx, cancel := context.WithTimeout(t.ctx, 20*time.Millisecond)
	defer cancel()
	reply := t.hosts[0].client.Claim(ctx, claim.Request{
		Shard: shard, Key: claim.Key{Workspace: "w", ID: fmt.Sprint(t.claims)}, Digest: "d",
		Attempt: fmt.Sprint(t.claims), Within: time.Minute,
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

// countRequest counts a request on a host of zone a. It returns "stored", or "thin" if too
// few other hosts store the count.
func (t *trial) countRequest() string {
	t.counted++
	if t.hosts[0].meter.Add(t.ctx, "w", usage.Count{Requests: 1}) != nil {
		return "thin"
	}
	return "stored"
}

// sealWindows runs the sealer of every host once, and returns the number of windows
// reported so far.
func (t *trial) sealWindows() int {
	for _, h := range t.hosts {
		_ = h.sealer.RunOnce(t.ctx)
	}
	return len(t.reported)
}

// run runs one stage and checks what it lists.
func (t *trial) run(s stage) {
	before := t.sealWindows()
	t.setCuts(s.Platform, s.Zones)
	Expect(t.countRequest()).To(Equal(s.Usage))
	Expect(t.advance(t.ctx, usage.WindowLength+usage.SealDelay, all)).To(BeNumerically("<=", 1), "holders at once")
	t.tickManagers(t.ctx)
	Expect(t.countRequest()).To(Equal(s.Usage))
	Expect(t.claim("shard-a")).To(Equal(s.Home), "claims at home")
	Expect(t.claim("shard-b")).To(Equal(s.Far), "claims far away")
	Expect(t.sealWindows() > before).To(Equal(s.Sealed), "windows sealed")
	holder := strings.Join(append(t.holders(), "none"), " ")
	if s.Holder != "any" {
		Expect(holder).To(HavePrefix(s.Holder))
	} else {
		Expect(t.holders()).To(HaveLen(1))
	}
}

// all lets every host contend.
func all(*host) bool { return true }

var _ = Describe("the table of faults", func() {
	for _, r := range rows() {
		It("holds for: "+r.Name, func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			t := &trial{site: newSite(ctx), ctx: ctx}
			t.advance(ctx, time.Minute, func(h *host) bool { return h.zone == "a" })
			t.tickManagers(ctx)
			for _, s := range r.Stages {
				t.run(s)
			}
			t.setCuts(nil, false)
			for range 2 {
				Expect(t.advance(ctx, usage.WindowLength+usage.SealDelay, all)).To(BeNumerically("<=", 1))
				t.sealWindows()
			}
			Expect(t.holders()).To(HaveLen(1))
			sum := uint64(0)
			for _, requests := range t.reported {
				sum += requests
			}
			Expect(sum).To(Equal(t.counted), "usage adds up once healed")
		})
	}

	It("is up to date in the page for operators", func() {
		want := render()
		if *update {
			Expect(os.WriteFile(page, []byte(want), 0o600)).To(Succeed())
		}
		got, err := os.ReadFile(page)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got)).To(Equal(want), "run the test with -update")
	})
})

// render returns the page that shows the table.
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
			fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s | %s |\n", r.Name, zonesText(s.Platform), yesNo(s.Zones), holderText(s.Holder), s.Home, s.Far, s.Usage, sealedText(s.Sealed))
		}
	}
	return b.String()
}

func zonesText(zones []string) string {
	if len(zones) == 0 {
		return "no zone"
	}
	return "zone " + strings.Join(zones, ", ")
}

func yesNo(is bool) string {
	if is {
		return "yes"
	}
	return "no"
}

func holderText(holder string) string {
	switch holder {
	case "none":
		return "nobody: paused"
	case "any":
		return "one zone"
	default:
		return "zone " + holder
	}
}

func sealedText(sealed bool) string {
	if sealed {
		return "sealed and reported"
	}
	return "paused"
}
