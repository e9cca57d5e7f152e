package matrix_test

import (
	"context"
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/host/demo"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
	"github.com/hyssopwall/hyssopwall/internal/standin/engine"
	"github.com/hyssopwall/hyssopwall/internal/standin/service"
)

// The names in testdata/site.hujson.
const (
	model     = "llm"
	app       = "app"
	workspace = "team"
)

var zones = []string{"north", "south", "west"}

// patience bounds the wait for a site to start or to heal, and for the work of
// one cell. Nothing passes or fails by a shorter time.
const patience = 60 * time.Second

// only runs the cells whose names contain it.
var only = flag.String("cell", "", "run the cells whose names contain this")

func TestMatrix(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Fault Matrix Suite")
}

func startSite(ctx context.Context) *demo.Site {
	text, err := document()
	Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithTimeout(ctx, patience)
	defer stop()
	site, err := demo.Start(ctx, demo.Options{
		Document: text, HostsPerZone: 2, Servers: map[string]int{model: 4, app: 3},
		Engine:  engine.Settings{Record: true, Restart: 200 * time.Millisecond},
		Service: service.Settings{Record: true, Restart: 200 * time.Millisecond},
		Log:     event.Log{Sink: func(event.Entry, []any) {}},
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(site.Close)
	return site
}

var _ = Describe("the fault matrix", Ordered, ContinueOnFailure, func() {
	loaded, err := cases.Load[[]cell]("testdata/cells.hujson")
	if err != nil {
		panic(err) // the tree can't be built without its cells
	}
	var site *demo.Site
	BeforeAll(func(ctx SpecContext) { site = startSite(ctx) })
	for serial, c := range loaded[0].Data {
		if !chosen(serial, c) {
			continue
		}
		It(c.String(), func(ctx SpecContext) { run(ctx, site, c, serial+1) })
	}
})

// run runs one cell: the fault, the work, the promises, and the return to
// normal.
func run(ctx context.Context, site *demo.Site, c cell, serial int) {
	ctx, stop := context.WithTimeout(ctx, patience)
	defer stop()
	fault := inject(ctx, site, c)
	done := do(ctx, site, c, serial)
	Eventually(fault.done).WithTimeout(patience).Should(BeTrue(), "the fault was not brought about")
	fault.heal()
	Expect(done.problems).To(BeEmpty())
	Expect(done.served + done.refused + done.unknown).To(Equal(requests))
	switch c.Expect {
	case "served":
		Expect(done.served).To(Equal(requests), "refused %d, unknown %d", done.refused, done.unknown)
	case "unknown":
		Expect(done.refused).To(BeZero())
	}
	checkOnce(site)
	checkKeys(site)
	Eventually(func() error {
		short, stop := context.WithTimeout(ctx, time.Second)
		defer stop()
		return site.WaitReady(short)
	}).WithTimeout(patience).Should(Succeed())
	after := do(ctx, site, cell{Work: "call"}, 1000+serial)
	Expect(after.problems).To(BeEmpty())
	Expect(after.served).To(Equal(requests), "after the fault")
}

// checkOnce checks that no call that must not be repeated ran twice.
func checkOnce(site *demo.Site) {
	for _, one := range site.Supplier.Services() {
		for _, name := range one.Duplicates() {
			Expect(keyed(name)).To(BeFalse(), "%s ran more than once", name)
		}
	}
}

// checkKeys searches all bytes that backend servers received for keys.
func checkKeys(site *demo.Site) {
	for _, one := range site.Supplier.Services() {
		Expect(string(one.Received())).NotTo(ContainSubstring("demo-" + site.Document.Site))
	}
	for _, one := range site.Supplier.Engines() {
		Expect(string(one.Received())).NotTo(ContainSubstring("demo-" + site.Document.Site))
	}
}
