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

// NoteKind is the kind of the notes that carry packets.
const NoteKind = "roster"

// EventCapacity is how many events wait for the duty. A further packet is
// dropped and counted, as the network could have done; other events wait.
const EventCapacity = 256

// listPeriod is how often a host of the ranks up to the bridge's reads the platform's host
// list; the others read it only while they know nobody.
const (
	listPeriod  = 10 * time.Second
	listTimeout = 5 * time.Second
)

// Options is what the duty is started with.
type Options struct {
	Endpoint *link.Endpoint
	// Seeds are hosts that the settings name.
	Seeds []Hint
	// List is the platform's host list; nil for none.
	List hostlist.Lister
	Log  event.Log
	// Summarize returns the summaries that the host sends each second. It must
	// not block; nil sends empty ones.
	Summarize func() SummariesUpdated
	// OnPeerVersion is told which version of the configuration a peer has in force.
	// It must not block.
	OnPeerVersion func(address string, version uint64)
	// OnRank is told the rank of this host when it changes.
	OnRank func(rank int)
}

// Runner is the goroutine that owns the roster of a host.
type Runner struct {
	options Options
	events  chan Event
	dropped atomic.Uint64
	view    atomic.Pointer[View]
	rank    int
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}
	listed  chan struct{} // closed when the reader of the host list has ended
}

// Start runs the roster until Close.
func Start(options Options) *Runner {
	d := &Runner{
		options: options,
		events:  make(chan Event, EventCapacity),
		rank:    -2, // not told yet
		done:    make(chan struct{}),
		listed:  make(chan struct{}),
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	state := New(Config{
		Self:        options.Endpoint.Host(),
		Address:     options.Endpoint.Address(),
		Incarnation: uint32(time.Now().Unix()),
		Seed:        rand.Uint64(),
	})
	state.Step(HintsUpdated{Hints: options.Seeds}, time.Now())
	d.publish(state)
	options.Endpoint.HandleNotes(NoteKind, d.take)
	go d.run(state)
	go d.list()
	return d
}

func (d *Runner) run(state *State) {
	defer close(d.done)
	ticker := time.NewTicker(TickPeriod)
	defer ticker.Stop()
	for {
		select {
		case e := <-d.events:
			d.do(state.Step(e, time.Now()))
		case <-ticker.C:
			if d.options.Summarize != nil {
				state.Step(d.options.Summarize(), time.Now())
			}
			d.do(state.Step(Tick{}, time.Now()))
			d.publish(state)
		case <-d.ctx.Done():
			<-d.listed
			return
		}
	}
}

func (d *Runner) publish(state *State) {
	view := state.View(time.Now())
	d.view.Store(&view)
	if view.Rank != d.rank && d.options.OnRank != nil {
		d.options.OnRank(view.Rank)
	}
	d.rank = view.Rank
}

func (d *Runner) do(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Send:
			d.send(a)
		case MemberChanged:
			d.changed(a.Member)
		case VersionSeen:
			if d.options.OnPeerVersion != nil {
				d.options.OnPeerVersion(a.Address, a.Version)
			}
		}
	}
}

// send drops what can't be sent: every packet of the protocol may be lost.
func (d *Runner) send(a Send) {
	data, err := wire.Encode(a.Packet)
	if err != nil {
		d.dropped.Add(1)
		return
	}
	if err := d.options.Endpoint.Notify(a.Address, NoteKind, data); err != nil {
		d.dropped.Add(1)
	}
}

func (d *Runner) changed(m Member) {
	number := event.PeerJoined
	if m.Status > Suspect {
		number = event.PeerFailed
	}
	if m.Status == Failed { // a host that leaves still ends its requests
		d.options.Endpoint.Doubt(m.Address)
	}
	d.options.Log.Emit(number, "host", m.Name, "address", m.Address, "status", m.Status.String())
}

// take hands over a note without waiting.
func (d *Runner) take(from identity.Host, address string, data []byte) {
	packet, err := wire.Decode[Packet](data)
	if err != nil {
		d.dropped.Add(1)
		return
	}
	select {
	case d.events <- Received{From: from, Address: address, Packet: packet}:
	default:
		d.dropped.Add(1)
	}
}

// list reads the platform's host list as a hint (rule 6).
func (d *Runner) list() {
	defer close(d.listed)
	if d.options.List == nil {
		return
	}
	ticker := time.NewTicker(listPeriod)
	defer ticker.Stop()
	for {
		if view := d.View(); len(view.Hosts) < 2 || view.Rank <= bridgeRank {
			d.readList()
		}
		select {
		case <-ticker.C:
		case <-d.ctx.Done():
			return
		}
	}
}

func (d *Runner) readList() {
	ctx, cancel := context.WithTimeout(d.ctx, listTimeout)
	defer cancel()
	hosts, err := d.options.List.Hosts(ctx)
	if err != nil {
		return
	}
	hints := append([]Hint(nil), d.options.Seeds...)
	for _, host := range hosts {
		hint := Hint{Host: identity.Host{Name: host.Name, Zone: host.Zone}, Address: host.Address}
		if !host.Leaving && hint.Host.Check() == nil {
			hints = append(hints, hint)
		}
	}
	_ = d.put(HintsUpdated{Hints: hints})
}

var errEnded = errors.New("roster ended")

func (d *Runner) put(e Event) error {
	select {
	case d.events <- e:
		return nil
	case <-d.ctx.Done():
		return errEnded
	}
}

// Leave tells the zone that this host stops as planned.
func (d *Runner) Leave() error { return d.put(Leave{}) }

// View returns what the host knows; it is renewed every TickPeriod.
func (d *Runner) View() View { return *d.view.Load() }

// Dropped counts packets that were dropped on this host.
func (d *Runner) Dropped() uint64 { return d.dropped.Load() }

// Close ends the duty and waits for its goroutines.
func (d *Runner) Close() error {
	d.cancel()
	<-d.done
	return nil
}

// Done is closed when the duty has ended.
func (d *Runner) Done() <-chan struct{} { return d.done }
