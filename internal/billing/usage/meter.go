package usage

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// Limits and intervals of the meter.
const (
	// Copies is the number of other hosts that store each count.
	Copies = 2
	// CopyTimeout is the timeout of one Copy message.
	CopyTimeout = 250 * time.Millisecond
	// SuspectTTL is how long a host that did not answer is not used as a target.
	SuspectTTL = 5 * time.Second
	// RepairInterval is the time between two checks for counters that lack copies.
	RepairInterval = time.Second
	// QueueSize is the capacity of the queue from Add to Run. Add waits while it
	// is full.
	QueueSize = 4096
)

// Peers sends the messages of this package to other hosts and to this one: Copy
// to a host that keeps copies, Collect and Cover from the sealer to each host. Open
// is the current window by the sealer's clock.
type Peers interface {
	Copy(ctx context.Context, to view.Member, message Copy) error
	Collect(ctx context.Context, from view.Member, open Window) (Holdings, error)
	Cover(ctx context.Context, to view.Member, message Cover) error
}

// UnderReplicatedError is returned for a count that fewer than Copies other hosts
// store. It is counted on this host and copied once other hosts can be reached.
type UnderReplicatedError struct {
	Copies int // other hosts that store the count
}

func (e *UnderReplicatedError) Error() string {
	return fmt.Sprintf("usage count stored by %d of %d required other hosts", e.Copies, Copies)
}

// Meter counts the usage that this host serves and keeps copies of the counters
// of other hosts. Set the exported fields, then call Run; the other methods may
// be called at any time.
type Meter struct {
	Self  view.Member
	Peers Peers
	// Hosts returns the other hosts that may keep copies in order of preference.
	// The first two should share neither rack nor availability zone.
	Hosts func() []view.Member
	Alive view.Alive       // reports whether a process has not failed (rule 3)
	Now   func() time.Time // the wall clock
	Log   event.Log
	// UnderReplicated is the number of counts for which Add returned an
	// *UnderReplicatedError because too few hosts stored them.
	UnderReplicated atomic.Uint64
	// Messages is the number of Copy messages sent.
	Messages atomic.Uint64

	once            sync.Once
	queue           chan waiter
	done            chan struct{}
	mu              sync.Mutex
	counters        Counters
	maxWindow       Window                    // latest window to count in, zero when unknown
	suspect         map[view.Member]time.Time // hosts that did not answer, until when to skip them
	underReplicated bool                      // the last commit was stored by too few hosts
}

// waiter is a call of Add that waits for its count to be stored.
type waiter struct {
	result chan int // receives the number of other hosts that store the count
}

// initialize prepares the unexported fields on the first call of any method.
func (m *Meter) initialize() {
	m.once.Do(func() {
		m.queue = make(chan waiter, QueueSize)
		m.done = make(chan struct{})
		m.suspect = map[view.Member]time.Time{}
		m.counters.Self = m.Self
	})
}

// Add counts usage and returns when enough other hosts store it. After an error
// the usage is counted too: with an *UnderReplicatedError on fewer hosts, with
// the context's error on an unknown number of hosts. Once Run has returned, Add
// returns an *UnderReplicatedError, and nothing copies the count later.
func (m *Meter) Add(ctx context.Context, workspace string, amount Count) error {
	m.initialize()
	m.mu.Lock()
	m.counters.Add(workspace, m.window(), amount)
	m.mu.Unlock()
	w := waiter{result: make(chan int, 1)}
	select {
	case m.queue <- w:
	case <-ctx.Done():
		return ctx.Err()
	case <-m.done:
		return &UnderReplicatedError{}
	}
	select {
	case stored := <-w.result:
		if stored < Copies {
			m.UnderReplicated.Add(1)
			return &UnderReplicatedError{Copies: stored}
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-m.done:
		return &UnderReplicatedError{}
	}
}

// window returns the window to count in: the current one, but at most one window
// ahead of the sealer's clock at the last Collect, in case this host's clock is
// wrong. The caller holds the lock.
func (m *Meter) window() Window {
	now := WindowAt(m.Now())
	if m.maxWindow > 0 {
		now = min(now, m.maxWindow)
	}
	return now
}

// Run copies counters to other hosts until the context ends.
func (m *Meter) Run(ctx context.Context) {
	m.initialize()
	defer close(m.done)
	ticker := time.NewTicker(RepairInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.expire()
			m.replicate(ctx)
		case first := <-m.queue:
			m.commit(ctx, first)
		}
	}
}

// Done returns a channel that is closed when Run has returned.
func (m *Meter) Done() <-chan struct{} {
	m.initialize()
	return m.done
}

// commit copies all counts since the last commit to other hosts at once and
// answers their waiters. It never waits for further counts: under load they
// queue up during the previous commit.
func (m *Meter) commit(ctx context.Context, first waiter) {
	waiting := append([]waiter{first}, m.drainQueue()...)
	stored := m.replicate(ctx)
	for _, w := range waiting {
		w.result <- stored
	}
	m.logReplication(stored < Copies)
}

// logReplication logs when commits start to be stored by too few hosts, and when
// that ends.
func (m *Meter) logReplication(underReplicated bool) {
	if underReplicated == m.underReplicated {
		return
	}
	m.underReplicated = underReplicated
	if underReplicated {
		m.Log.Emit(event.UsageUnderReplicated)
	} else {
		m.Log.Emit(event.UsageReplicated)
	}
}

// drainQueue returns the waiters that are queued now.
func (m *Meter) drainQueue() []waiter {
	var more []waiter
	for len(more) < QueueSize {
		select {
		case w := <-m.queue:
			more = append(more, w)
		default:
			return more
		}
	}
	return more
}

// replicate sends pending rows to Copies targets and returns how many of them
// store everything. When a target fails, the next host replaces it.
func (m *Meter) replicate(ctx context.Context) int {
	stored := 0
	tried := map[view.Member]bool{}
	for stored < Copies {
		targets := m.targets(Copies-stored, tried)
		if len(targets) == 0 {
			break
		}
		results := make(chan bool, len(targets))
		for _, target := range targets {
			tried[target] = true
			go func() { results <- m.syncTarget(ctx, target) }()
		}
		for range targets {
			if <-results {
				stored++
			}
		}
	}
	return stored
}

// targets returns the first count hosts that were not tried yet and are not
// suspect.
func (m *Meter) targets(count int, tried map[view.Member]bool) []view.Member {
	hosts := m.Hosts()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Now()
	var targets []view.Member
	for _, host := range hosts {
		if len(targets) == count {
			break
		}
		if host == m.Self || tried[host] || now.Before(m.suspect[host]) {
			continue
		}
		targets = append(targets, host)
	}
	return targets
}

// syncTarget sends a target its pending rows, in as many messages as needed, and
// reports whether the target stored all of them.
func (m *Meter) syncTarget(ctx context.Context, target view.Member) bool {
	for {
		m.mu.Lock()
		rows := m.counters.Pending(target, m.Alive)
		m.mu.Unlock()
		if len(rows) == 0 {
			return true
		}
		if !m.sendCopy(ctx, target, rows) {
			return false
		}
	}
}

// sendCopy sends one Copy message and records the outcome: an acknowledgment, or
// the target as suspect. It reports whether the target stored the rows.
func (m *Meter) sendCopy(ctx context.Context, target view.Member, rows []Row) bool {
	ctx, cancel := context.WithTimeout(ctx, CopyTimeout)
	defer cancel()
	m.Messages.Add(1)
	err := m.Peers.Copy(ctx, target, Copy{From: m.Self, Rows: rows})
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.suspect[target] = m.Now().Add(SuspectTTL)
		m.counters.DropTarget(target)
		return false
	}
	m.counters.Acked(target, rows)
	return true
}

// expire removes old counters and suspicions, and the acknowledgments of hosts
// that are gone.
func (m *Meter) expire() {
	hosts := m.Hosts()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Now()
	m.counters.Expire(WindowAt(now))
	m.counters.RetainTargets(hosts)
	for host, until := range m.suspect {
		if now.After(until) {
			delete(m.suspect, host)
		}
	}
}
