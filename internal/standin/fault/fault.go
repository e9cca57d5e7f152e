// Package fault provides scripted fault injection for the stand-ins. At each step a
// stand-in asks its script whether a fault is due, and passes the kinds that it can
// inject there. So a rule that can't take effect is never counted as injected.
package fault

import (
	"context"
	"strings"
	"sync"
	"time"
)

// Step is the name of a point in a stand-in at which faults can be injected. Each
// stand-in defines its own steps.
type Step string

// Kind is the kind of a fault.
type Kind string

// The kinds of faults.
const (
	Delay         Kind = "delay"          // the step starts late
	DropBefore    Kind = "drop-before"    // the connection ends before any effect
	DropAfter     Kind = "drop-after"     // the step takes effect, but its response is lost
	Refuse        Kind = "refuse"         // refused, with certainty that it had no effect
	Crossed       Kind = "crossed"        // the response belongs to another request
	Truncated     Kind = "truncated"      // the response ends early
	Corrupt       Kind = "corrupt"        // the bytes of the response are corrupted
	Doubled       Kind = "doubled"        // a request is executed twice, or an event of a response is sent twice
	Crash         Kind = "crash"          // the process crashes
	IgnoreFencing Kind = "ignore-fencing" // a command or an order of an old epoch is accepted
	Stale         Kind = "stale"          // an old state is reported
	Slow          Kind = "slow"           // each part of the response is delayed
	Down          Kind = "down"           // 503 before any effect, but without stating that there was none
	Limit         Kind = "limit"          // refused by a rate limit
	Unlabelled    Kind = "unlabelled"     // weights versions are left out
	Gapped        Kind = "gapped"         // events are lost
)

// Rule injects a kind of fault at a step, for subjects that contain Match. Delay is used by
// the kinds Delay and Slow; at some steps it is also the age that Stale adds and the retry
// wait that Limit asks for.
type Rule struct {
	Step  Step
	Match string
	Kind  Kind
	After int // number of matches before the first injection
	Count int // maximum number of injections; zero means no limit
	Delay time.Duration
	Gate  <-chan struct{} // replaces Delay in Wait when set
}

// Wait waits for the rule's Delay, or until its Gate is closed if it has one. It
// returns early when the context ends.
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

// entry is a rule with its counts.
type entry struct {
	rule     Rule
	matched  int // number of times that the rule matched
	injected int // number of times that it was injected
}

// counter identifies the count of the injections of a kind at a step.
type counter struct {
	step Step
	kind Kind
}

// Script is a list of rules. The zero value has no rules. It is safe for
// concurrent use.
type Script struct {
	mu       sync.Mutex
	entries  []*entry
	injected map[counter]int
	changed  chan struct{} // closed at the next injection; nil if nobody waits
}

// Add appends a rule.
func (s *Script) Add(rule Rule) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = append(s.entries, &entry{rule: rule})
}

// Clear removes all rules. The counts of injected faults stay.
func (s *Script) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = nil
}

// Take returns a rule that is due at the step for the subject, and counts it as
// injected. It tries the kinds in the given order, and the rules of a kind in the
// order in which they were added. It stops at the first rule that is due; rules that it
// doesn't reach count no match.
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

// matches reports whether the rule applies.
func (e *entry) matches(step Step, subject string, kind Kind) bool {
	return e.rule.Step == step && e.rule.Kind == kind && strings.Contains(subject, e.rule.Match)
}

// due counts a match and reports whether the fault is to be injected now.
func (e *entry) due() bool {
	e.matched++
	if e.matched <= e.rule.After {
		return false
	}
	if e.rule.Count > 0 && e.injected >= e.rule.Count {
		return false
	}
	e.injected++
	return true
}

// count counts an injection and wakes the callers of Await.
func (s *Script) count(step Step, kind Kind) {
	if s.injected == nil {
		s.injected = make(map[counter]int)
	}
	s.injected[counter{step, kind}]++
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Injected returns how often a kind of fault has been injected at a step.
func (s *Script) Injected(step Step, kind Kind) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.injected[counter{step, kind}]
}

// Await waits until a kind of fault has been injected at a step at least count times. It
// returns the context's error if the context ends first.
func (s *Script) Await(ctx context.Context, step Step, kind Kind, count int) error {
	for {
		s.mu.Lock()
		reached := s.injected[counter{step, kind}] >= count
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		if reached {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
