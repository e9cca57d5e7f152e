// Package lease gives a duty to at most one process at a time. What has to be
// agreed stands in objects of the platform; no clock is shared.
//
// The rules:
//
//  1. A duty's object names its holder, the holder's session, and an epoch
//     that grows by one with each holder. It changes only when the holder does.
//  2. A host renews one session object, whatever it holds, and none while it
//     holds nothing. Each renewal is a conditional update of the one before.
//  3. A holder believes in its duties until Term less Margin has passed since
//     it sent the last renewal that took effect, by a clock that counts
//     suspend. It stops by itself after that, reachable or not.
//  4. A successor that saw no renewal for Term first marks the session
//     expelled, by a conditional update of the version that it saw. The update
//     fails if the holder renewed meanwhile, and makes each later renewal fail.
//  5. The successor then waits out the holder's belief, which began before the
//     successor first saw the version that it marked: it waits until Term,
//     Margin and OrderTimeout have passed since then. If it finds the session expelled
//     by another or replaced, it waits as long from there. The holder's belief,
//     and every order that it sent within it, has ended by then even if the two
//     clocks differ in rate by Margin over this time.
//  6. Only then it takes the duty's object, by a conditional update of the
//     version that it saw first.
//  7. A read may return an old value. It is used to find the version for a
//     conditional update, or as proof of a state that never ends: expelled, or
//     replaced when the session's object is younger than the duty's.
//  8. A holder that gives up a duty stops first, waits OrderTimeout and Margin, and then
//     releases the object; the next holder need not wait.
//  9. Where Config.SingleProcess is set, an earlier process of a host has ended before
//     the next one starts: what it held is taken again after OrderTimeout.
package lease

import (
	"fmt"
	"time"
)

// Config holds the times of the protocol. The zero value uses the defaults.
type Config struct {
	// Term is how long a holder may be silent before it is expelled.
	Term time.Duration
	// Margin covers clocks that differ in rate.
	Margin time.Duration
	// OrderTimeout is the longest time from the last check of a lease to the moment
	// when an order sent after it has arrived or never will.
	OrderTimeout time.Duration
	// Renew is the time between two renewals.
	Renew time.Duration
	// Poll is the time between two reads of an object that another holds.
	Poll time.Duration
	// SingleProcess says that a host never runs two processes at once. Rule 9.
	SingleProcess bool
}

// The default times.
const (
	DefaultTerm         = 10 * time.Second
	DefaultMargin       = 2 * time.Second
	DefaultOrderTimeout = 5 * time.Second
	DefaultRenew        = 2 * time.Second
	DefaultPoll         = 2 * time.Second
)

func (c Config) filled() Config {
	c.Term = orDefault(c.Term, DefaultTerm)
	c.Margin = orDefault(c.Margin, DefaultMargin)
	c.OrderTimeout = orDefault(c.OrderTimeout, DefaultOrderTimeout)
	c.Renew = orDefault(c.Renew, DefaultRenew)
	c.Poll = orDefault(c.Poll, DefaultPoll)
	return c
}

func orDefault(value, standard time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return standard
}

// ValidFor returns how long a renewal is believed in after it was sent. Rule 3.
func (c Config) ValidFor() time.Duration { return c.Term - c.Margin }

// TakeoverWait returns how long a successor waits out the old belief. Rule 5.
func (c Config) TakeoverWait() time.Duration { return c.Term + c.Margin + c.OrderTimeout }

// Grant is the right to act for a duty until the instant Until of the holder's
// clock. Orders carry Epoch.
type Grant struct {
	Epoch uint64
	Until time.Duration
	Clock Clock // that Until is of, set by Holder.Do
}

// Check says whether the belief still holds, for use at the last moment before an
// order leaves. The error is a *ExpiredError. A grant without a clock is not checked.
func (g Grant) Check() error {
	if g.Clock == nil {
		return nil
	}
	if late := g.Clock.Now() - g.Until; late >= 0 {
		return &ExpiredError{Epoch: g.Epoch, Late: late}
	}
	return nil
}

// ExpiredError says that a grant ended before its order left.
type ExpiredError struct {
	Epoch uint64
	Late  time.Duration
}

func (e *ExpiredError) Error() string {
	return fmt.Sprintf("grant of epoch %d ended %v ago", e.Epoch, e.Late)
}

// Prefixes of the keys of the objects.
const (
	SessionPrefix = "session/"
	DutyPrefix    = "duty/"
)
