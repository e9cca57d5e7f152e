// Package steps runs the steps of trainers that this host owns, and forwards calls about
// other steps to their owners.
//
// The host at which a step is opened becomes its owner. Any host accepts calls about a
// step: it reads the owner from the step's object in the platform, and takes the step over
// if the owner is not live.
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

// maxOwned is the maximum number of steps that one host owns at a time.
const maxOwned = 256

// deliveredRetention is the interval at which an owner releases its step if all samples have
// been delivered or the step was canceled. Until then it answers late calls itself.
const deliveredRetention = 10 * time.Minute

// Fleet locates other hosts.
type Fleet interface {
	// Address returns the link address of a live host of any zone.
	Address(host string) (string, bool)
	// CopyHosts returns the live hosts that should store copies for a key, in order
	// of preference and without this host.
	CopyHosts(key string) []string
}

// Meter counts the samples delivered to the trainers of a workspace, and their tokens.
type Meter interface {
	Delivered(ctx context.Context, workspace string, samples, tokens uint64) error
}

// Config holds the dependencies of Steps. Meter may be nil.
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
	Observe   func(Delivery) // called at the first delivery of each chunk; may be nil
	Log       event.Log
}

// Steps runs the steps that this host owns and routes calls about all others. Use New.
type Steps struct {
	config Config
	copies *copies

	mu        sync.Mutex
	owned     map[step.ID]*owned
	owners    map[step.ID]string       // cache of the owners of steps
	histories map[string]*step.History // by workspace
	closed    bool
}

// owned is a step that this host owns.
type owned struct {
	owner      *step.Owner
	unregister func()          // ends the registration with the gate
	counted    map[uint64]bool // cursors whose samples have been metered
	opened     time.Time       // when the step was opened; zero if unknown
	stale      int             // stale samples already reported to Config.Observe
}

// New returns the Steps of a host and registers the handlers for calls of other hosts.
func New(config Config) *Steps {
	s := &Steps{
		config:    config,
		owned:     make(map[step.ID]*owned),
		owners:    make(map[step.ID]string),
		histories: make(map[string]*step.History),
	}
	s.copies = newCopies(config)
	s.serve()
	return s
}

// Close stops every step that this host owns. Another host takes a step over when it gets
// a call about it.
func (s *Steps) Close() {
	s.mu.Lock()
	s.closed = true
	all := s.owned
	s.owned = make(map[step.ID]*owned)
	s.mu.Unlock()
	for _, o := range all {
		o.unregister()
		_ = o.owner.Close()
	}
}

// OwnedCount returns the number of steps that this host owns.
func (s *Steps) OwnedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.owned)
}

// history returns the generation history of a workspace, which its steps share.
func (s *Steps) history(workspace string) *step.History {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.histories[workspace]
	if h == nil {
		h = &step.History{}
		s.histories[workspace] = h
	}
	return h
}
