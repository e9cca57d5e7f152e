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

// Duty is the name of the duty whose holder seals and reports windows.
const Duty = "usage"

// Limits and intervals of the sealer.
const (
	// SealDelay is the least time from the end of a window until it is sealed.
	SealDelay = 30 * time.Second
	// SealInterval is the time between two checks for windows to seal or report.
	SealInterval = 5 * time.Second
	// Lookback is the number of past windows that a new sealer reads.
	Lookback = 48
	// RunOnceTimeout is the timeout of one call of RunOnce.
	RunOnceTimeout = time.Minute
)

// Leases is the part of *lease.Holder that the sealer uses.
type Leases interface {
	Held(duty string) (lease.Grant, bool)
	Do(ctx context.Context, duty string, send func(context.Context, lease.Grant) error) error
}

// Sealer seals and reports windows while this host holds the duty. Set the
// exported fields, then call Run.
type Sealer struct {
	Self   view.Member
	Store  object.Store
	Sink   report.Sink
	Leases Leases
	Peers  Peers
	// Hosts returns every host that may hold counters, this one included.
	Hosts func() []view.Member
	// Now is the wall clock. It decides when windows are sealed, with which window
	// a new sealer starts to read, and the latest window in which hosts count.
	Now func() time.Time
	Log event.Log

	epoch        uint64  // of the lease under which ledger was read
	ledger       *Ledger // nil until it is read, and after the lease was lost
	reportedUpTo Window  // all windows before it are known to be acknowledged
}

// Run seals and reports windows until the context ends.
func (s *Sealer) Run(ctx context.Context) {
	ticker := time.NewTicker(SealInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		runCtx, cancel := context.WithTimeout(ctx, RunOnceTimeout)
		_ = s.RunOnce(runCtx) // the next run repeats the failed part
		cancel()
	}
}

// RunOnce seals and reports the windows that are due. It does nothing without
// the lease.
func (s *Sealer) RunOnce(ctx context.Context) error {
	grant, ok := s.Leases.Held(Duty)
	if !ok {
		s.ledger = nil
		return nil
	}
	if s.ledger == nil || s.epoch != grant.Epoch {
		if err := s.loadLedger(ctx, 0); err != nil {
			return err
		}
		s.epoch = grant.Epoch
	}
	if err := s.sealDue(ctx); err != nil {
		return err
	}
	return s.reportDue(ctx)
}

// loadLedger reads the ledger from the store, starting at the window from or, if
// from is zero, Lookback windows ago, but not before the first window.
func (s *Sealer) loadLedger(ctx context.Context, from Window) error {
	open := WindowAt(s.Now())
	first, err := firstWindow(ctx, s.Store, s.Self.String(), open)
	if err != nil {
		return err
	}
	if from == 0 {
		from = open - Lookback
	}
	ledger := NewLedger(max(first, from))
	ledger.Complete = from <= first
	for {
		sealed, found, err := readSealed(ctx, s.Store, ledger.Next)
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
	s.reportedUpTo = 0
	return nil
}

// sealDue seals, in order, the windows that ended at least SealDelay ago. It stops
// at a window that has not ended by the clocks of most hosts.
func (s *Sealer) sealDue(ctx context.Context) error {
	for {
		now := s.Now()
		if now.Before(s.ledger.Next.End().Add(SealDelay)) {
			return nil
		}
		answers := s.collect(ctx, WindowAt(now))
		if !windowEnded(answers, s.ledger.Next) {
			return nil
		}
		if err := s.sealNext(ctx, WindowAt(now), answers); err != nil {
			return err
		}
	}
}

// windowEnded reports whether the window has ended by the clocks of most hosts
// that answered, so that one wrong clock does not seal a window early.
func windowEnded(answers []Holdings, window Window) bool {
	later := 0
	for _, answer := range answers {
		if answer.CurrentWindow > window {
			later++
		}
	}
	return 2*later > len(answers)
}

// sealNext seals the next window from the hosts' answers, applies the stored
// object to the ledger and sends the hosts the sealed totals.
func (s *Sealer) sealNext(ctx context.Context, open Window, answers []Holdings) error {
	totals := Totals{}
	var responded []view.Member
	for _, answer := range answers {
		totals.Merge(answer.Rows)
		responded = append(responded, answer.From)
	}
	if err := s.extendLedger(ctx, totals); err != nil {
		return err
	}
	grant, ok := s.Leases.Held(Duty)
	if !ok {
		return &lease.NotHeldError{Duty: Duty}
	}
	stored, err := s.storeNext(ctx, totals, responded, open, grant)
	if err != nil {
		return err
	}
	if err = s.ledger.Apply(stored); err != nil {
		return err
	}
	s.Log.Emit(event.WindowSealed, "window", stored.Window.String(), "counters", len(stored.Counted))
	s.cover(ctx, answers)
	s.ledger.DropBefore(open - Lookback)
	return nil
}

// storeNext stores the next sealed window. It includes fewer counters when the
// object would be too large. It returns the stored object, which may be another
// sealer's.
func (s *Sealer) storeNext(ctx context.Context, totals Totals, responded []view.Member, open Window, grant lease.Grant) (SealedWindow, error) {
	limit := MaxRows
	for {
		sealed := s.ledger.Seal(totals, responded, open, limit)
		sealed.Epoch, sealed.Holder = grant.Epoch, s.Self.String()
		stored, err := createSealed(ctx, s.Store, sealed)
		var tooLarge *object.SizeError
		if !errors.As(err, &tooLarge) || limit == 1 {
			return stored, err
		}
		limit = max(1, limit/2)
	}
}

// extendLedger reads the ledger again from an older window when a host holds
// counters of windows before its start. It returns a *GapError when the ledger
// then ends at another window, as after a seal by another sealer.
func (s *Sealer) extendLedger(ctx context.Context, totals Totals) error {
	oldest := s.ledger.From
	for id := range totals {
		oldest = min(oldest, id.Window)
	}
	if oldest == s.ledger.From || s.ledger.Complete {
		return nil
	}
	next := s.ledger.Next
	if err := s.loadLedger(ctx, oldest); err != nil {
		return err
	}
	if s.ledger.Next != next {
		return &GapError{Want: next, Have: s.ledger.Next}
	}
	return nil
}

// collect requests the holdings of all hosts concurrently. The counters of a host
// that does not answer are included if a host with copies of them answers; otherwise
// they follow as adjustments.
func (s *Sealer) collect(ctx context.Context, open Window) []Holdings {
	hosts := s.Hosts()
	results := make(chan *Holdings, len(hosts))
	for _, host := range hosts {
		go func() {
			holdings, err := s.Peers.Collect(ctx, host, open)
			if err != nil {
				results <- nil
				return
			}
			results <- &holdings
		}()
	}
	var all []Holdings
	for range hosts {
		if holdings := <-results; holdings != nil {
			all = append(all, *holdings)
		}
	}
	return all
}

// cover sends the hosts that answered the sealed totals of the counters that they
// hold, concurrently. A host that misses the message still holds those counters when
// the next window is sealed and gets their totals then.
func (s *Sealer) cover(ctx context.Context, answers []Holdings) {
	var group sync.WaitGroup
	defer group.Wait()
	for _, answer := range answers {
		rows := s.ledger.Covered(answer.Rows)
		s.logLate(rows)
		if len(rows) > 0 {
			group.Go(func() { _ = s.Peers.Cover(ctx, answer.From, Cover{Rows: rows}) })
		}
	}
}

// logLate logs those of the rows whose window is before the last sealed one.
func (s *Sealer) logLate(rows []Row) {
	for _, row := range rows {
		if row.Counter.Window < s.ledger.Next-1 {
			s.Log.Emit(event.UsageLate, "source", row.Counter.Source.String(), "window", row.Counter.Window.String())
		}
	}
}

// reportDue reports the sealed windows after the last acknowledged one (rule 6).
func (s *Sealer) reportDue(ctx context.Context) error {
	if s.reportedUpTo == s.ledger.Next {
		return nil
	}
	last, version, err := readReported(ctx, s.Store)
	if err != nil {
		return err
	}
	window := last.Window + 1
	if version == 0 {
		if window, err = firstWindow(ctx, s.Store, s.Self.String(), s.ledger.From); err != nil {
			return err
		}
	}
	if window >= s.ledger.Next {
		s.reportedUpTo = s.ledger.Next
		return nil
	}
	for ; window < s.ledger.Next; window++ {
		if err = s.sendReport(ctx, window); err != nil {
			return err
		}
	}
	if err = writeReported(ctx, s.Store, windowRecord{Window: window - 1, Writer: s.Self.String()}, version); err != nil {
		return err
	}
	s.reportedUpTo = window
	return nil
}

// sendReport reports one sealed window to the platform under the lease.
func (s *Sealer) sendReport(ctx context.Context, window Window) error {
	sealed, found, err := readSealed(ctx, s.Store, window)
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
