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

// Names of the pools and the workspace in testdata/site.hujson.
const (
	model     = "llm"
	app       = "app"
	workspace = "team"
)

// zones are the zones in testdata/site.hujson.
var zones = []string{"north", "south", "west"}

// waitLimit bounds the start of the site, its recovery, and the fault and requests
// of one cell. No check depends on a shorter time.
const waitLimit = 60 * time.Second

// cellFilter selects the cells whose names contain it.
var cellFilter = flag.String("cell", "", "run the cells whose names contain this")

func TestMatrix(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Fault Matrix Suite")
}

// startSite starts the site that all cells share.
func startSite(ctx context.Context) *demo.Site {
	text, err := siteDocument()
	Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithTimeout(ctx, waitLimit)
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
		panic(err) // the specs can't be built without the cells
	}
	var site *demo.Site
	BeforeAll(func(ctx SpecContext) { site = startSite(ctx) })
	for serial, c := range loaded[0].Data {
		if !selected(serial, c) {
			continue
		}
		It(c.String(), func(ctx SpecContext) { run(ctx, site, c, serial+1) })
	}
})

// run runs one cell: it injects the fault, sends the requests, checks the guarantees,
// and checks that the site serves again after the fault. Of the outcomes, "served" allows
// only served requests, "unknown" all but refused ones, and "answered" all.
func run(ctx context.Context, site *demo.Site, c cell, serial int) {
	ctx, stop := context.WithTimeout(ctx, waitLimit)
	defer stop()
	injected := inject(ctx, site, c)
	got := runWork(ctx, site, c, serial)
	Eventually(injected.happened).WithTimeout(waitLimit).Should(BeTrue(), "the fault did not happen")
	injected.heal()
	Expect(got.problems).To(BeEmpty())
	Expect(got.served + got.refused + got.unknown).To(Equal(requests))
	switch c.Expect {
	case "served":
		Expect(got.served).To(Equal(requests), "refused %d, unknown %d", got.refused, got.unknown)
	case "unknown":
		Expect(got.refused).To(BeZero())
	}
	checkOnce(site)
	checkKeys(site)
	Eventually(func() error {
		short, stop := context.WithTimeout(ctx, time.Second)
		defer stop()
		return site.WaitReady(short)
	}).WithTimeout(waitLimit).Should(Succeed())
	// 1000 exceeds the number of cells, so that no name of a request occurs twice.
	after := runWork(ctx, site, cell{Work: "call"}, 1000+serial)
	Expect(after.problems).To(BeEmpty())
	Expect(after.served).To(Equal(requests), "after the fault")
}

// checkOnce checks that no request with an idempotency key ran twice.
func checkOnce(site *demo.Site) {
	for _, server := range site.Supplier.Services() {
		for _, name := range server.Duplicates() {
			Expect(hasIdempotencyKey(name)).To(BeFalse(), "%s ran more than once", name)
		}
	}
}

// checkKeys checks that the bytes that backend servers received contain no API key.
func checkKeys(site *demo.Site) {
	for _, server := range site.Supplier.Services() {
		Expect(string(server.Received())).NotTo(ContainSubstring("demo-" + site.Document.Site))
	}
	for _, server := range site.Supplier.Engines() {
		Expect(string(server.Received())).NotTo(ContainSubstring("demo-" + site.Document.Site))
	}
}
