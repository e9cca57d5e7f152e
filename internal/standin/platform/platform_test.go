package platform_test

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/platform/hostlist"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/platform/report"
	"github.com/hyssopwall/hyssopwall/internal/platform/supply"
	"github.com/hyssopwall/hyssopwall/internal/platform/weightstore"
	"github.com/hyssopwall/hyssopwall/internal/standin/clock"
	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
	"github.com/hyssopwall/hyssopwall/internal/standin/platform"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platform stand-in")
}

func start(settings platform.Settings) *platform.Platform {
	server := platform.New(settings)
	Expect(server.Start("127.0.0.1:0")).To(Succeed())
	DeferCleanup(server.Close)
	return server
}

// starter records the servers it is told to start and stop.
type starter struct {
	mu      sync.Mutex
	started []string
	stopped []string
}

func (s *starter) Start(server platform.Server) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = append(s.started, server.Name)
	return fmt.Sprintf("127.0.0.1:%d", 9000+len(s.started)), nil
}

func (s *starter) Stop(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = append(s.stopped, name)
}

func (s *starter) counts() (started, stopped int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.started), len(s.stopped)
}

func conflict(err error) *object.ConflictError {
	known, ok := errors.AsType[*object.ConflictError](err)
	Expect(ok).To(BeTrue(), "%v", err)
	return known
}

var _ = Describe("Supply", func() {
	order := supply.Order{ID: "o-1", Zone: "plateau", Pool: "assay", Class: supply.Spot, Count: 3, Epoch: 5}

	It("applies a repeated order once and refuses a stale epoch", func(ctx SpecContext) {
		var recorder starter
		server := start(platform.Settings{Starter: &recorder})
		client := &supply.Client{Base: server.URL()}
		server.Faults().Add(fault.Rule{Step: platform.Place, Kind: fault.DropAfter, Count: 1})
		_, lost := errors.AsType[*object.UnknownError](client.Place(ctx, order))
		Expect(lost).To(BeTrue())
		Expect(client.Place(ctx, order)).To(Succeed())
		Expect(server.Orders()).To(HaveLen(1))
		changed := order
		changed.Count = 9
		conflict(client.Place(ctx, changed))
		old := supply.Order{ID: "o-2", Zone: "plateau", Pool: "assay", Class: supply.Spot, Count: 8, Epoch: 4}
		Expect(conflict(client.Place(ctx, old)).Have).To(Equal(uint64(5)))
		servers, err := client.Servers(ctx, "plateau")
		Expect(err).NotTo(HaveOccurred())
		Expect(servers).To(HaveLen(3))
		Expect(servers[0].Address).To(Equal("127.0.0.1:9001"))
		elsewhere, err := client.Servers(ctx, "rufisque")
		Expect(err).NotTo(HaveOccurred())
		Expect(elsewhere).To(BeEmpty())

		server.Faults().Add(fault.Rule{Step: platform.Place, Kind: fault.IgnoreFencing, Count: 1})
		Expect(client.Place(ctx, old)).To(Succeed())
		Expect(server.StaleOrders()).To(Equal(1))
	}, SpecTimeout(10*time.Second))

	It("sends no incomplete order or report", func(ctx SpecContext) {
		server := start(platform.Settings{})
		for _, wrong := range []supply.Order{{Zone: "z", Pool: "p"}, {ID: "o", Pool: "p"}, {ID: "o", Zone: "z"}, {ID: "o", Zone: "z", Pool: "p", Count: -1}} {
			_, ok := errors.AsType[*object.RequestError]((&supply.Client{Base: server.URL()}).Place(ctx, wrong))
			Expect(ok).To(BeTrue())
		}
		for _, wrong := range []report.Report{{End: time.Unix(1, 0)}, {ID: "w"}, {ID: "w", End: time.Unix(1, 0), Lines: []report.Line{{}}}} {
			_, ok := errors.AsType[*object.RequestError]((&report.Client{Base: server.URL()}).Send(ctx, wrong))
			Expect(ok).To(BeTrue())
		}
		Expect(server.Calls(platform.Place) + server.Calls(platform.Report)).To(BeZero())
	}, SpecTimeout(10*time.Second))

	It("omits servers without a name or zone", func(ctx SpecContext) {
		server := start(platform.Settings{})
		for _, known := range []supply.Server{{Zone: "z"}, {Name: "a"}, {Name: "b", Zone: "z", Leaving: true}} {
			server.AddServer(known)
		}
		servers, err := (&supply.Client{Base: server.URL()}).Servers(ctx, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(servers).To(Equal([]supply.Server{{Name: "b", Zone: "z", Leaving: true}}))
	}, SpecTimeout(10*time.Second))

	It("reclaims the spot servers of a zone when the notice ends", func(ctx SpecContext) {
		var recorder starter
		var now clock.Manual
		server := start(platform.Settings{Starter: &recorder, Now: now.Now})
		client := &supply.Client{Base: server.URL()}
		server.SetCapacity("plateau", "assay", supply.Spot, 2)
		Expect(client.Place(ctx, order)).To(Succeed())
		onDemand := supply.Order{ID: "o-2", Zone: "plateau", Pool: "assay", Class: supply.OnDemand, Count: 1, Epoch: 5}
		Expect(client.Place(ctx, onDemand)).To(Succeed())
		Expect(server.Reclaim("plateau", 3*time.Second)).To(HaveLen(2))
		servers, err := client.Servers(ctx, "")
		Expect(err).NotTo(HaveOccurred())
		leaving := slices.DeleteFunc(servers, func(s supply.Server) bool { return !s.Leaving })
		Expect(leaving).To(HaveLen(2))
		Expect(leaving[0].NoticeEnd).To(BeTemporally("==", now.Now().Add(3*time.Second)))
		now.Advance(2 * time.Second)
		server.Tick()
		Expect(server.Running()).To(HaveLen(3))
		now.Advance(time.Second)
		server.Tick()
		Expect(server.Running()).To(HaveLen(1))
		started, stopped := recorder.counts()
		Expect([]int{started, stopped}).To(Equal([]int{3, 2}))
	}, SpecTimeout(10*time.Second))
})

var _ = Describe("Reports", func() {
	It("accepts a repeated report and refuses one with other figures", func(ctx SpecContext) {
		server := start(platform.Settings{})
		client := &report.Client{Base: server.URL()}
		first := report.Report{
			ID:    "w-1",
			Start: time.Unix(0, 0),
			End:   time.Unix(60, 0),
			Lines: []report.Line{{Workspace: "quotes", Requests: 4}},
		}
		Expect(client.Send(ctx, first)).To(Succeed())
		Expect(client.Send(ctx, first)).To(Succeed())
		Expect(server.ReportViolations()).To(BeEmpty())
		changed := first
		changed.Lines = []report.Line{{Workspace: "quotes", Requests: 5}}
		conflict(client.Send(ctx, changed))
		renamed := first
		renamed.ID = "w-1b"
		conflict(client.Send(ctx, renamed))
		next := first
		next.ID, next.Start, next.End = "w-2", first.End, time.Unix(120, 0)
		Expect(client.Send(ctx, next)).To(Succeed())
		Expect(server.ReportViolations()).To(HaveLen(2))
		Expect(server.Reports()).To(HaveLen(5))
	}, SpecTimeout(10*time.Second))
})

var _ = Describe("Lists", func() {
	It("returns the host list with a lag", func(ctx SpecContext) {
		var now clock.Manual
		server := start(platform.Settings{Now: now.Now, HostLag: 5 * time.Second})
		client := &hostlist.Client{Base: server.URL()}
		server.SetHost(hostlist.Host{Name: "b", Zone: "pikine"})
		server.SetHost(hostlist.Host{Name: "a", Zone: "pikine"})
		hosts, err := client.Hosts(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(hosts).To(BeEmpty())
		now.Advance(5 * time.Second)
		server.RemoveHost("b")
		hosts, err = client.Hosts(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(hosts).To(HaveLen(2))
		Expect(hosts[0].Name).To(Equal("a"))
		now.Advance(5 * time.Second)
		hosts, err = client.Hosts(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(hosts).To(HaveLen(1))
	}, SpecTimeout(10*time.Second))

	It("returns the newest release, or an older one by fault", func(ctx SpecContext) {
		server := start(platform.Settings{})
		client := &weightstore.Client{Base: server.URL()}
		_, err := client.Newest(ctx, "quote-llm")
		_, absent := errors.AsType[*object.NotFoundError](err)
		Expect(absent).To(BeTrue())
		server.Publish("quote-llm")
		Expect(server.Publish("quote-llm")).To(Equal(uint64(2)))
		newest, err := client.Newest(ctx, "quote-llm")
		Expect(err).NotTo(HaveOccurred())
		Expect(newest.Version).To(Equal(uint64(2)))
		server.Faults().Add(fault.Rule{Step: platform.Newest, Kind: fault.Stale, Count: 1})
		newest, err = client.Newest(ctx, "quote-llm")
		Expect(err).NotTo(HaveOccurred())
		Expect(newest.Version).To(Equal(uint64(1)))
		Expect(server.Calls(platform.Newest)).To(Equal(3))
	}, SpecTimeout(10*time.Second))
})
