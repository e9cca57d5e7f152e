// Package fault holds scripts of faults for the stand-ins. A stand-in asks its
// script at each step whether a fault is due, names the kinds that it can bring
// about there, and so a rule that can't happen is never counted as injected.
package fault

import (
	"context"
	"strings"
	"sync"
	"time"
)

// Step names a point in a stand-in at which faults can happen. Each stand-in
// defines its own.
type Step string

// Kind is what goes wrong.
type Kind string

// The kinds of faults.
const (
	Delay         Kind = "delay"          // the step starts late
	DropBefore    Kind = "drop-before"    // the connection ends before any effect
	DropAfter     Kind = "drop-after"     // the step takes effect, its answer is lost
	Refuse        Kind = "refuse"         // refused, truly without effect
	Crossed       Kind = "crossed"        // the answer belongs to another request
	Truncated     Kind = "truncated"      // the answer ends early
	Corrupt       Kind = "corrupt"        // the answer's bytes are damaged
	Doubled       Kind = "doubled"        // the answer or an event of it comes twice
	Crash         Kind = "crash"          // the process dies
	IgnoreFencing Kind = "ignore-fencing" // an old epoch is accepted
	Stale         Kind = "stale"          // an old state is shown
	Slow          Kind = "slow"           // each part of the answer comes late
	Down          Kind = "down"           // refused with 503, nothing said of the effect
	Limit         Kind = "limit"          // refused for its rate
	Unlabelled    Kind = "unlabelled"     // weight versions are left out
	Gapped        Kind = "gapped"         // events are lost
)

// Rule says that a kind of fault happens at a step, for subjects that contain
// Match.
type Rule struct {
	Step  Step
	Match string
	Kind  Kind
	After int           // matches to let pass first
	Count int           // times to happen; zero means every time
	Delay time.Duration // for Delay and Slow
	Gate  <-chan struct{}
}

// Wait waits for the rule's Delay, or until its Gate is closed when it has one,
// or until the context ends.
func (r Rule) Wait(ctx context.Context) {
	if r.Gate != nil {
		select {
		case <-r.Gate:
		case <-ctx.Done():
		}
		return
	}
	timer := time.NewTimer(r.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

type entry struct {
	rule Rule
	seen int
	done int
}

type mark struct {
	step Step
	kind Kind
}

// Script is a list of rules. The zero value holds none. It is safe for
// concurrent use.
type Script struct {
	mu       sync.Mutex
	entries  []*entry
	injected map[mark]int
	changed  chan struct{}
}

// Add appends a rule.
func (s *Script) Add(rule Rule) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = append(s.entries, &entry{rule: rule})
}

// Clear removes all rules and keeps the counts.
func (s *Script) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = nil
}

// Take returns the first rule that is due at the step for the subject and is of
// one of the kinds, and counts it as injected.
func (s *Script) Take(step Step, subject string, kinds ...Kind) (Rule, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, kind := range kinds {
		for _, e := range s.entries {
			if e.matches(step, subject, kind) && e.due() {
				s.count(step, kind)
				return e.rule, true
			}
		}
	}
	return Rule{}, false
}

func (e *entry) matches(step Step, subject string, kind Kind) bool {
	return e.rule.Step == step && e.rule.Kind == kind && strings.Contains(subject, e.rule.Match)
}

func (e *entry) due() bool {
	e.seen++
	if e.seen <= e.rule.After {
		return false
	}
	if e.rule.Count > 0 && e.done >= e.rule.Count {
		return false
	}
	e.done++
	return true
}

func (s *Script) count(step Step, kind Kind) {
	if s.injected == nil {
		s.injected = make(map[mark]int)
	}
	s.injected[mark{step, kind}]++
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Injected returns how often a kind of fault has happened at a step.
func (s *Script) Injected(step Step, kind Kind) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.injected[mark{step, kind}]
}

// Await waits until a kind of fault has happened at a step at least count
// times.
func (s *Script) Await(ctx context.Context, step Step, kind Kind, count int) error {
	for {
		s.mu.Lock()
		enough := s.injected[mark{step, kind}] >= count
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		if enough {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
