package home_test

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/backend/service"
	"github.com/hyssopwall/hyssopwall/internal/host/forward"
	"github.com/hyssopwall/hyssopwall/internal/host/home"
	"github.com/hyssopwall/hyssopwall/internal/site/document"
)

func TestHome(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Home Suite")
}

// busy is a service whose calls end only with their context. It sends on entered when
// a call arrives.
type busy struct {
	entered chan struct{}
}

func (b busy) Call(ctx context.Context, _ service.Request) (service.Response, error) {
	b.entered <- struct{}{}
	<-ctx.Done()
	return service.Response{}, ctx.Err()
}

func (b busy) Engine(string) engine.Engine   { return nil }
func (b busy) Service(string) service.Caller { return b }

// task returns an idempotent request that needs at least the given weights version.
func task(id string, least uint64) forward.Task {
	return forward.Task{
		ID: id, Workspace: "w", Pool: "app", Route: "r", TimeLeft: time.Hour, Idempotent: true, MinVersion: least,
		Service: &service.Request{ID: id},
	}
}

var _ = Describe("a home", func() {
	var h *home.Home
	var server busy
	servers := []home.Server{{Name: "s", Pool: "app", Kind: document.Service}}

	BeforeEach(func() {
		server = busy{entered: make(chan struct{}, 1)}
		h = home.New(home.Config{Host: "h", Zone: "z", Dialer: server, Now: time.Now})
		DeferCleanup(h.Close)
		h.SetServers(servers)
	})

	run := func(ctx context.Context, t forward.Task) chan *forward.Error {
		done := make(chan *forward.Error, 1)
		go func() {
			err := h.Run(ctx, t, func(forward.Item) error { return nil })
			var failure *forward.Error
			errors.As(err, &failure)
			done <- failure
		}()
		return done
	}

	It("refuses at once a request that none of its backend servers may run", func(ctx SpecContext) {
		avoiding := task("a", 0)
		avoiding.Avoid = []string{"s"}
		for _, t := range []forward.Task{avoiding, task("b", 1)} {
			var failure *forward.Error
			Eventually(ctx, run(ctx, t)).Should(Receive(&failure))
			Expect(failure.Code).To(Equal(forward.CodeNoServer))
			Expect(failure.Ran).To(Equal("no"))
		}
	})

	// Guards against a request that waits until its deadline for backend servers that have
	// moved, although their new home could run it.
	It("refuses a waiting request as not run when its backend servers have moved to another home", func(ctx SpecContext) {
		ctx2, stop := context.WithCancel(ctx)
		defer stop()
		solo := task("first", 0)
		solo.Solo = true // keeps the backend server to itself
		run(ctx2, solo)
		Eventually(ctx, server.entered).Should(Receive())
		waiting := run(ctx2, task("second", 0))
		Eventually(ctx, h.Running).Should(Equal(2))
		h.SetServers(nil)
		var failure *forward.Error
		Eventually(ctx, waiting).Should(Receive(&failure))
		Expect(failure.Code).To(Equal(forward.CodeNoServer))
		Expect(failure.Ran).To(Equal("no"))
	})
})
