package order

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/commit"
)

// SetDesired sets the command that a target should have accepted last.
func (s *State[C]) SetDesired(target string, command C) { s.desired[target] = command }

// Remove drops the desired and the confirmed command of a target that no longer
// exists. Its intents in the stored journal are not sent any more; one whose write
// is under way is still sent.
func (s *State[C]) Remove(target string) {
	delete(s.desired, target)
	delete(s.confirmed, target)
	for _, intent := range s.journal.Open {
		if intent.Target == target {
			s.completed[intent.ID] = true
		}
	}
}

// Observe records the command that a target was observed to follow, or none
// when ok is false. Each time a target is observed not to follow the desired
// command, even after it accepted it, Call plans a new intent, under a new ID,
// unless one is open.
func (s *State[C]) Observe(target string, command C, ok bool) {
	if ok {
		s.confirmed[target] = command
		return
	}
	delete(s.confirmed, target)
}

// Call returns the next call to the platform, if one is due. It plans new
// intents when the journal is stored.
func (s *State[C]) Call() (commit.Call, bool) {
	switch s.phase {
	case loading:
		return commit.Call{Op: commit.Get, Key: JournalPrefix + s.Duty}, true
	case writing:
		return s.update.Call(), true
	case ready:
		if s.plan() {
			return s.update.Call(), true
		}
	case stopped:
	}
	return commit.Call{}, false
}

// Apply applies the answer to the last call.
func (s *State[C]) Apply(answer commit.Answer) {
	switch s.phase {
	case loading:
		s.load(answer)
	case writing:
		s.update = s.update.Apply(answer)
		s.applyWrite()
	case ready, stopped:
	}
}

// load starts to write the journal that was read, now under this holder's epoch.
// It stops when the journal can't be decoded or has a later epoch. Rule 1.
func (s *State[C]) load(answer commit.Answer) {
	var found Journal[C]
	switch answer.Kind {
	case commit.NotFound:
		s.version = 0
	case commit.OK:
		if json.Unmarshal([]byte(answer.Value), &found) != nil {
			s.phase = stopped
			return
		}
		s.version = answer.Version
	default:
		return
	}
	if found.Epoch > s.Epoch {
		s.phase = stopped
		return
	}
	if found.Epoch < s.Epoch {
		found.Sequence, found.Write = 0, 0
	}
	s.write(found)
}

// write starts to store a journal under this holder's epoch.
func (s *State[C]) write(next Journal[C]) {
	next.Duty, next.Epoch = s.Duty, s.Epoch
	next.Write++
	value, err := json.Marshal(next)
	if err != nil {
		s.phase = stopped
		return
	}
	s.next = next
	s.update = commit.New(JournalPrefix+s.Duty, string(value), s.version)
	s.phase = writing
}

// applyWrite acts on the state of the journal write.
func (s *State[C]) applyWrite() {
	switch s.update.State {
	case commit.Won:
		s.version = s.update.Version
		s.journal = s.next
		s.phase = ready
		s.pruneIntents()
	case commit.Lost:
		s.reload()
	case commit.Refused:
		s.phase = loading
	case commit.Unresolved:
	}
}

// reload loads the journal that won over this holder's write. Either the read
// before the write was stale, or another holder has written the journal.
func (s *State[C]) reload() {
	s.phase = loading
	s.load(commit.Answer{Kind: commit.OK, Version: s.update.Version, Value: s.update.Found})
}

// plan starts a journal write that adds an intent for each target that needs a
// command, and reports whether there is one. Rule 2.
func (s *State[C]) plan() bool {
	next := s.journal
	next.Open = s.openIntents()
	busy := map[string]bool{}
	for _, intent := range next.Open {
		busy[intent.Target] = true
	}
	added := 0
	for _, target := range s.unconfirmedTargets() {
		if busy[target] || len(next.Open) >= MaxOpenIntents {
			continue // rule 3
		}
		next.Sequence++
		added++
		next.Open = append(next.Open, Intent[C]{ID: s.intentID(next.Sequence), Target: target, Command: s.desired[target]})
	}
	if added == 0 {
		return false
	}
	s.write(next)
	return true
}

// openIntents returns the journaled intents that still have to be sent. An
// intent that was refused and is no longer desired is left out.
func (s *State[C]) openIntents() []Intent[C] {
	var open []Intent[C]
	for _, intent := range s.journal.Open {
		if s.completed[intent.ID] || s.refused[intent.ID] && s.desired[intent.Target] != intent.Command {
			continue
		}
		open = append(open, intent)
	}
	return open
}

// unconfirmedTargets returns the targets whose confirmed command isn't the
// desired one, sorted.
func (s *State[C]) unconfirmedTargets() []string {
	var targets []string
	for target, command := range s.desired {
		if confirmed, ok := s.confirmed[target]; !ok || confirmed != command {
			targets = append(targets, target)
		}
	}
	slices.Sort(targets)
	return targets
}

// RecordOutcome records the outcome of sending an intent; now is the time since
// an arbitrary start, the same for all calls. A refused intent may be dropped
// only if no earlier send of it can still have an effect at now. Rule 3.
func (s *State[C]) RecordOutcome(intent Intent[C], outcome Outcome, now time.Duration) {
	switch outcome {
	case Accepted:
		s.completed[intent.ID] = true
		s.confirmed[intent.Target] = intent.Command
	case Refused:
		s.refused[intent.ID] = now >= s.mayTakeEffectUntil[intent.ID]
	case OutcomeUnknown:
		delete(s.refused, intent.ID)
		s.mayTakeEffectUntil[intent.ID] = now + s.OrderTimeout
	case Fenced:
		s.phase = stopped
	}
}

// pruneIntents drops the recorded outcomes of intents that the journal no longer
// holds.
func (s *State[C]) pruneIntents() {
	open := map[string]bool{}
	for _, intent := range s.journal.Open {
		open[intent.ID] = true
	}
	maps.DeleteFunc(s.completed, func(id string, _ bool) bool { return !open[id] })
	maps.DeleteFunc(s.refused, func(id string, _ bool) bool { return !open[id] })
	maps.DeleteFunc(s.mayTakeEffectUntil, func(id string, _ time.Duration) bool { return !open[id] })
}
