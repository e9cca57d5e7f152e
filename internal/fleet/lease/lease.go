// Package lease ensures that at most one process at a time holds a duty: a named task of
// a site, such as ordering backend servers. The shared state is kept in objects of the
// platform's store; the hosts share no clock.
//
// An order is a request that a holder sends by right of a duty it holds. The rules of the
// protocol:
//
//  1. A duty's object names its holder, the holder's session, and an epoch
//     that grows by one with each holder. It changes only when the holder does.
//  2. A host renews one session object, however many duties it holds, and none
//     while it neither holds a duty nor is about to take one. Each renewal is a
//     conditional update of the version that the previous one wrote.
//  3. A holder regards its duties as held until Term minus Margin has passed since
//     it sent the last renewal that took effect, by a clock that counts
//     suspend. It then stops by itself, whether or not it reaches the store.
//  4. A successor that saw no renewal for Term first marks the session
//     expelled, by a conditional update of the version that it saw. The update
//     fails if the holder has renewed meanwhile, and makes each later renewal fail.
//  5. The successor then waits until the old lease has certainly ended. The lease
//     began before the successor first saw the version that it marked, so it waits
//     until Term, Margin and OrderTimeout have passed since then. If it finds the
//     session replaced, or expelled by another host, it waits as long from that
//     moment. By then the old lease has ended and every order sent under it has
//     arrived or been lost, even if the two clocks differ in rate by Margin over
//     this time.
//  6. Only then does it take the duty's object, by a conditional update of the
//     version that it read before the wait.
//  7. A read may return an old value. It is used to find the version for a
//     conditional update, or as proof of a state that never ends: expelled, or
//     replaced when the session's object is younger than the duty's.
//  8. A holder that gives up a duty stops first, waits OrderTimeout and Margin, and
//     then releases the object; the next holder need not wait.
//  9. Where Config.SingleProcess is set, an earlier process of a host has ended before
//     the next one starts: a duty that it held is taken after OrderTimeout.
package lease

import (
	"fmt"
	"time"
)

// Config holds the times of the protocol. The zero value uses the defaults.
type Config struct {
	// Term is the time without a renewal after which a successor may expel a
	// holder's session.
	Term time.Duration
	// Margin is the allowance for clocks that differ in rate.
	Margin time.Duration
	// OrderTimeout is the longest time from the last check of a lease to the moment
	// when an order sent after it has arrived or never will.
	OrderTimeout time.Duration
	// Renew is the time between two renewals.
	Renew time.Duration
	// Poll is the time between two reads of an object that another host holds.
	Poll time.Duration
	// SingleProcess states that a host never runs two processes at once. Rule 9.
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

// withDefaults returns the configuration with the default for each time that is not set.
func (c Config) withDefaults() Config {
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

// ValidFor returns how long a lease lasts after the renewal was sent. Rule 3. The times
// must be set: it does not use the defaults.
func (c Config) ValidFor() time.Duration { return c.Term - c.Margin }

// TakeoverWait returns how long a successor waits for the old lease to end. Rule 5. The
// times must be set: it does not use the defaults.
func (c Config) TakeoverWait() time.Duration { return c.Term + c.Margin + c.OrderTimeout }

// Grant is the right to act for a duty until the instant Until of the holder's
// clock. Orders carry Epoch as their fencing token.
type Grant struct {
	Epoch uint64
	Until time.Duration
	Clock Clock // the clock of Until, set by Holder.Do
}

// Check returns an *ExpiredError if the grant has expired. It is called at the last
// moment before an order is sent. A grant without a clock is not checked.
func (g Grant) Check() error {
	if g.Clock == nil {
		return nil
	}
	if late := g.Clock.Now() - g.Until; late >= 0 {
		return &ExpiredError{Epoch: g.Epoch, Late: late}
	}
	return nil
}

// ExpiredError reports that a grant expired, Late ago, before its order was sent.
type ExpiredError struct {
	Epoch uint64
	Late  time.Duration
}

func (e *ExpiredError) Error() string {
	return fmt.Sprintf("grant of epoch %d expired %v ago", e.Epoch, e.Late)
}

// Prefixes of the keys of the objects.
const (
	SessionPrefix = "session/"
	DutyPrefix    = "duty/"
)
