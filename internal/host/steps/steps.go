// Package steps runs the steps of trainers on this host and passes calls about
// a step on to the host that owns it.
//
// The host that a step is opened at becomes its owner. Any host may be asked
// about a step: it reads the owner from the step's object in the platform, and
// takes the step over when the owner is gone.
package steps

import (
	"context"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/entry/gate"
	"github.com/hyssopwall/hyssopwall/internal/fleet/link"
	"github.com/hyssopwall/hyssopwall/internal/rollout/step"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// maxOwned bounds the steps that one host owns at a time.
const maxOwned = 256

// wholeFor is how long a whole step stays at its owner for late questions.
const wholeFor = 10 * time.Minute

// Fleet tells where other hosts are.
type Fleet interface {
	// Address returns the link address of a live host of any zone.
	Address(host string) (string, bool)
	// CopyHosts returns the live hosts that should keep copies of what this host
	// owns, most wanted first, this host excluded.
	CopyHosts(key string) []string
}

// Meter counts the samples that a trainer was handed.
type Meter interface {
	Delivered(ctx context.Context, workspace string, samples, tokens uint64) error
}

// Config is what the steps need from their host.
type Config struct {
	Host      string
	Store     step.Store
	Generator func(workspace string) step.Generator
	Scorer    func(workspace, service string) step.Scorer
	Weights   step.Weights
	Gate      *gate.Gate
	Fleet     Fleet
	Endpoint  *link.Endpoint
	Meter     Meter
	Observe   func(Delivery) // of each first hand-over; may be nil
	Log       event.Log
}

// Steps holds the steps that this host owns. Use New.
type Steps struct {
	config Config
	copies *copies

	mu     sync.Mutex
	owned  map[step.ID]*owned
	owners map[step.ID]string // last known owners of other hosts
	past   map[string]*step.History
	closed bool
}

// owned is a step of this host.
type owned struct {
	owner   *step.Owner
	leave   func()
	counted map[uint64]bool // cursors whose samples are counted
	opened  time.Time       // zero while it is not known
	stale   int             // samples found too old that were reported
}

// New returns the steps of a host and answers other hosts' calls about them.
func New(config Config) *Steps {
	s := &Steps{
		config: config,
		owned:  make(map[step.ID]*owned),
		owners: make(map[step.ID]string),
		past:   make(map[string]*step.History),
	}
	s.copies = newCopies(config)
	s.serve()
	return s
}

// Close stops every step of this host; another host takes each over when its
// trainer asks.
func (s *Steps) Close() {
	s.mu.Lock()
	s.closed = true
	all := s.owned
	s.owned = make(map[step.ID]*owned)
	s.mu.Unlock()
	for _, o := range all {
		o.leave()
		_ = o.owner.Close()
	}
}

// OwnedCount returns the number of steps that this host owns.
func (s *Steps) OwnedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.owned)
}

func (s *Steps) history(workspace string) *step.History {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.past[workspace]
	if h == nil {
		h = &step.History{}
		s.past[workspace] = h
	}
	return h
}
