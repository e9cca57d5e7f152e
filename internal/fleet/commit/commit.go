// Package commit carries a conditional update of an object of the platform's
// store to a definite outcome, although answers may be lost and reads may be
// stale.
//
// The rules:
//
//  1. A write whose answer is lost is sent again unchanged. The condition on
//     the version lets at most one of the attempts take effect.
//  2. A conflict contains the version that the platform holds. Only a read of
//     that version or a later one is used; an older one is repeated.
//  3. If that read returns the value of this update, the update took effect.
//     Values must therefore be unique: each contains its writer and a number.
//  4. Until one of these has happened the outcome is unresolved, and the caller
//     must not assume either outcome.
package commit

// Op is the operation of a call.
type Op uint8

// The operations of the platform that an update uses.
const (
	Get Op = iota + 1
	Put
)

// Call is one call to the platform. It is comparable, so that it can be part of
// a model state of package explore.
type Call struct {
	Op     Op
	Key    string
	Value  string
	Expect uint64 // version that a Put replaces, zero if it creates the object
}

// Kind is the kind of an answer.
type Kind uint8

// The kinds of answers.
const (
	OK       Kind = iota + 1 // Version and Value are set; after a Put, Value may be empty
	NotFound                 // a Get found no object
	Conflict                 // a Put wrote nothing; Version is the current version of the object
	Unknown                  // a Put may have taken effect
	NoEffect                 // the call failed and had no effect
)

// Answer is the platform's answer to a Call.
type Answer struct {
	Kind    Kind
	Version uint64
	Value   string
}

// State is the state of an update.
type State uint8

// The states of an update.
const (
	Unresolved State = iota // the outcome is not known yet
	Won                     // the update took effect at Version
	Lost                    // another value was found at Version, or no object if that is zero
	Refused                 // no attempt took effect or ever will
)

// Update is one conditional update in progress. The zero value is not a valid
// update.
type Update struct {
	Key     string
	Value   string
	Expect  uint64 // version that the update replaces, zero if it creates the object
	State   State
	Version uint64 // of the object that decided the outcome, if Won or Lost
	Found   string // the value found at Version, if Lost
	unsure  bool   // an attempt may have taken effect
	need    uint64 // if set, the next call is a read of this version or a later one
}

// New returns an update of key from version expect to value.
func New(key, value string, expect uint64) Update {
	return Update{Key: key, Value: value, Expect: expect}
}

// Call returns the next call of the update.
func (u Update) Call() Call {
	if u.need > 0 {
		return Call{Op: Get, Key: u.Key}
	}
	return Call{Op: Put, Key: u.Key, Value: u.Value, Expect: u.Expect}
}

// Apply returns the update after an answer to its last call. NoEffect as the answer to
// the first call ends the update as Refused; to a later call, it leads to a repetition.
// A decided update doesn't change.
func (u Update) Apply(answer Answer) Update {
	if u.State != Unresolved {
		return u
	}
	if u.need > 0 {
		return u.applyRead(answer)
	}
	return u.applyWrite(answer)
}

// applyWrite returns the update after an answer to a Put.
func (u Update) applyWrite(answer Answer) Update {
	switch answer.Kind {
	case OK:
		u.State, u.Version = Won, answer.Version
	case Unknown:
		u.unsure = true // rule 1
	case Conflict:
		u.need = answer.Version // rule 2
		if answer.Version == 0 {
			u.State = Lost // the object does not exist, so there is nothing to read
		}
	case NoEffect:
		if !u.unsure {
			u.State = Refused
		}
	}
	return u
}

// applyRead returns the update after an answer to the Get that follows a conflict. The
// update has taken effect if the object has its value and an earlier answer was Unknown.
// An answer without an object changes nothing, so that the Get is repeated.
func (u Update) applyRead(answer Answer) Update {
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
