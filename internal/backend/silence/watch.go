package silence

import (
	"slices"
	"sync"
	"time"
)

// Watch follows the streams and answers of all servers and interrupts what is in flight in a
// zone when it is declared silent. OnChange, if set, is called when the silence of a zone
// begins or ends, in this order, and must not call the Watch. A Watch is safe for concurrent
// use. All methods of a nil Watch do nothing.
type Watch struct {
	OnChange func(zone string, silent bool)

	mu       sync.Mutex
	detector Detector
	streams  map[*Stream]bool
}

// Stream is a generation or a request in flight at a server. All methods of a nil Stream do
// nothing.
type Stream struct {
	watch        *Watch
	zone, server string
	interrupt    func()
	active       bool // an event has arrived
	interrupted  bool
}

// Begin records a send to a server. Interrupt is called at most once, when the zone is
// declared silent, and also at once if it is silent already. The caller calls End.
func (w *Watch) Begin(zone, server string, interrupt func()) *Stream {
	if w == nil {
		return nil
	}
	s := &Stream{watch: w, zone: zone, server: server, interrupt: interrupt}
	w.mu.Lock()
	if w.streams == nil {
		w.streams = map[*Stream]bool{}
	}
	w.streams[s] = true
	s.interrupted = w.detector.IsSilent(zone)
	silent := s.interrupted
	w.mu.Unlock()
	if silent {
		interrupt()
	}
	return s
}

// Event records an event of the stream. One that was interrupted may still have read an event
// before that, which doesn't end the silence of its zone.
func (s *Stream) Event(now time.Time) {
	if s == nil {
		return
	}
	s.watch.mu.Lock()
	defer s.watch.mu.Unlock()
	if s.interrupted {
		return
	}
	s.active = true
	s.watch.observe(now, s.zone)
}

// End records that the stream has ended.
func (s *Stream) End() {
	if s == nil {
		return
	}
	s.watch.mu.Lock()
	defer s.watch.mu.Unlock()
	delete(s.watch.streams, s)
}

// Err returns a *ZoneError if the stream was interrupted.
func (s *Stream) Err() error {
	if s == nil {
		return nil
	}
	s.watch.mu.Lock()
	defer s.watch.mu.Unlock()
	if s.interrupted {
		return &ZoneError{Zone: s.zone}
	}
	return nil
}

// Arrived records an answer from a server in a zone.
func (w *Watch) Arrived(now time.Time, zone string) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.observe(now, zone)
}

// observe records an arrival; the caller holds the lock.
func (w *Watch) observe(now time.Time, zone string) {
	if w.detector.Observe(now, zone) {
		w.changed(zone, false)
	}
}

// changed calls OnChange; the caller holds the lock.
func (w *Watch) changed(zone string, silent bool) {
	if w.OnChange != nil {
		w.OnChange(zone, silent)
	}
}

// Check applies the rules, given the number of listed servers by zone, and interrupts the
// streams in zones that are declared silent.
func (w *Watch) Check(now time.Time, listed map[string]int) {
	if w == nil {
		return
	}
	for _, s := range w.check(now, listed) {
		s.interrupt()
	}
}

// check does the part of Check that needs the lock. It returns the streams to interrupt.
func (w *Watch) check(now time.Time, listed map[string]int) []*Stream {
	w.mu.Lock()
	defer w.mu.Unlock()
	declared, ended := w.detector.Check(now, w.activity(listed))
	for _, zone := range ended {
		w.changed(zone, false)
	}
	var interrupted []*Stream
	for _, zone := range declared {
		w.changed(zone, true)
		for s := range w.streams {
			if s.zone == zone && !s.interrupted {
				s.interrupted = true
				interrupted = append(interrupted, s)
			}
		}
	}
	return interrupted
}

// activity returns the state of each zone; the caller holds the lock.
func (w *Watch) activity(listed map[string]int) map[string]Activity {
	type server struct{ zone, name string }
	active := map[server]bool{}
	for s := range w.streams {
		if s.active && !s.interrupted {
			active[server{s.zone, s.server}] = true
		}
	}
	zones := map[string]Activity{}
	for zone, count := range listed {
		zones[zone] = Activity{Listed: count}
	}
	for s := range active {
		a := zones[s.zone]
		a.Active++
		zones[s.zone] = a
	}
	return zones
}

// SilentZones returns the names of the silent zones, in order.
func (w *Watch) SilentZones() []string {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var silent []string
	for name, z := range w.detector.zones {
		if z.silent {
			silent = append(silent, name)
		}
	}
	slices.Sort(silent)
	return silent
}
