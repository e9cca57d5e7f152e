// Package node assembles a host that runs on an operator's platform: request handling,
// batches, weights roll-outs, usage reports and configuration. The functions and interfaces
// of Platform connect it to the platform.
package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/backend/silence"
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

// Settings holds the settings of one host. Host and Zone are its name and availability
// zone. Listen, Ready and Internal are the addresses to listen at for callers, for the
// readiness check and for other hosts.
type Settings struct {
	Host string
	Zone string
	// Region is the region of this host, and Zones holds the region of each zone. Without
	// Zones, all zones are in Region.
	Region   string
	Zones    map[string]string
	Listen   string
	Ready    string
	Internal string
	// RevocationLimit is the time within which a withdrawn key must stop working on a host
	// that gets no updates of the configuration. Zero means no limit.
	RevocationLimit time.Duration
	// ContendDelay is the time for which a host that just started or lost a duty must not
	// contend for it, so that two hosts don't take turns as its holder.
	ContendDelay time.Duration
	// UsageWindow is the length of a usage window.
	UsageWindow time.Duration
	// Metrics is the address at which metrics are served. They can't be turned off: with an
	// empty address they are served at a random port.
	Metrics string
	// ShutdownGrace is the maximum duration of a planned stop.
	ShutdownGrace time.Duration
	// WarmUpOverage and WarmUpSlack extend the requests per second that a cold server can
	// take: it may get WarmUpOverage times as many and WarmUpSlack more.
	WarmUpOverage, WarmUpSlack float64
	// EvacuationLimit is the time from which on no request may get to a zone after its
	// evacuation was ordered. Zero means that the platform orders none.
	EvacuationLimit time.Duration
	// BatchRetention is how long after its submission an ended batch can be read. Its objects are
	// removed from the store some time later. Zero means that they are kept.
	BatchRetention time.Duration
	// Bootstrap says that the whole site is starting for the first time. The host then
	// waits for a moment before it reads the list of hosts.
	Bootstrap bool
	// ToleratedZones is the number of availability zones whose loss the site has to tolerate.
	// From 1 on, batches survive the loss of their owner's zone (see batch.Batches), and zones
	// that go silent are detected (see package silence).
	ToleratedZones int
	// MemoryBytes is the memory of the host's machine, and MaxFiles the number of file
	// descriptors that it may have open. Zero means no limit.
	MemoryBytes int64
	MaxFiles    int
}

// StoreKeys holds the keys and key prefixes of the entries in the platform's store that hosts
// read but others create.
type StoreKeys struct {
	Policy      string // key of the object that holds the configuration
	PolicyKind  string // prefix of Policy
	Servers     string // prefix of the entries of backend servers
	Releases    string // prefix of the released weights versions
	Retirements string // prefix of the hosts with a disk that are to be emptied
	Evacuations string // prefix of the zones to which no request may be sent
}

// Platform holds the parts of the platform that a host uses: its store, decoders of the
// entries in it, and clients of backend servers and of the usage report.
type Platform struct {
	Store object.Store // not used by this package: all calls go through Watcher
	// Watcher returns the store with watches that wait for at most the given time.
	Watcher func(wait time.Duration) object.Store
	Keys    StoreKeys
	// DecodePolicy, DecodeServer and DecodeRelease decode the values of entries. They
	// return an error for an invalid one.
	DecodePolicy  func(value []byte) (*policy.Policy, error)
	DecodeServer  func(name string, value []byte) (pool.Server, error)
	DecodeRelease func(value []byte) (model string, version uint64, err error)
	Sender        forward.Sender // sends plain requests to backend servers
	// CheckHealth sends a health check to a server over a new connection. It returns nil
	// once the server answers, with any status.
	CheckHealth func(ctx context.Context, server pool.Server, path string) error
	Engine      batch.Engine    // generates texts on engines
	Engines     release.Engines // orders engines to load weights
	// ReportUsage reports the request counts of a usage window by workspace. The grant
	// proves that this host holds ControlDuty.
	ReportUsage func(ctx context.Context, window int64, counts tally.Counts, grant lease.Grant) error
	// Pages reads the store page by page; nil if old batches are kept.
	Pages batch.Pages
	// CompleteRetirement records in the store that a host with a disk has been emptied.
	CompleteRetirement func(ctx context.Context, entry object.Object) error
}

// ControlDuty is the name of the duty whose holder reports usage and orders backend servers
// to load weights.
const ControlDuty = "control"

// Intervals and limits of a host.
const (
	// policyWatchWait is how long a watch of the configuration waits. Each time it ends it
	// confirms that there is no newer version, so it bounds the age of the last update.
	policyWatchWait = 1500 * time.Millisecond
	// directWatchWait is how long the other watches of a host without followers wait, and
	// the watches that only the holder of the duty makes; each call is billed.
	directWatchWait = 20 * time.Second
	// minWatchInterval is the minimum time between two calls of a watch of servers, batches
	// or hosts: a roll-out of weights changes several entries per second.
	minWatchInterval = 250 * time.Millisecond
	// followerWatchWait is how long a watch at the host that this one follows waits. It adds
	// to the age of the last update.
	followerWatchWait = 500 * time.Millisecond
	// serversWatcherWait, batchesWatcherWait and hostsWatcherWait are how long the watches
	// of a host with followers wait. The followers take each response as proof that this
	// host still reaches the store. A leaving server must get no new work
	// after 2 s, and an ended batch none after 3 s; the list of hosts seldom changes.
	serversWatcherWait = 600 * time.Millisecond
	batchesWatcherWait = 1500 * time.Millisecond
	hostsWatcherWait   = 10 * time.Second
	// hostListTimeout is how long the other watches of a starting host wait for the list of
	// hosts, which determines the hosts that it follows. Without the list they read the
	// store directly.
	hostListTimeout = 500 * time.Millisecond
	// startReadTimeout bounds the first read of a starting host, which a slow store answers
	// in a quarter of a second.
	startReadTimeout = 400 * time.Millisecond
	// bootstrapDelay lets all hosts of a new site write their own objects before any host
	// reads them; the hosts start within 300 ms.
	bootstrapDelay = 500 * time.Millisecond
	// mirrorSilenceMargin is added to the wait of a watcher's watches: without a response
	// for that long, it is no longer a source for its followers.
	mirrorSilenceMargin = 400 * time.Millisecond
	// peerDialTimeout bounds opening a connection to another host, a millisecond away.
	peerDialTimeout = 400 * time.Millisecond
	// revocationMargin is subtracted from Settings.RevocationLimit, for the time from the
	// sending of a request to the check of its key.
	revocationMargin = 300 * time.Millisecond
	// failureLogInterval is the minimum time between two log lines about failures of one
	// watch, which is retried several times a second during an outage of the store.
	failureLogInterval = time.Second
	// outageLogDelay is how long all calls to the store must fail before an outage is
	// logged: single calls fail in normal operation.
	outageLogDelay = 800 * time.Millisecond
	// maxReadyAge is the age of the last update at which a host stops being ready for
	// callers. It is above the age reached between two watches.
	maxReadyAge = 3800 * time.Millisecond
	// maxReachableAge is the age of the last update at which a host counts as cut off from
	// the store and no longer runs batches for others.
	maxReachableAge = 4500 * time.Millisecond
	// isolationDelay is the time without an answer of another host after which this host
	// counts as isolated. While it can't reach the store it calls others several times a
	// second.
	isolationDelay = 1200 * time.Millisecond
	// drainDelay is how long a stopping host still accepts callers, until the load balancer
	// has noticed: it checks readiness every second and needs two failed checks.
	drainDelay = 3500 * time.Millisecond
	// admitAllPeriod is how long a stopping host takes every request. A load balancer that
	// checks readiness every second may send it new callers for that long.
	admitAllPeriod = 3 * time.Second
	// maxShutdownMargin and shutdownMarginShare, as a part of Settings.ShutdownGrace, bound
	// the time that is left for the last responses and the exit of the process.
	maxShutdownMargin   = 700 * time.Millisecond
	shutdownMarginShare = 1.0 / 8
	// lastResponsesShare is the part of that time for the responses to requests in flight.
	lastResponsesShare = 0.5
	// retryAfterStopping is the RetryAfter of a request that a stopping host refuses: any
	// other host takes it at once.
	retryAfterStopping = 50 * time.Millisecond
)

// leaseConfig has a short term: without a holder, orders and reports wait for a successor,
// and engines without new weights wait for the next step. A renewal takes a quarter of a
// second while the store is slow.
var leaseConfig = lease.Config{
	Term: 1700 * time.Millisecond, Margin: 250 * time.Millisecond, OrderTimeout: 700 * time.Millisecond,
	Renew: 500 * time.Millisecond, Poll: 400 * time.Millisecond,
	SingleProcess: true, // the platform starts a host's next process only after the previous one has ended
}

const (
	// maxContenders is the number of hosts that contend for the duty.
	maxContenders = 3
	// holderProbeInterval is the interval at which a contender asks the others whether they
	// hold the duty. It reads the store only while none does, since each call is billed.
	holderProbeInterval = 300 * time.Millisecond
	// holderTimeout is how long no other host must have claimed to hold the duty before
	// this one contends.
	holderTimeout = 700 * time.Millisecond
)

// Node is a host. Create it with New. Incarnation identifies the process: it is the wall-clock
// time of New in nanoseconds, and so larger than that of every earlier process of the same
// host, unless the clock was set back.
type Node struct {
	Settings    Settings
	Platform    Platform
	Log         event.Log
	Incarnation uint64

	Gate      gate.Gate          // checks API keys
	Pool      *pool.Pool         // backend servers
	Forwarder *forward.Forwarder // forwards plain requests
	Batches   *batch.Batches
	Tally     *tally.Tally    // usage counts
	Directory *peer.Directory // known hosts
	Meter     *meter.Meter    // metrics
	Intake    Intake          // what callers may take of this host

	store             object.Store
	zones             *silence.Watch      // nil unless Settings.ToleratedZones is above 0
	crashes           poison.CrashCounter // crashes of servers, by request
	healthChecks      singleflight.Group  // of servers, by name and boot
	health            peer.StoreHealth
	outage            object.OutageDetector
	mirrors           map[string]*peer.Mirror // mirrors of store prefixes, by prefix
	holder            *lease.Holder
	reporter          *tally.Reporter
	coordinator       *release.Coordinator
	policy            atomic.Pointer[policy.Policy]
	ranks             rankCache
	regionsBind       atomic.Bool  // the configuration names regions
	viewKnown         atomic.Int64 // time by clock at which a followed prefix was last known to be current
	policyKnown       atomic.Int64 // time by clock at which the configuration was last known to be current
	draining          atomic.Bool
	drainingSince     atomic.Int64    // time by clock at which a planned stop began
	ending            context.Context // ends when requests in flight get their final response
	end               context.CancelFunc
	policyStale       atomic.Bool   // as last logged by watchStaleness
	startedAt         time.Duration // time by clock of New
	dutyLost          atomic.Int64  // time by clock of the start or of the last loss of the duty
	otherHeld         atomic.Int64  // time by clock at which another host last claimed to hold the duty
	otherZoneAnswered atomic.Int64  // time by clock at which the store or another zone was last heard of
	timeSource        lease.Clock
	wallClock         tally.Clock
	resumesDuty       atomic.Bool     // an earlier process of this host held the duty last and has not released it
	policyUnreadable  bool            // the newest configuration is invalid; used by its follower only
	retiredHosts      map[string]bool // retirements that have been completed; used by their follower only
	evacuated         map[string]bool // evacuated zones; used by their follower only
	hostsListed       chan struct{}   // closed once the list of hosts is known
	hostsListedOnce   sync.Once       // closes hostsListed
	reports           failureReports
	done              chan struct{}
}

// clock returns the time since boot. It includes time in suspend, which the age of updates
// and the validity of leases depend on.
func (n *Node) clock() time.Duration { return n.timeSource.Now() }

// New assembles a host. Run starts it.
func New(settings Settings, platform Platform, log event.Log) *Node {
	if settings.Region == "" {
		settings.Region = settings.Zones[settings.Zone]
	}
	n := &Node{Settings: settings, Platform: platform, Log: log, Incarnation: uint64(time.Now().UnixNano()), timeSource: lease.BootClock{}, hostsListed: make(chan struct{}), done: make(chan struct{}), retiredHosts: map[string]bool{}, evacuated: map[string]bool{}}
	n.startedAt = n.clock()
	n.otherZoneAnswered.Store(int64(n.startedAt))
	n.ending, n.end = context.WithCancel(context.Background()) //nolint:gosec // shutDown calls it
	n.outage.LossTimeout = outageLogDelay
	n.Meter = meter.New()
	n.Pool = &pool.Pool{Zone: settings.Zone, RegionOf: n.regionOf}
	n.Tally = &tally.Tally{WindowLength: settings.UsageWindow}
	n.Directory = &peer.Directory{Self: peer.Host{
		Name: settings.Host, Zone: settings.Zone, Address: settings.Internal, Incarnation: n.Incarnation,
	}, HTTP: rest.ClientConfig{DialTimeout: peerDialTimeout}.Client()}
	n.Directory.MayRelay = n.mayRelay
	n.Log = log.Tap(func(e event.Entry) { n.Meter.Count("events_total", "event", e.Number.String()) })
	n.health.Log, n.health.WatchesStore = n.Log, n.Directory.WatchesStore
	n.store = n.relayedStore(object.WatchWait)
	n.mirrors = map[string]*peer.Mirror{}
	for prefix, wait := range map[string]time.Duration{
		platform.Keys.PolicyKind: policyWatchWait, platform.Keys.Servers: serversWatcherWait,
		peer.KeyPrefix: hostsWatcherWait, batch.RecordPrefix: batchesWatcherWait,
	} {
		n.mirrors[prefix] = &peer.Mirror{Now: n.clock, MaxUpdateAge: wait + mirrorSilenceMargin}
	}
	if settings.EvacuationLimit > 0 {
		n.mirrors[platform.Keys.Evacuations] = &peer.Mirror{Now: n.clock, MaxUpdateAge: evacuationsWatchWait + mirrorSilenceMargin}
		n.Pool.AwaitEvacuations()
	}
	n.crashes.IsRunning = n.isRunning
	n.Forwarder = &forward.Forwarder{
		Pool: n.Pool, Sender: platform.Sender, Suspects: suspects{n}, Log: n.Log, Meter: n.Meter,
		OnRun:  func(workspace string) { n.Tally.Count(n.wallClock.Now(), workspace) },
		Ending: n.ending.Done(),
	}
	n.Batches = &batch.Batches{
		Host: settings.Host, Incarnation: n.Incarnation, Store: n.store, Peers: peers{n.Directory},
		Pool: n.Pool, Engine: platform.Engine, ScorerClient: scorerClient{n},
		StoreReachable: func() bool { return n.policyAge() < maxReachableAge }, RetryAfter: n.outageRetryAfter,
		Region: settings.Region, HostsOutside: n.hostsOutside,
		Retention: settings.BatchRetention, Pages: platform.Pages,
		Log: n.Log, Meter: n.Meter, ToleratedZones: settings.ToleratedZones,
	}
	n.followZones()
	n.connectPool()
	n.newIntake()
	n.registerGauges()
	n.newDutyWorkers()
	return n
}

// newDutyWorkers creates the holder of the duty and the workers that act only while this
// host holds it.
func (n *Node) newDutyWorkers() {
	n.holder = &lease.Holder{
		Host: n.Settings.Host, Incarnation: n.Incarnation, Store: n.store, Clock: lease.BootClock{},
		Config: leaseConfig, Duties: []string{ControlDuty}, Contend: n.mayContend, Log: n.Log,
	}
	n.reporter = &tally.Reporter{
		Tally: n.Tally, Store: n.store, Holder: n.holder, Duty: ControlDuty,
		Hosts: n.otherHosts, FetchCounts: n.fetchCounts, Report: n.Platform.ReportUsage, Clock: &n.wallClock, Log: n.Log,
	}
	n.coordinator = &release.Coordinator{
		Pool: n.Pool, Policy: n.Policy, Engines: observedEngines{n.Platform.Engines, n.Pool}, Holder: n.holder, Duty: ControlDuty, Demand: n.Batches.Demand, Log: n.Log,
	}
}
