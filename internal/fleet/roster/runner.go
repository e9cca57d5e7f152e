package roster

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
	"github.com/hyssopwall/hyssopwall/internal/fleet/link"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
	"github.com/hyssopwall/hyssopwall/internal/platform/hostlist"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// DatagramKind is the kind of the datagrams of package link that carry packets.
const DatagramKind = "roster"

// EventCapacity is the length of a Runner's event queue. While the queue is
// full, received packets are dropped and counted, which the protocol tolerates
// as packet loss; other events wait.
const EventCapacity = 256

// The platform's host list is read every listPeriod by the hosts up to the rank
// of the bridge, and by hosts without another member in their view.
const (
	listPeriod  = 10 * time.Second
	listTimeout = 5 * time.Second
)

// Options are the parameters of a Runner.
type Options struct {
	Endpoint *link.Endpoint
	// Seeds are the hosts that the settings name.
	Seeds []Hint
	// List is the platform's host list; nil for none.
	List hostlist.Lister
	Log  event.Log
	// Summarize returns the summaries that the host sends. It is called every
	// TickPeriod and must not block; nil sends empty ones.
	Summarize func() SummariesUpdated
	// OnPeerVersion, if set, is called with the version of the configuration that
	// a peer has in force. It must not block.
	OnPeerVersion func(address string, version uint64)
	// OnRank, if set, is called with the rank of this host when it changes.
	OnRank func(rank int)
}

// Runner runs the protocol of a host: its goroutine owns the State, feeds it
// events and carries out its actions.
type Runner struct {
	options   Options
	events    chan Event
	dropped   atomic.Uint64
	view      atomic.Pointer[View]
	rank      int // last one passed to OnRank
	ctx       context.Context
	cancel    context.CancelFunc
	done      chan struct{}
	hintsDone chan struct{} // closed when refreshHints has returned
}

// Start starts the protocol. It runs until Close.
func Start(options Options) *Runner {
	r := &Runner{
		options:   options,
		events:    make(chan Event, EventCapacity),
		rank:      -2, // no valid rank, so that the first one is passed to OnRank
		done:      make(chan struct{}),
		hintsDone: make(chan struct{}),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	state := New(Config{
		Self:        options.Endpoint.Host(),
		Address:     options.Endpoint.Address(),
		Incarnation: uint32(time.Now().Unix()),
		Seed:        rand.Uint64(),
	})
	state.Step(HintsUpdated{Hints: options.Seeds}, time.Now())
	r.publish(state)
	options.Endpoint.HandleDatagrams(DatagramKind, r.receive)
	go r.run(state)
	go r.refreshHints()
	return r
}

// run processes events and ticks until Close.
func (r *Runner) run(state *State) {
	defer close(r.done)
	ticker := time.NewTicker(TickPeriod)
	defer ticker.Stop()
	for {
		select {
		case e := <-r.events:
			r.execute(state.Step(e, time.Now()))
		case <-ticker.C:
			if r.options.Summarize != nil {
				state.Step(r.options.Summarize(), time.Now())
			}
			r.execute(state.Step(Tick{}, time.Now()))
			r.publish(state)
		case <-r.ctx.Done():
			<-r.hintsDone
			return
		}
	}
}

// publish replaces the view that View returns, and reports a change of rank.
func (r *Runner) publish(state *State) {
	view := state.View(time.Now())
	r.view.Store(&view)
	if view.Rank != r.rank && r.options.OnRank != nil {
		r.options.OnRank(view.Rank)
	}
	r.rank = view.Rank
}

// execute carries out the actions of a step.
func (r *Runner) execute(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Send:
			r.send(a)
		case MemberChanged:
			r.memberChanged(a.Member)
		case VersionSeen:
			if r.options.OnPeerVersion != nil {
				r.options.OnPeerVersion(a.Address, a.Version)
			}
		}
	}
}

// send sends a packet. A packet that can't be sent is dropped and counted; the
// protocol tolerates the loss of any packet.
func (r *Runner) send(a Send) {
	data, err := wire.Encode(a.Packet)
	if err != nil {
		r.dropped.Add(1)
		return
	}
	if err := r.options.Endpoint.SendDatagram(a.Address, DatagramKind, data); err != nil {
		r.dropped.Add(1)
	}
}

// memberChanged logs a change of membership, and has the connection to a failed host
// checked.
func (r *Runner) memberChanged(m Member) {
	number := event.PeerJoined
	if m.Status > Suspect {
		number = event.PeerFailed
	}
	if m.Status == Failed { // a host that left still completes its requests
		r.options.Endpoint.Suspect(m.Address)
	}
	r.options.Log.Emit(number, "host", m.Name, "address", m.Address, "status", m.Status.String())
}

// receive queues the packet of a datagram. It never waits: if the packet is malformed or
// the queue is full, it is dropped and counted.
func (r *Runner) receive(from identity.Host, address string, data []byte) {
	packet, err := wire.Decode[Packet](data)
	if err != nil {
		r.dropped.Add(1)
		return
	}
	select {
	case r.events <- Received{From: from, Address: address, Packet: packet}:
	default:
		r.dropped.Add(1)
	}
}

// refreshHints reads the platform's host list periodically (rule 6).
func (r *Runner) refreshHints() {
	defer close(r.hintsDone)
	if r.options.List == nil {
		return
	}
	ticker := time.NewTicker(listPeriod)
	defer ticker.Stop()
	for {
		if view := r.View(); len(view.Hosts) < 2 || view.Rank <= bridgeRank {
			r.readList()
		}
		select {
		case <-ticker.C:
		case <-r.ctx.Done():
			return
		}
	}
}

// readList reads the host list once. The hints are the hosts of the list that
// are not leaving, and the seeds. After an error the old hints remain.
func (r *Runner) readList() {
	ctx, cancel := context.WithTimeout(r.ctx, listTimeout)
	defer cancel()
	hosts, err := r.options.List.Hosts(ctx)
	if err != nil {
		return
	}
	hints := append([]Hint(nil), r.options.Seeds...)
	for _, host := range hosts {
		hint := Hint{Host: identity.Host{Name: host.Name, Zone: host.Zone}, Address: host.Address}
		if !host.Leaving && hint.Host.Check() == nil {
			hints = append(hints, hint)
		}
	}
	_ = r.enqueue(HintsUpdated{Hints: hints})
}

var errEnded = errors.New("roster ended")

// enqueue adds an event to the queue, and waits while the queue is full.
func (r *Runner) enqueue(e Event) error {
	select {
	case r.events <- e:
		return nil
	case <-r.ctx.Done():
		return errEnded
	}
}

// Leave announces to the zone that this host stops as planned.
func (r *Runner) Leave() error { return r.enqueue(Leave{}) }

// View returns the last published view. A new one is published every TickPeriod.
func (r *Runner) View() View { return *r.view.Load() }

// Dropped returns the number of packets that this host has dropped.
func (r *Runner) Dropped() uint64 { return r.dropped.Load() }

// Close stops the protocol and waits for its goroutines.
func (r *Runner) Close() error {
	r.cancel()
	<-r.done
	return nil
}

// Done returns a channel that is closed when the protocol has stopped.
func (r *Runner) Done() <-chan struct{} { return r.done }
