package forward_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/backend/warmup"
	"github.com/hyssopwall/hyssopwall/internal/entry/forward"
	"github.com/hyssopwall/hyssopwall/internal/site/policy"
)

// silent is a Sender whose servers never answer. Before runs before the check of each send.
type silent struct {
	before func(server string)
	mu     sync.Mutex
	sentTo []string
}

func (s *silent) Send(ctx context.Context, server pool.Server, request forward.Request) (forward.Response, error) {
	s.before(server.Name)
	if err := request.BeforeSend(); err != nil {
		return forward.Response{}, &forward.NotRunError{Reason: err.Error()}
	}
	s.mu.Lock()
	s.sentTo = append(s.sentTo, server.Name)
	s.mu.Unlock()
	<-ctx.Done()
	return forward.Response{}, &forward.BrokenError{Reason: "no answer", Err: ctx.Err()}
}

var _ = Describe("a hedge", func() {
	route := policy.Route{
		Name: "r", Kind: policy.Safe, Attempts: 2, Targets: []policy.Target{{Service: "s", Weight: 1}},
		LatencyTarget: 100 * time.Millisecond, Timeout: 400 * time.Millisecond,
	}
	// Guards against a hedge that is not counted, not held back, or sent although the zone of
	// its server was evacuated while it waited for a connection.
	DescribeTable("goes to another server only if that may get it", func(ctx SpecContext, rank int, evacuate string, late bool, sentTo ...string) {
		p := &pool.Pool{Hooks: pool.Hooks{Rank: func(pool.Server) int { return rank }}}
		p.SetWarmUps(map[string]warmup.Rules{"s": {Rate: 7.9}})
		p.Replace([]pool.Server{
			{Name: "a", Service: "s", Slots: 8, Zone: "y"}, {Name: "b", Service: "s", Slots: 4, Zone: "z", WarmUpLeft: time.Minute},
		})
		if !late {
			p.SetEvacuated([]string{evacuate})
		}
		sender := &silent{before: func(server string) {
			if late && server == "b" {
				p.SetEvacuated([]string{evacuate})
			}
		}}
		f := &forward.Forwarder{Pool: p, Sender: sender, OnRun: func(string) {}, Log: discard}
		_, err := f.Do(ctx, route, forward.Request{ID: "x", Workspace: "w"})
		Expect(err).To(HaveOccurred())
		sender.mu.Lock()
		defer sender.mu.Unlock()
		Expect(sender.sentTo).To(Equal(sentTo))
	},
		Entry("from the first host in rank to a cold server", 0, "", false, "a", "b"),
		Entry("from another host not to a cold server", 1, "", false, "a"),
		Entry("not to an evacuated zone", 0, "z", false, "a"),
		Entry("not to a zone that was evacuated meanwhile", 0, "z", true, "a"),
	)
})
