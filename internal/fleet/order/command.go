package order

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/commit"
)

// Want sets the command that a target should have had last.
func (d *Desk[C]) Want(target string, command C) { d.wanted[target] = command }

// Forget ends what is wanted of a target that is gone, and its open order.
func (d *Desk[C]) Forget(target string) {
	delete(d.wanted, target)
	delete(d.settled, target)
	for _, intent := range d.journal.Open {
		if intent.Target == target {
			d.closed[intent.ID] = true
		}
	}
}

// Observe says what a target shows to be in force: the command that it was
// found to follow, or none. A target that lacks what it accepted is ordered
// once more, under a new ID.
func (d *Desk[C]) Observe(target string, command C, ok bool) {
	if ok {
		d.settled[target] = command
		return
	}
	delete(d.settled, target)
}

// Call returns the next call to the platform, if one is due.
func (d *Desk[C]) Call() (commit.Call, bool) {
	switch d.phase {
	case loading:
		return commit.Call{Op: commit.Get, Key: JournalPrefix + d.Duty}, true
	case writing:
		return d.update.Call(), true
	case ready:
		if d.plan() {
			return d.update.Call(), true
		}
	case over:
	}
	return commit.Call{}, false
}

// Answer takes the answer to the call.
func (d *Desk[C]) Answer(answer commit.Answer) {
	switch d.phase {
	case loading:
		d.load(answer)
	case writing:
		d.update = d.update.Apply(answer)
		d.written()
	case ready, over:
	}
}

// load takes over the journal of the holder before. Rule 1.
func (d *Desk[C]) load(answer commit.Answer) {
	var found Journal[C]
	switch answer.Kind {
	case commit.NotFound:
		d.version = 0
	case commit.OK:
		if json.Unmarshal([]byte(answer.Value), &found) != nil {
			d.phase = over
			return
		}
		d.version = answer.Version
	default:
		return
	}
	if found.Epoch > d.Epoch {
		d.phase = over
		return
	}
	if found.Epoch < d.Epoch {
		found.Sequence, found.Write = 0, 0
	}
	d.write(found)
}

func (d *Desk[C]) write(next Journal[C]) {
	next.Duty, next.Epoch = d.Duty, d.Epoch
	next.Write++
	value, err := json.Marshal(next)
	if err != nil {
		d.phase = over
		return
	}
	d.next = next
	d.update = commit.New(JournalPrefix+d.Duty, string(value), d.version)
	d.phase = writing
}

func (d *Desk[C]) written() {
	switch d.update.State {
	case commit.Won:
		d.version = d.update.Version
		d.journal = d.next
		d.phase = ready
		d.tidy()
	case commit.Lost:
		d.lost()
	case commit.Refused:
		d.phase = loading
	case commit.Unresolved:
	}
}

// lost looks at who wrote instead: the read that took over was old, or another
// holder has the journal.
func (d *Desk[C]) lost() {
	d.phase = loading
	d.load(commit.Answer{Kind: commit.OK, Version: d.update.Version, Value: d.update.Found})
}

// plan starts to write new intents. Rule 2.
func (d *Desk[C]) plan() bool {
	next := d.journal
	next.Open = d.left()
	busy := map[string]bool{}
	for _, intent := range next.Open {
		busy[intent.Target] = true
	}
	added := 0
	for _, target := range d.targets() {
		if busy[target] || len(next.Open) >= MaxOpen {
			continue // rule 3
		}
		next.Sequence++
		added++
		next.Open = append(next.Open, Intent[C]{ID: d.id(next.Sequence), Target: target, Command: d.wanted[target]})
	}
	if added == 0 {
		return false
	}
	d.write(next)
	return true
}

// left returns the intents that are not done with. One that was refused and is
// wanted no longer is done with too.
func (d *Desk[C]) left() []Intent[C] {
	var left []Intent[C]
	for _, intent := range d.journal.Open {
		if d.closed[intent.ID] || d.refused[intent.ID] && d.wanted[intent.Target] != intent.Command {
			continue
		}
		left = append(left, intent)
	}
	return left
}

// targets returns those that lack the command that is wanted, in order.
func (d *Desk[C]) targets() []string {
	var targets []string
	for target, command := range d.wanted {
		if settled, ok := d.settled[target]; !ok || settled != command {
			targets = append(targets, target)
		}
	}
	slices.Sort(targets)
	return targets
}

// Sent notes how a send of an intent ended. Rule 3.
func (d *Desk[C]) Sent(intent Intent[C], outcome Outcome, now time.Duration) {
	switch outcome {
	case Accepted:
		d.closed[intent.ID] = true
		d.settled[intent.Target] = intent.Command
	case Refused:
		d.refused[intent.ID] = now >= d.doubt[intent.ID]
	case Unclear:
		delete(d.refused, intent.ID)
		d.doubt[intent.ID] = now + d.Flight
	case Fenced:
		d.phase = over
	}
}

// tidy forgets the marks of intents that the journal no longer holds.
func (d *Desk[C]) tidy() {
	open := map[string]bool{}
	for _, intent := range d.journal.Open {
		open[intent.ID] = true
	}
	maps.DeleteFunc(d.closed, func(id string, _ bool) bool { return !open[id] })
	maps.DeleteFunc(d.refused, func(id string, _ bool) bool { return !open[id] })
	maps.DeleteFunc(d.doubt, func(id string, _ time.Duration) bool { return !open[id] })
}
