// Package node assembles a host that runs on an operator's platform: entry,
// batches, weights, usage and configuration, joined to the outside by the
// functions and interfaces of Outside.
package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/billing/tally"
	"github.com/hyssopwall/hyssopwall/internal/entry/forward"
	"github.com/hyssopwall/hyssopwall/internal/entry/gate"
	"github.com/hyssopwall/hyssopwall/internal/entry/poison"
	"github.com/hyssopwall/hyssopwall/internal/fleet/lease"
	"github.com/hyssopwall/hyssopwall/internal/fleet/peer"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
	"github.com/hyssopwall/hyssopwall/internal/rollout/batch"
	"github.com/hyssopwall/hyssopwall/internal/rollout/release"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/site/meter"
	"github.com/hyssopwall/hyssopwall/internal/site/policy"
)

// Settings are those of one host. Listen and Ready are the addresses for
// callers and for the readiness check, Internal the one for other hosts.
type Settings struct {
	Host     string
	Zone     string
	Listen   string
	Ready    string
	Internal string
	// RevocationLimit is the time within which a withdrawn key must stop working on a
	// host without news, zero for no bound.
	RevocationLimit time.Duration
	// ContendDelay is the time within which two hosts must not take turns as holders of
	// a duty.
	ContendDelay time.Duration
	// UsageWindow is the length of a usage window.
	UsageWindow time.Duration
	// Metrics is the address at which counters are shown.
	Metrics string
	// ShutdownGrace is the time that a planned stop may take.
	ShutdownGrace time.Duration
	// Bootstrap says that the whole site starts for the first time.
	Bootstrap bool
}

// StoreKeys names what others write to the platform's store.
type StoreKeys struct {
	Policy      string // the one object that holds the configuration
	PolicyKind  string
	Servers     string
	Releases    string
	Retirements string
}

// Platform is the platform as a host meets it.
type Platform struct {
	Store object.Store
	// Watcher returns a reader whose watches wait up to a time.
	Watcher       func(wait time.Duration) object.Store
	Keys          StoreKeys
	DecodePolicy  func(value []byte) (*policy.Policy, error)
	DecodeServer  func(name string, value []byte) (pool.Server, error)
	DecodeRelease func(value []byte) (model string, version uint64, err error)
	Sender        forward.Sender
	Engine        batch.Engine
	Engines       release.Engines
	ReportUsage   func(ctx context.Context, window int64, counts tally.Counts, grant lease.Grant) error
	// CompleteRetirement says in the store that a host with a disk has been emptied.
	CompleteRetirement func(ctx context.Context, entry object.Object) error
}

// ControlDuty is the name of the lease under which a host reports usage and orders
// weights.
const ControlDuty = "control"

// Times of a host.
const (
	// policyWait is how long a watch of the configuration waits: each end proves
	// that there is no newer one, so it bounds the age of that proof.
	policyWait = 1500 * time.Millisecond
	// listWait is how long other watches wait; each call is billed.
	listWait = 20 * time.Second
	// listPace is the least time between two calls of such a watch: a roll-out of
	// weights changes several entries in each second.
	listPace = 250 * time.Millisecond
	// followWait is how long calls to a watcher of the zone wait; it adds to the
	// age of the news.
	followWait = 500 * time.Millisecond
	// serversWait, batchesWait and hostsWait are how long the watches of a watcher
	// wait: its followers take an answer as proof that it still hears the store. A
	// leaving server gets no new work after 2 s, an ended batch after 3 s; hosts
	// change seldom.
	serversWait = 600 * time.Millisecond
	batchesWait = 1500 * time.Millisecond
	hostsWait   = 10 * time.Second
	// placeWait is how long a host that starts waits for the list of hosts, which
	// says whom it follows, before it reads the store by itself.
	placeWait = 500 * time.Millisecond
	// firstWait lets the hosts of a new site write their objects before each
	// reads them; they start within 300 ms.
	firstWait = 500 * time.Millisecond
	// silenceMargin is the time beyond its wait after which a watcher that had no
	// answer is no source for others.
	silenceMargin = 400 * time.Millisecond
	// peerDial bounds a new connection to another host, a millisecond away.
	peerDial = 400 * time.Millisecond
	// revokeMargin is kept of the bound for withdrawn keys, for the time from a
	// caller's sending to the check.
	revokeMargin = 300 * time.Millisecond
	// failuresEvery is the least time between two lines about failures of one watch,
	// which is made again several times a second while the store is away.
	failuresEvery = time.Second
	// lostAfter is how long the store has to answer no call before that is logged:
	// single calls fail on ordinary days.
	lostAfter = 800 * time.Millisecond
	// readyAge is the age of the news at which a host asks for no more callers.
	// It is above the age that a host reaches between two watches.
	readyAge = 3800 * time.Millisecond
	// reachAge is the age of the news at which a host is too far from the store
	// to run batches for others.
	reachAge = 4500 * time.Millisecond
	// leaveEntry is how long a stopping host takes callers until the balancer has
	// noticed: it asks each second and wants two misses.
	leaveEntry = 3500 * time.Millisecond
	// leaveMargin is kept of the grace for the end of the process.
	leaveMargin = 700 * time.Millisecond
)

// The lease is short, since orders and reports wait for a successor, and engines
// without new weights for the next step. A renewal takes a quarter of a second
// while the store is slow.
var leaseTimes = lease.Config{
	Term: 1700 * time.Millisecond, Margin: 250 * time.Millisecond, OrderTimeout: 700 * time.Millisecond,
	Renew: 500 * time.Millisecond, Poll: 400 * time.Millisecond,
	SingleProcess: true, // the platform starts a host's next process after the end of the one before
}

const (
	// contenders is the number of hosts that contend for a duty.
	contenders = 3
	// holderTurn is the pace of asking whether another host holds the duty. The
	// store is read only while none says so, since it bills each call.
	holderTurn = 300 * time.Millisecond
	// holderSilence is how long no host has said so before this one contends.
	holderSilence = 700 * time.Millisecond
)

// Node is a host. Create it with New.
type Node struct {
	Settings    Settings
	Platform    Platform
	Log         event.Log
	Incarnation uint64

	Gate      gate.Gate
	Pool      *pool.Pool
	Forwarder *forward.Forwarder
	Batches   *batch.Batches
	Tally     *tally.Tally
	Directory *peer.Directory
	Meter     *meter.Meter

	store    object.Store
	breaks   poison.CrashCounter // sends that servers broke off
	health   peer.StoreHealth
	outage   object.OutageDetector
	mirrors  map[string]*peer.Mirror // by prefix
	holder   *lease.Holder
	reporter *tally.Reporter
	roller   *release.Coordinator
	policy   atomic.Pointer[policy.Policy]
	news     atomic.Int64 // instant up to which the configuration is known, by clock
	leaving  atomic.Bool
	stale    atomic.Bool
	lost     atomic.Int64 // instant by clock at which the duty was last lost
	held     atomic.Int64 // instant by clock at which another host said that it holds the duty
	time     lease.Clock
	day      tally.Clock
	resumes  atomic.Bool     // the duty's last holder is an earlier process of this host
	unread   bool            // the newest configuration can't be read; owned by its follower
	retired  map[string]bool // entries answered; owned by their follower
	placed   chan struct{}   // closed once the list of hosts is known
	place    sync.Once       // closes placed
	done     chan struct{}
}

// clock is the host's time; it counts suspend, as bounds on news and leases need.
func (n *Node) clock() time.Duration { return n.time.Now() }

// New assembles a host.
func New(settings Settings, outside Platform, log event.Log) *Node {
	n := &Node{Settings: settings, Platform: outside, Log: log, Incarnation: uint64(time.Now().UnixNano()), time: lease.BootClock{}, placed: make(chan struct{}), done: make(chan struct{}), retired: map[string]bool{}}
	n.outage.LossTimeout = lostAfter
	n.Meter = meter.New()
	n.Pool = &pool.Pool{Zone: settings.Zone}
	n.Tally = &tally.Tally{WindowLength: settings.UsageWindow}
	n.Directory = &peer.Directory{Self: peer.Host{
		Name: settings.Host, Zone: settings.Zone, Address: settings.Internal, Incarnation: n.Incarnation,
	}, HTTP: rest.ClientConfig{DialTimeout: peerDial}.Client()}
	n.Log = log.Tap(func(e event.Entry) { n.Meter.Count("events_total", "event", e.Number.String()) })
	n.health.Log, n.health.WatchesStore = n.Log, n.Directory.WatchesStore
	n.store = n.reach(object.WatchWait)
	n.mirrors = map[string]*peer.Mirror{}
	for prefix, wait := range map[string]time.Duration{
		outside.Keys.PolicyKind: policyWait, outside.Keys.Servers: serversWait,
		peer.KeyPrefix: hostsWait, batch.RecordPrefix: batchesWait,
	} {
		n.mirrors[prefix] = &peer.Mirror{Now: n.clock, MaxUpdateAge: wait + silenceMargin}
	}
	n.breaks.IsRunning = func(s poison.Server) bool { return n.Pool.IsListed(s.Name, s.Boot) }
	n.Forwarder = &forward.Forwarder{
		Pool: n.Pool, Sender: outside.Sender, Suspects: suspects{n}, Log: n.Log, Meter: n.Meter,
		OnRun: func(workspace string) { n.Tally.Count(n.day.Now(), workspace) },
	}
	n.Batches = &batch.Batches{
		Host: settings.Host, Incarnation: n.Incarnation, Store: n.store, Peers: peers{n.Directory},
		Pool: n.Pool, Engine: outside.Engine, ScorerClient: scores{n},
		StoreReachable: func() bool { return n.age() < reachAge }, Log: n.Log, Meter: n.Meter,
	}
	n.gauges()
	n.duties()
	return n
}

// gauges shows what operators look at first.
func (n *Node) gauges() {
	n.Meter.Gauge("news_age_seconds", func() float64 { return n.age().Seconds() })
	n.Meter.Gauge("batches_open", func() float64 { return float64(n.Batches.RunningCount()) })
	n.Meter.Gauge("ready", func() float64 { return truth(n.Ready()) })
	n.Meter.Gauge("store_direct", func() float64 { return truth(!n.health.Down()) })
	n.Meter.Gauge("duty_held", func() float64 {
		_, held := n.holder.Held(ControlDuty)
		return truth(held)
	})
	n.Meter.Gauge("configuration_version", func() float64 {
		if p := n.Policy(); p != nil {
			return float64(p.Version)
		}
		return 0
	})
}

func truth(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (n *Node) duties() {
	n.holder = &lease.Holder{
		Host: n.Settings.Host, Incarnation: n.Incarnation, Store: n.store, Clock: lease.BootClock{},
		Config: leaseTimes, Duties: []string{ControlDuty}, Contend: n.contends, Log: n.Log,
	}
	n.reporter = &tally.Reporter{
		Tally: n.Tally, Store: n.store, Holder: n.holder, Duty: ControlDuty,
		Hosts: n.others, FetchCounts: n.askCounts, Report: n.Platform.ReportUsage, Clock: &n.day, Log: n.Log,
	}
	n.roller = &release.Coordinator{
		Pool: n.Pool, Policy: n.Policy, Engines: n.Platform.Engines, Holder: n.holder, Duty: ControlDuty, Demand: n.Batches.Demand, Log: n.Log,
	}
}

// contends says whether this host may take the duty. One that just started or
// lost it waits, so that two hosts don't take turns, unless nobody has held the
// duty since an earlier process of this host.
func (n *Node) contends(string) bool {
	now := n.clock()
	settled := n.resumes.Load() || now-time.Duration(n.lost.Load()) > n.Settings.ContendDelay
	vacant := now-time.Duration(n.held.Load()) > holderSilence
	return settled && vacant && n.Directory.Rank(ControlDuty) < contenders && n.Ready()
}

// Policy returns the configuration in force, nil before the first.
func (n *Node) Policy() *policy.Policy { return n.policy.Load() }

// age returns how old the latest proof of the configuration is.
func (n *Node) age() time.Duration { return n.clock() - time.Duration(n.news.Load()) }

// Ready says whether the host should get callers.
func (n *Node) Ready() bool {
	return !n.leaving.Load() && n.Policy() != nil && n.Pool.HasList() && n.age() < readyAge
}

// Draining says whether a planned stop has begun.
func (n *Node) Draining() bool { return n.leaving.Load() }

// Run serves until the context ends, and then stops gracefully.
func (n *Node) Run(ctx context.Context, entry http.Handler) error {
	defer close(n.done)
	n.lost.Store(int64(n.clock()))
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group sync.WaitGroup
	for _, part := range n.parts(working) {
		group.Go(part)
	}
	front := n.serve(listeners, entry)
	n.Log.Emit(event.HostStarted, "zone", n.Settings.Zone, "listen", n.Settings.Listen,
		"internal", n.Settings.Internal, "incarnation", n.Incarnation)
	<-ctx.Done()
	n.leave(working, front)
	stop()
	group.Wait()
	n.Log.Emit(event.HostStopped)
	return nil
}

// Done returns a channel that is closed when Run has returned.
func (n *Node) Done() <-chan struct{} { return n.done }

// parts returns the loops of the host, each to run in a goroutine of its own.
func (n *Node) parts(ctx context.Context) []func() {
	keys := n.Platform.Keys
	follow := func(watch watch, prefix string, handle func(object.Change)) func() {
		return func() {
			n.awaitPlace(ctx)
			n.mirrored(watch, prefix, handle).Run(ctx)
		}
	}
	return []func(){
		func() { n.followHosts(ctx) },
		follow(watch{own: policyWait, brief: policyWait}, keys.PolicyKind, n.learnPolicy),
		follow(watch{own: listWait, brief: serversWait, pace: listPace}, keys.Servers, n.learnServers),
		follow(watch{own: listWait, brief: batchesWait, pace: listPace}, batch.RecordPrefix, n.Batches.ApplyChange),
		func() { n.Directory.Register(ctx, n.store) },
		func() { n.Batches.Run(ctx) },
		func() { n.holder.Run(ctx) },
		func() { n.reporter.Run(ctx) },
		func() { n.roller.Run(ctx) },
		func() { n.watchDuty(ctx) },
		func() { every(ctx, holderTurn, func() { n.askHolder(ctx) }) },
		func() { n.followHeld(ctx, keys.Releases, n.learnReleases) },
		func() { n.followHeld(ctx, keys.Retirements, n.learnRetirements(ctx)) },
		func() { n.watchNews(ctx) },
		func() { n.learnSuspects(ctx) },
	}
}

// followHosts keeps up with the list of hosts.
func (n *Node) followHosts(ctx context.Context) {
	if n.Settings.Bootstrap {
		pause(ctx, firstWait)
	}
	n.mirrored(watch{own: listWait, brief: hostsWait, pace: listPace}, peer.KeyPrefix, n.learnHosts).Run(ctx)
}

// awaitPlace waits until the list of hosts is known.
func (n *Node) awaitPlace(ctx context.Context) {
	wait := placeWait
	if n.Settings.Bootstrap {
		wait += firstWait
	}
	select {
	case <-ctx.Done():
	case <-n.placed:
	case <-time.After(wait):
	}
}

func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// follower returns a follower whose calls are counted by what it follows.
func (n *Node) follower(wait time.Duration, prefix string, handle func(object.Change)) object.Follower {
	return object.Follower{Reader: n.reach(wait), Prefix: prefix, Now: n.clock, Handle: handle, RetrySignal: n.health.Restored}
}

// mirrored returns a follower of what all hosts follow: from a watcher of the
// zone, or from the store for the others to follow.
func (n *Node) mirrored(watch watch, prefix string, handle func(object.Change)) object.Follower {
	mirror := n.mirrors[prefix]
	var said time.Duration // when a failure was logged last
	source := &peer.Source{Direct: n.reach(watch.own), ShortWait: n.reach(watch.brief), Directory: n.Directory, Wait: followWait}
	return object.Follower{
		Reader: source, Prefix: prefix, Now: n.clock, MinCallInterval: watch.pace, RetrySignal: n.health.Restored,
		OnFailure: func(err error, took time.Duration) {
			mirror.MarkUnreachable()
			if now := n.clock(); now-said >= failuresEvery {
				said = now
				n.Log.Emit(event.WatchFailed, "entry", prefix, "ms", took.Milliseconds(), "age", n.age().String(), "err", err.Error())
			}
		},
		Handle: func(change object.Change) {
			handle(change)
			mirror.ApplyChange(change, source.Level())
		},
	}
}

// watch is how a prefix is watched: for how long at most by a host for itself
// and by a watcher for others, and how often.
type watch struct {
	own, brief, pace time.Duration
}

// reach returns the store, directly or through a peer, with a wait of its
// watches. Calls are counted where they reach the store.
func (n *Node) reach(wait time.Duration) object.Store {
	return &peer.Relay{Direct: n.direct(wait), Directory: n.Directory, Wait: wait, Health: &n.health}
}

func (n *Node) direct(wait time.Duration) object.Store {
	return &object.Monitor{Store: n.Platform.Watcher(wait), Log: n.Log, Vars: n.Meter, Outage: &n.outage}
}

type listeners struct {
	front, ready, internal, metrics net.Listener
}

func (n *Node) listen() (listeners, error) {
	var (
		l   listeners
		err error
	)
	for _, one := range []struct {
		to      *net.Listener
		address string
	}{{&l.front, n.Settings.Listen}, {&l.ready, n.Settings.Ready}, {&l.internal, n.Settings.Internal}, {&l.metrics, n.Settings.Metrics}} {
		if *one.to, err = net.Listen("tcp", one.address); err != nil {
			return l, err
		}
	}
	return l, nil
}

// leave stops the host without cutting a request.
func (n *Node) leave(ctx context.Context, front *http.Server) {
	n.leaving.Store(true)
	n.Log.Emit(event.HostDraining)
	ctx, cancel := context.WithTimeout(ctx, n.Settings.ShutdownGrace-leaveMargin)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { n.Batches.Drain(ctx) })
	group.Go(func() { _ = n.holder.Release(ctx) }) // a holder that can't release is expelled
	select {
	case <-ctx.Done():
	case <-time.After(leaveEntry):
	}
	_ = front.Shutdown(ctx) // what is still open when the grace is over is cut
	group.Wait()
}
