package pool_test

import (
	"cmp"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/backend/warmup"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
)

// warmUpScript is a test case of hosts that send to one server: Limited says whether its
// service has a limit. Each step passes time and then does one thing at the host Host.
type warmUpScript struct {
	Pattern string
	Limited bool
	Paced   bool // the service's servers have windows
	Listed  bool // the hosts have read a first list before, without the server
	Queue   int  // queue allowance of requests; zero counts as 100
	Hosts   int  // host i has rank i, unless Ranks says otherwise
	Ranks   []int
	Steps   []warmUpStep
}

// warmUpStep changes the entry of the server at all hosts or only at Host, and then tries to
// send requests there.
type warmUpStep struct {
	After int // milliseconds that pass before the step
	Host  int
	All   bool // the step is done at each host
	Put   *pool.Server
	Age   *int // age of the view of the store in milliseconds, from now on
	Told  *int // a response names this warm-up left in milliseconds
	Fail  bool // a request fails
	// Evacuate sets the evacuated zones, and Await closes all zones until they are set.
	Evacuate *[]string
	Await    bool
	Check    *bool // the health check that was started is answered or not; fails if there was none
	Pick     int   // requests that are selected and kept for Send
	Send     bool  // the kept requests are sent
	// Try is the number of requests that are selected and sent at once; Sent is the number of
	// requests, by Send or Try, that the server gets.
	Try, Sent int
	Outcome   string // of the requests sent: "answer", "refuse" or none yet
	Closed    bool   // the service is expected to be closed
}

// warmHost is one host of a warmUpScript.
type warmHost struct {
	*pool.Pool
	age     time.Duration
	kept    []*pool.Choice
	checks  []time.Time
	checked pool.Server
}

var _ = Describe("sends to a cold server", func() {
	all, err := cases.Load[warmUpScript]("testdata/warmup/*.hujson")
	if err != nil {
		panic(err)
	}
	for _, c := range all {
		It(c.Name+": "+c.Data.Pattern, func() {
			now := time.Unix(1_800_000_000, 0)
			hosts := make([]*warmHost, c.Data.Hosts)
			for i := range hosts {
				h := &warmHost{Pool: &pool.Pool{}}
				rank := i
				if len(c.Data.Ranks) > 0 {
					rank = c.Data.Ranks[i]
				}
				h.Hooks = pool.Hooks{
					Now:     func() time.Time { return now },
					ViewAge: func() time.Duration { return h.age },
					Rank:    func(pool.Server) int { return rank },
					CheckHealth: func(s pool.Server, started time.Time) {
						h.checked, h.checks = s, append(h.checks, started)
					},
				}
				if c.Data.Limited {
					h.SetWarmUps(map[string]warmup.Rules{"s": {Rate: 7.9, Time: 20 * time.Second, Overage: 1.5, Slack: 5}})
				}
				if c.Data.Paced {
					h.PaceService("s")
				}
				if c.Data.Listed {
					h.Replace(nil)
				}
				hosts[i] = h
			}
			for i, s := range c.Data.Steps {
				now = now.Add(time.Duration(s.After) * time.Millisecond)
				sent := 0
				for at, h := range hosts {
					if s.All || at == s.Host {
						sent += s.run(h, now, cmp.Or(c.Data.Queue, 100))
						_, closed := h.Closed(now, pool.Need{Service: "s"})
						Expect(closed).To(Equal(s.Closed), "step %d", i)
					}
				}
				Expect(sent).To(Equal(s.Sent), "step %d", i)
			}
		})
	}
})

// run does one step at a host and returns the number of requests that the server got.
func (s warmUpStep) run(h *warmHost, now time.Time, queue int) (sent int) {
	need := pool.Need{Service: "s", QueueAllowance: queue}
	if s.Put != nil {
		h.Put(*s.Put)
	}
	if s.Await {
		h.AwaitEvacuations()
	}
	if s.Evacuate != nil {
		h.SetEvacuated(*s.Evacuate)
	}
	if s.Age != nil {
		h.age = time.Duration(*s.Age) * time.Millisecond
	}
	if s.Told != nil {
		h.SetWarmUpLeft(h.Servers()[0], time.Duration(*s.Told)*time.Millisecond)
	}
	if s.Check != nil {
		Expect(h.checks).NotTo(BeEmpty(), "no health check was started")
		h.RecordHealth(h.checked, h.checks[0], *s.Check)
		h.checks = nil
	}
	for range s.Pick + s.Try {
		if choice, ok := h.Pick(now, need); ok {
			h.kept = append(h.kept, choice)
		}
	}
	if !s.Send && s.Try == 0 {
		return 0
	}
	errs := make([]error, len(h.kept))
	for i, choice := range h.kept {
		errs[i] = choice.Check()
	}
	for i, choice := range h.kept {
		err := errs[i]
		if err == nil {
			sent++
		}
		choice.Release()
		switch {
		case err != nil:
			var cold *pool.ColdError
			var left *pool.LeftError
			var evacuated *pool.EvacuatedError
			Expect(errors.As(err, &cold) || errors.As(err, &left) || errors.As(err, &evacuated)).To(BeTrue(), "%v", err)
		case s.Fail:
			choice.RecordFailure(now)
		case s.Outcome == "answer":
			choice.RecordSuccess()
		case s.Outcome == "refuse":
			choice.RecordRefusal(now)
		}
	}
	h.kept = nil
	return sent
}
