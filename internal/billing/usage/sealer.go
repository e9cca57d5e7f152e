package usage

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/lease"
	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/platform/report"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// Duty is the name of the duty that seals and reports.
const Duty = "usage"

// Bounds of the sealer.
const (
	// SealDelay is the time after a window's end before it is sealed.
	SealDelay = 30 * time.Second
	// SealInterval is the time between two looks for something to seal or report.
	SealInterval = 5 * time.Second
	// Lookback is how many windows a new sealer reads.
	Lookback = 48
	// RunOnceTimeout bounds one turn of the sealer.
	RunOnceTimeout = time.Minute
)

// Leases is the part of a lease holder that the sealer uses.
type Leases interface {
	Held(duty string) (lease.Grant, bool)
	Do(ctx context.Context, duty string, send func(context.Context, lease.Grant) error) error
}

// Sealer seals and reports while this host holds the duty. Set the exported
// fields, then call Run.
type Sealer struct {
	Self   view.Member
	Store  object.Store
	Sink   report.Sink
	Leases Leases
	Peers  Peers
	// Hosts returns every host that may hold counters, this one included.
	Hosts func() []view.Member
	// Now is the wall clock. It decides only when a window is sealed.
	Now func() time.Time
	Log event.Log

	epoch  uint64 // of the lease for which ledger was read
	ledger *Ledger
	told   Window // every window before it is known to be acknowledged
}

// Run works until the context ends.
func (s *Sealer) Run(ctx context.Context) {
	ticker := time.NewTicker(SealInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		turn, cancel := context.WithTimeout(ctx, RunOnceTimeout)
		_ = s.RunOnce(turn) // what failed is done again in the next turn
		cancel()
	}
}

// RunOnce seals and reports what is due. It does nothing without the lease.
func (s *Sealer) RunOnce(ctx context.Context) error {
	grant, ok := s.Leases.Held(Duty)
	if !ok {
		s.ledger = nil
		return nil
	}
	if s.ledger == nil || s.epoch != grant.Epoch {
		if err := s.load(ctx, 0); err != nil {
			return err
		}
		s.epoch = grant.Epoch
	}
	if err := s.seal(ctx); err != nil {
		return err
	}
	return s.report(ctx)
}

// load reads the ledger anew, from a window or from the usual lookback.
func (s *Sealer) load(ctx context.Context, from Window) error {
	open := WindowAt(s.Now())
	first, err := start(ctx, s.Store, s.Self.String(), open)
	if err != nil {
		return err
	}
	if from == 0 {
		from = open - Lookback
	}
	ledger := NewLedger(max(first, from))
	ledger.Complete = from <= first
	for {
		sealed, found, err := read(ctx, s.Store, ledger.Next)
		if err != nil {
			return err
		}
		if !found {
			break
		}
		if err = ledger.Apply(sealed); err != nil {
			return err
		}
	}
	s.ledger = ledger
	s.told = 0
	return nil
}

func (s *Sealer) seal(ctx context.Context) error {
	for {
		now := s.Now()
		if now.Before(s.ledger.Next.End().Add(SealDelay)) {
			return nil
		}
		answers := s.collect(ctx, WindowAt(now))
		if !ended(answers, s.ledger.Next) {
			return nil
		}
		if err := s.sealNext(ctx, WindowAt(now), answers); err != nil {
			return err
		}
	}
}

// ended says whether the window has ended by the clocks of most hosts that
// answered, so that one wrong clock seals nothing early.
func ended(answers []Holdings, window Window) bool {
	later := 0
	for _, answer := range answers {
		if answer.CurrentWindow > window {
			later++
		}
	}
	return 2*later > len(answers)
}

func (s *Sealer) sealNext(ctx context.Context, open Window, answers []Holdings) error {
	held := Totals{}
	var heard []view.Member
	for _, answer := range answers {
		held.Merge(answer.Rows)
		heard = append(heard, answer.From)
	}
	if err := s.reach(ctx, held); err != nil {
		return err
	}
	grant, ok := s.Leases.Held(Duty)
	if !ok {
		return &lease.NotHeldError{Duty: Duty}
	}
	stands, err := s.store(ctx, held, heard, open, grant)
	if err != nil {
		return err
	}
	if err = s.ledger.Apply(stands); err != nil {
		return err
	}
	s.Log.Emit(event.WindowSealed, "window", stands.Window.String(), "counters", len(stands.Counted))
	s.cover(ctx, answers)
	s.ledger.DropBefore(open - Lookback)
	return nil
}

// store seals with as many counters as fit one object.
func (s *Sealer) store(ctx context.Context, held Totals, heard []view.Member, open Window, grant lease.Grant) (SealedWindow, error) {
	limit := MaxRows
	for {
		sealed := s.ledger.Seal(held, heard, open, limit)
		sealed.Epoch, sealed.Holder = grant.Epoch, s.Self.String()
		stands, err := create(ctx, s.Store, sealed)
		var size *object.SizeError
		if !errors.As(err, &size) || limit == 1 {
			return stands, err
		}
		limit = max(1, limit/2)
	}
}

// reach reads older sealed objects when a host still holds counters of theirs.
func (s *Sealer) reach(ctx context.Context, held Totals) error {
	oldest := s.ledger.From
	for cell := range held {
		oldest = min(oldest, cell.Window)
	}
	if oldest == s.ledger.From || s.ledger.Complete {
		return nil
	}
	next := s.ledger.Next
	if err := s.load(ctx, oldest); err != nil {
		return err
	}
	if s.ledger.Next != next {
		return &GapError{Want: next, Have: s.ledger.Next}
	}
	return nil
}

// collect asks all hosts at once. A host that doesn't answer is late: its
// counters follow as adjustments.
func (s *Sealer) collect(ctx context.Context, open Window) []Holdings {
	hosts := s.Hosts()
	results := make(chan *Holdings, len(hosts))
	for _, host := range hosts {
		go func() {
			held, err := s.Peers.Collect(ctx, host, open)
			if err != nil {
				results <- nil
				return
			}
			results <- &held
		}()
	}
	var all []Holdings
	for range hosts {
		if held := <-results; held != nil {
			all = append(all, *held)
		}
	}
	return all
}

// cover tells all hosts at once what of their holdings is sealed. A lost
// message is made up for at the next window.
func (s *Sealer) cover(ctx context.Context, answers []Holdings) {
	var group sync.WaitGroup
	defer group.Wait()
	for _, answer := range answers {
		rows := s.ledger.Covered(answer.Rows)
		s.noteLate(rows)
		if len(rows) > 0 {
			group.Go(func() { _ = s.Peers.Cover(ctx, answer.From, Cover{Rows: rows}) })
		}
	}
}

func (s *Sealer) noteLate(rows []Row) {
	for _, row := range rows {
		if row.Counter.Window < s.ledger.Next-1 {
			s.Log.Emit(event.UsageLate, "source", row.Counter.Source.String(), "window", row.Counter.Window.String())
		}
	}
}

// report sends the sealed windows after the last acknowledged one. Rule 6.
func (s *Sealer) report(ctx context.Context) error {
	if s.told == s.ledger.Next {
		return nil
	}
	last, version, err := reported(ctx, s.Store)
	if err != nil {
		return err
	}
	window := last.Window + 1
	if version == 0 {
		if window, err = start(ctx, s.Store, s.Self.String(), s.ledger.From); err != nil {
			return err
		}
	}
	if window >= s.ledger.Next {
		s.told = s.ledger.Next
		return nil
	}
	for ; window < s.ledger.Next; window++ {
		if err = s.send(ctx, window); err != nil {
			return err
		}
	}
	if err = acknowledge(ctx, s.Store, mark{Window: window - 1, Writer: s.Self.String()}, version); err != nil {
		return err
	}
	s.told = window
	return nil
}

func (s *Sealer) send(ctx context.Context, window Window) error {
	sealed, found, err := read(ctx, s.Store, window)
	if err != nil || !found {
		return errors.Join(err, &GapError{Want: window, Have: s.ledger.Next})
	}
	err = s.Leases.Do(ctx, Duty, func(ctx context.Context, grant lease.Grant) error {
		return s.Sink.Send(ctx, sealed.Report(grant.Epoch))
	})
	if err == nil {
		s.Log.Emit(event.WindowReported, "window", window.String())
	}
	return err
}
