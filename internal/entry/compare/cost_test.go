package compare_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/entry/attempt"
	"github.com/hyssopwall/hyssopwall/internal/entry/gate"
	"github.com/hyssopwall/hyssopwall/internal/entry/poison"
	"github.com/hyssopwall/hyssopwall/internal/entry/queue"
	"github.com/hyssopwall/hyssopwall/internal/entry/quota"
	"github.com/hyssopwall/hyssopwall/internal/entry/route"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// Size of the zone for which the costs are measured.
const (
	costHosts      = 28
	costEngines    = 10 // of one home host
	costWorkspaces = 8
	costGrants     = 200
)

// decisionPath holds the components that decide about a request on its way to an
// engine.
type decisionPath struct {
	gate     gate.Gate
	limiter  quota.Limiter
	suspects poison.SuspectTable
	picker   route.Picker
	queue    *queue.Queue
	engines  route.Servers
	budget   attempt.Budget
	key      quota.Key
	body     []byte
}

// newDecisionPath returns a path with the gate table, quota limits, summaries and
// engines of a large zone.
func newDecisionPath(now time.Time) *decisionPath {
	p := &decisionPath{queue: queue.New(queue.Config{}), key: quota.Key{Workspace: "w0", Route: "m"}, body: make([]byte, 4096)}
	rules := gate.Rules{Version: 1}
	for i := range costGrants {
		sum := sha256.Sum256(fmt.Append(nil, "key", i))
		rules.Grants = append(rules.Grants, gate.Grant{
			Workspace: fmt.Sprint("w", i%costWorkspaces), KeyID: fmt.Sprint(i), Digest: hex.EncodeToString(sum[:]),
		})
	}
	table, err := gate.NewTable(rules)
	if err != nil {
		panic(err)
	}
	if _, err := p.gate.Swap(table); err != nil {
		panic(err)
	}
	p.limiter.SetLimits(map[quota.Key]quota.Limit{p.key: {Rate: 1e9, Tokens: 1e12, Concurrency: 1 << 30}}, func(quota.Key, quota.Limit) quota.Share {
		return quota.Share{Fraction: 1, Slots: 1 << 30}
	})
	for i := range costHosts {
		p.picker.Update(now, fullSummary(fmt.Sprintf("host-%02d", i)))
	}
	var servers []route.Server
	for i := range costEngines {
		servers = append(servers, route.Server{Name: fmt.Sprint("engine-", i), Pool: "m", Slots: 32, Speed: 50})
	}
	p.engines.SetServers(servers)
	return p
}

// fullSummary returns the summary of a busy home host where every workspace has
// waiting requests.
func fullSummary(host string) route.Summary {
	s := route.Summary{Host: host, Zone: "zone-a", Pool: "m", Slots: 320, Running: 200, Backlog: 90000, Rate: 16000, NewestVersion: 12345}
	waits := map[string]time.Duration{}
	for i := range costWorkspaces {
		waits[fmt.Sprint("w", i)] = time.Duration(i+1) * 700 * time.Millisecond
	}
	s.SetWaits(waits)
	return s
}

// request passes one request through every decision, up to the release of the
// engine. It reports whether the request was answered.
func (p *decisionPath) request(now time.Time, id string, prefixes []uint64) bool {
	caller, err := p.gate.Check("key0")
	if err != nil {
		return false
	}
	ticket, err := p.limiter.Acquire(now, p.key, 400)
	if err != nil {
		return false
	}
	if verdict, _ := p.suspects.Admit(now, poison.FingerprintOf(caller.Workspace, "m", p.body)); verdict != poison.Run {
		return false
	}
	p.budget.CountRequest(now)
	state, _ := attempt.Next(attempt.State{Phase: attempt.Queued, Idempotent: true}, attempt.Event{Kind: attempt.EventClaim})
	if _, ok := p.picker.Pick(now, "m", caller.Workspace, prefixes[0]); !ok {
		return false
	}
	if _, err := p.queue.Push(now, queue.Item{ID: id, Workspace: caller.Workspace, Tokens: 400, Deadline: now.Add(time.Minute)}); err != nil {
		return false
	}
	var choice route.Choice
	item, ok, _ := p.queue.Pop(now, func(item queue.Item) bool {
		var open bool
		choice, open = p.engines.Reserve(now, route.Need{ID: item.ID, Pool: "m", Prefixes: prefixes, PromptTokens: 2000, Tokens: 400})
		return open
	})
	if !ok {
		return false
	}
	state, _ = attempt.Next(state, attempt.Event{Kind: attempt.EventSend, AttemptID: 1})
	state, _ = attempt.Next(state, attempt.Event{Kind: attempt.EventAnswer, AttemptID: 1})
	p.engines.Release(now, choice.Server, id, route.Outcome{Tokens: 200, Elapsed: 4 * time.Second})
	p.queue.Settle(now, item, queue.Result{Used: 200, Elapsed: 4 * time.Second, Complete: true})
	p.limiter.Finish(ticket, 200)
	return state.IsFinal()
}

// BenchmarkRequest measures the cost of all decisions for one request, from the
// check of the API key to the release of the engine.
func BenchmarkRequest(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	p := newDecisionPath(now)
	prefixes := route.PrefixHashes(string(make([]byte, 4096)), 256)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		if !p.request(now, "request-1", prefixes) {
			b.Fatal("the request did not pass")
		}
	}
}

// BenchmarkSummary measures the cost of encoding and decoding one summary, and its
// size. Each second a host sends its summary to every other host of the zone and
// receives one from each.
func BenchmarkSummary(b *testing.B) {
	busy := fullSummary("host-00")
	idle := busy
	idle.Waits, idle.Backlog = nil, 0
	for name, s := range map[string]route.Summary{"busy": busy, "idle": idle} {
		b.Run(name, func(b *testing.B) {
			var data []byte
			for b.Loop() {
				var err error
				if data, err = wire.Encode(s); err != nil {
					b.Fatal(err)
				}
				if _, err = wire.Decode[route.Summary](data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "bytes")
			b.ReportMetric(float64(len(data)*(costHosts-1)), "bytes/host-s")
		})
	}
}
