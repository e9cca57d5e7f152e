package node

import (
	"context"
	"errors"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/pace"
	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/backend/warmup"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/site/policy"
)

// notSender is the rank of a host that is not a possible sender of a service.
const notSender = math.MaxInt

// connectPool connects the pool to what this host knows about the store, the other hosts and
// the health of servers.
func (n *Node) connectPool() {
	n.Pool.Hooks = pool.Hooks{ViewAge: n.viewAge, Rank: n.ranks.cached(n.clock, n.senderRank), CheckHealth: n.startHealthCheck, ReportFailure: n.reports.add, ReportStart: n.reportStart}
	n.reports.node = n
}

// reportStart logs and counts what this host did with a server in the first seconds after a start or
// a recovery.
func (n *Node) reportStart(server pool.Server, start pace.Start) {
	outcome := "started"
	if start.Recovered {
		outcome = "recovered"
	}
	n.Meter.Count("server_starts_total", "service", server.Service, "outcome", outcome)
	for _, sends := range start.Sends {
		for range sends {
			n.Meter.Count("server_start_sends_total", "service", server.Service, "outcome", outcome)
		}
	}
	n.Log.Emit(event.ServerStartObserved, "server", server.Name, "service", server.Service, "outcome", outcome,
		"runs", start.Sends, "refusals", start.Refusals, "fails", start.Failures)
}

// startHealthCheck checks the health of a server in the background and reports the result to
// the pool.
func (n *Node) startHealthCheck(server pool.Server, started time.Time) {
	go func() {
		ctx, cancel := context.WithTimeout(n.ending, healthCheckTimeout)
		defer cancel()
		err := n.Platform.CheckHealth(ctx, server, n.healthPath(server.Service))
		n.Pool.RecordHealth(server, started, err == nil)
	}()
}

// rankTTL is how long a rank is cached. Computing one takes about 0.1 ms at a large site, and
// each selection needs the rank for every server that is cold or has just started.
const rankTTL = 300 * time.Millisecond

// maxRanks is the number of cached ranks at which all are dropped.
const maxRanks = 4096

// rankCache caches ranks by start of a server. The zero value is ready to use.
type rankCache struct {
	mu    sync.Mutex
	ranks map[string]cachedRank
}

// cachedRank is a rank and the time by clock at which it was computed.
type cachedRank struct {
	rank int
	at   time.Duration
}

// rankKey returns the key of a start of a server, by which hosts are ranked.
func rankKey(s pool.Server) string { return s.Name + "\x00" + strconv.FormatInt(s.Boot, 10) }

// cached returns a function that returns the result of compute, at most rankTTL old.
func (c *rankCache) cached(clock func() time.Duration, compute func(pool.Server) int) func(pool.Server) int {
	return func(s pool.Server) int {
		key, now := rankKey(s), clock()
		c.mu.Lock()
		defer c.mu.Unlock()
		if known, ok := c.ranks[key]; ok && now-known.at < rankTTL {
			return known.rank
		}
		if c.ranks == nil || len(c.ranks) >= maxRanks {
			c.ranks = map[string]cachedRank{}
		}
		rank := compute(s)
		c.ranks[key] = cachedRank{rank, now}
		return rank
	}
}

// otherSenders returns the other possible senders to the servers of a service.
func (n *Node) otherSenders(service string) []string {
	if !n.isEngineService(service) {
		return n.otherHosts()
	}
	return slices.DeleteFunc(n.Batches.Owners(service), func(host string) bool { return host == n.Settings.Host })
}

// recordView records that a followed prefix was current at a time by clock.
func (n *Node) recordView(asOf time.Duration) {
	for {
		known := n.viewKnown.Load()
		if int64(asOf) <= known || n.viewKnown.CompareAndSwap(known, int64(asOf)) {
			return
		}
	}
}

// viewAge returns the time since any followed prefix was last known to be current.
func (n *Node) viewAge() time.Duration { return n.clock() - time.Duration(n.viewKnown.Load()) }

// senderRank returns the position of this host among the possible senders to a start of a
// server, notSender if it is none of them. The possible senders to an engine are the owners
// of open batches of its service, those to another server are all hosts.
func (n *Node) senderRank(server pool.Server) int {
	key := rankKey(server)
	if !n.isEngineService(server.Service) {
		return n.Directory.Rank(key)
	}
	if rank, ok := n.Directory.RankAmong(key, n.Batches.Owners(server.Service)); ok {
		return rank
	}
	return notSender
}

// isEngineService reports whether the servers of a service are engines.
func (n *Node) isEngineService(name string) bool {
	if p := n.Policy(); p != nil {
		for _, s := range p.Services {
			if s.Name == name {
				return len(s.Models) > 0
			}
		}
	}
	return false
}

// applyWarmUps passes the limits on cold servers to the pool. An invalid limit is ignored.
func (n *Node) applyWarmUps(p *policy.Policy) {
	rules := map[string]warmup.Rules{}
	for _, s := range p.Services {
		if err := checkWarmUp(s); err != nil {
			n.Log.Emit(event.WarmUpIgnored, "service", s.Name, "version", p.Version, "err", err.Error())
			continue
		}
		if s.WarmUpRate > 0 {
			rules[s.Name] = warmup.Rules{
				Rate: s.WarmUpRate, Time: s.WarmUpTime,
				Overage: n.Settings.WarmUpOverage, Slack: n.Settings.WarmUpSlack,
			}
		}
	}
	n.Pool.SetWarmUps(rules)
}

// checkWarmUp validates the warm-up of a service.
func checkWarmUp(s policy.Service) error {
	switch {
	case s.WarmUpRate < 0:
		return errors.New("negative rate of a cold server")
	case s.WarmUpTime < 0 || s.WarmUpTime > warmup.MaxLeft:
		return errors.New("time of a warm-up out of range")
	}
	return nil
}

// SetServerWarmUp records the warm-up left that a backend server named in a response.
func (n *Node) SetServerWarmUp(server pool.Server, left time.Duration) {
	if n.Pool.SetWarmUpLeft(server, left) {
		n.Log.Emit(event.ServerCold, "server", server.Name, "service", server.Service, "boot", server.Boot, "ms", left.Milliseconds())
	}
}
