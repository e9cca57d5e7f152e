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

// Bounds of the meter.
const (
	// Copies is the number of other hosts that store a count.
	Copies = 2
	// CopyTimeout bounds one message to a copy.
	CopyTimeout = 250 * time.Millisecond
	// SuspectTTL is how long a host that did not answer is passed over.
	SuspectTTL = 5 * time.Second
	// RepairInterval is the time between two looks for counters that lack copies.
	RepairInterval = time.Second
	// QueueSize is the capacity of the ring to the meter's duty. When it is
	// full, Add waits.
	QueueSize = 4096
)

// Peers sends messages to other hosts, and to this one.
type Peers interface {
	Copy(ctx context.Context, to view.Member, message Copy) error
	Collect(ctx context.Context, from view.Member, open Window) (Holdings, error)
	Cover(ctx context.Context, to view.Member, message Cover) error
}

// UnderReplicatedError says that a count is stored by fewer hosts than it should be. It is
// counted on this host and goes to others when they can be reached.
type UnderReplicatedError struct {
	Copies int
}

func (e *UnderReplicatedError) Error() string {
	return fmt.Sprintf("usage stored by %d of %d other hosts", e.Copies, Copies)
}

// Meter counts what this host serves. Set the exported fields, then call Run;
// the other methods may be called at any time.
type Meter struct {
	Self  view.Member
	Peers Peers
	// Hosts returns the other hosts that may keep copies, most wanted first.
	// The first two should share neither rack nor availability zone.
	Hosts func() []view.Member
	Alive view.Alive
	Now   func() time.Time
	Log   event.Log
	// UnderReplicated counts the counts that were stored by too few hosts.
	UnderReplicated atomic.Uint64
	// Messages counts the copies sent.
	Messages atomic.Uint64

	once    sync.Once
	ring    chan waiter
	done    chan struct{}
	mu      sync.Mutex
	book    Counters
	limit   Window // latest window to count in, zero when not known
	suspect map[view.Member]time.Time
	thin    bool // the last counts were stored by too few
}

type waiter struct {
	answer chan int
}

func (m *Meter) start() {
	m.once.Do(func() {
		m.ring = make(chan waiter, QueueSize)
		m.done = make(chan struct{})
		m.suspect = map[view.Member]time.Time{}
		m.book.Self = m.Self
	})
}

// Add counts usage and returns when enough other hosts store it. A *ThinError
// means that it is counted, on fewer hosts; the context's error means that it
// is counted and the number of hosts is not known.
func (m *Meter) Add(ctx context.Context, workspace string, amount Count) error {
	m.start()
	m.mu.Lock()
	m.book.Add(workspace, m.window(), amount)
	m.mu.Unlock()
	w := waiter{answer: make(chan int, 1)}
	select {
	case m.ring <- w:
	case <-ctx.Done():
		return ctx.Err()
	case <-m.done:
		return &UnderReplicatedError{}
	}
	select {
	case have := <-w.answer:
		if have < Copies {
			m.UnderReplicated.Add(1)
			return &UnderReplicatedError{Copies: have}
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-m.done:
		return &UnderReplicatedError{}
	}
}

// window returns the window to count in. A clock far ahead of the sealer's is
// not followed.
func (m *Meter) window() Window {
	now := WindowAt(m.Now())
	if m.limit > 0 {
		now = min(now, m.limit)
	}
	return now
}

// Run works until the context ends.
func (m *Meter) Run(ctx context.Context) {
	m.start()
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
		case first := <-m.ring:
			m.commit(ctx, first)
		}
	}
}

// Done returns a channel that is closed when Run has returned.
func (m *Meter) Done() <-chan struct{} {
	m.start()
	return m.done
}

// commit stores all counts that have come since the last commit at once. A
// count never waits for others to come: under load they gather by themselves
// while a commit is under way.
func (m *Meter) commit(ctx context.Context, first waiter) {
	waiting := append([]waiter{first}, m.gather()...)
	have := m.replicate(ctx)
	for _, w := range waiting {
		w.answer <- have
	}
	m.note(have < Copies)
}

// note logs when counts begin to lack copies, and when that ends.
func (m *Meter) note(thin bool) {
	if thin == m.thin {
		return
	}
	m.thin = thin
	if thin {
		m.Log.Emit(event.UsageThin)
	} else {
		m.Log.Emit(event.UsageCopied)
	}
}

func (m *Meter) gather() []waiter {
	var more []waiter
	for len(more) < QueueSize {
		select {
		case w := <-m.ring:
			more = append(more, w)
		default:
			return more
		}
	}
	return more
}

// replicate brings the targets up to date and returns how many are. When one
// fails, the next host takes its place.
func (m *Meter) replicate(ctx context.Context) int {
	have := 0
	tried := map[view.Member]bool{}
	for have < Copies {
		targets := m.targets(Copies-have, tried)
		if len(targets) == 0 {
			break
		}
		results := make(chan bool, len(targets))
		for _, target := range targets {
			tried[target] = true
			go func() { results <- m.push(ctx, target) }()
		}
		for range targets {
			if <-results {
				have++
			}
		}
	}
	return have
}

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

// push sends a target what it lacks, in as many messages as needed.
func (m *Meter) push(ctx context.Context, target view.Member) bool {
	for {
		m.mu.Lock()
		rows := m.book.Pending(target, m.Alive)
		m.mu.Unlock()
		if len(rows) == 0 {
			return true
		}
		if !m.send(ctx, target, rows) {
			return false
		}
	}
}

func (m *Meter) send(ctx context.Context, target view.Member, rows []Row) bool {
	ctx, cancel := context.WithTimeout(ctx, CopyTimeout)
	defer cancel()
	m.Messages.Add(1)
	err := m.Peers.Copy(ctx, target, Copy{From: m.Self, Rows: rows})
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.suspect[target] = m.Now().Add(SuspectTTL)
		m.book.DropTarget(target)
		return false
	}
	m.book.Acked(target, rows)
	return true
}

func (m *Meter) expire() {
	hosts := m.Hosts()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Now()
	m.book.Expire(WindowAt(now))
	m.book.RetainTargets(hosts)
	for host, until := range m.suspect {
		if now.After(until) {
			delete(m.suspect, host)
		}
	}
}
