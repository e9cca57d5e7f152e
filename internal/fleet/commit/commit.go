// Package commit brings a conditional update of the platform to a certain
// outcome, although answers get lost and reads may return old values.
//
// The rules:
//
//  1. A write whose answer is lost is sent again unchanged. The condition on
//     the version lets at most one of the copies take effect.
//  2. A conflict names the version that the platform holds. Only a read of
//     that version or a later one is looked at; an older one is read again.
//  3. If that read returns the value of this write, the write took effect.
//     Values must therefore be unique: each carries its writer and a number.
//  4. Until one of these has happened the outcome is open, and the caller
//     must not act on either.
package commit

// Op is what a call does.
type Op uint8

// The operations of the platform that a commit uses.
const (
	Get Op = iota + 1
	Put
)

// Call is one call to the platform. It is comparable, so that explored states
// can hold it.
type Call struct {
	Op     Op
	Key    string
	Value  string
	Expect uint64 // version that a Put replaces, zero when it creates
}

// Kind says how the platform answered.
type Kind uint8

// The kinds of answers.
const (
	OK       Kind = iota + 1 // Version and Value are set; after a Put, Version alone
	NotFound                 // a Get found no object
	Conflict                 // a Put wrote nothing; Version is the platform's
	Unknown                  // a Put may have taken effect
	NoEffect                 // the call had no effect
)

// Answer is the platform's answer to a Call.
type Answer struct {
	Kind    Kind
	Version uint64
	Value   string
}

// State says what is known about an update.
type State uint8

// The states of an update.
const (
	Unresolved State = iota // the outcome is not known yet
	Won                     // the update took effect at Version
	Lost                    // another value stands at Version
	Refused                 // no copy of the update took effect or ever will
)

// Update is one conditional update under way. The zero value is no update.
type Update struct {
	Key     string
	Value   string
	Expect  uint64
	State   State
	Version uint64 // of the object that decided, when Won or Lost
	Found   string // the value that stands instead, when Lost
	unsure  bool   // a copy of the write may have taken effect
	need    uint64 // the read must return this version or a later one
}

// New returns an update of key from version expect to value.
func New(key, value string, expect uint64) Update {
	return Update{Key: key, Value: value, Expect: expect}
}

// Call returns the call that the update makes next.
func (u Update) Call() Call {
	if u.need > 0 {
		return Call{Op: Get, Key: u.Key}
	}
	return Call{Op: Put, Key: u.Key, Value: u.Value, Expect: u.Expect}
}

// Apply returns the update after an answer to its call.
func (u Update) Apply(answer Answer) Update {
	if u.State != Unresolved {
		return u
	}
	if u.need > 0 {
		return u.read(answer)
	}
	return u.written(answer)
}

func (u Update) written(answer Answer) Update {
	switch answer.Kind {
	case OK:
		u.State, u.Version = Won, answer.Version
	case Unknown:
		u.unsure = true // rule 1
	case Conflict:
		u.need = answer.Version // rule 2
		if answer.Version == 0 {
			u.State = Lost
		}
	case NoEffect:
		if !u.unsure {
			u.State = Refused
		}
	}
	return u
}

func (u Update) read(answer Answer) Update {
	if answer.Kind != OK || answer.Version < u.need {
		return u // rule 2
	}
	u.Version = answer.Version
	if u.unsure && answer.Value == u.Value {
		u.State = Won // rule 3
		return u
	}
	u.State, u.Found = Lost, answer.Value
	return u
}
