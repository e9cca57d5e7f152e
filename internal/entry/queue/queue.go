// Package queue orders waiting requests fairly among workspaces. It is a
// weighted deficit round robin that counts tokens, with priorities inside each
// workspace, bounds on length, and shedding of requests that can't meet their
// deadline.
//
// Rules of the queue:
//
//  1. Each workspace that waits gets quantum x weight tokens of credit a
//     round, and its head runs when the credit covers the expected tokens.
//  2. Expected tokens are the declared ones times what the workspace's past
//     answers used of theirs. The difference to the true tokens is charged
//     when the request ends. Credit may thus be negative; a debt outlives an
//     idle spell, and rounds that pass meanwhile repay it. A credit does not.
//  3. Inside a workspace a higher priority runs first, then the earlier.
//  4. The running time of a request is judged by that of the slower past
//     answers of all workspaces, so that all are judged alike. Who is refused
//     gets no answers that could correct an estimate. What was learned therefore
//     fades without answers, a workspace without service is judged by the mean,
//     and a lone request is tried. A request whose deadline can't be met at the rate of its workspace is
//     refused on arrival; one that becomes hopeless while it waits is shed.
//     Either is final at once, and nothing of it ran.
//  5. A full queue takes a request of a workspace below its fair part of the
//     places by shedding the last request of the longest workspace.
//
// Every method of Queue is safe for concurrent use.
package queue

import (
	"fmt"
	"sync"
	"time"
)

// Item is a waiting request. Tokens is the cost that its caller declares; Pop
// returns it as given, and Charged tells what the workspace was charged.
// Deadline is when an answer is of no use any more; zero means never.
type Item struct {
	ID        string
	Workspace string
	Priority  int // higher runs first
	Tokens    int
	Deadline  time.Time
	Value     any // the caller's own, not read here

	charged int
	order   uint64
}

// Result is how a request that Pop returned ended. Took is the time from Pop.
type Result struct {
	Used     int // tokens
	Elapsed  time.Duration
	Complete bool
}

// Charged returns the tokens that are charged for the item until Settle.
func (i Item) Charged() int { return i.charged }

// Config bounds a queue. Zero fields take the defaults.
type Config struct {
	Quantum      int            // tokens of credit a round for weight one
	Capacity     int            // requests waiting in all
	Weights      map[string]int // of workspaces; a missing one means one
	InitialRate  float64        // tokens a second served before any was measured
	InitialSpeed float64        // tokens a second of one request before any was measured; zero ignores it
}

// The defaults of Config.
const (
	DefaultQuantum     = 256
	DefaultCapacity    = 4096
	DefaultInitialRate = 1000
)

// The reasons of a RefusedError.
const (
	ReasonFull     = "queue full"
	ReasonDeadline = "deadline"
	ReasonClosed   = "closed"
)

// RefusedError says that a request was given up before any work, and when the
// same request has a chance.
type RefusedError struct {
	ID         string
	Reason     string
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string { return fmt.Sprintf("request %s not run: %s", e.ID, e.Reason) }

// Shed is a request that was given up while it waited. Its caller must get the
// refusal at once.
type Shed struct {
	Item
	Refusal RefusedError
}

// Queue is the waiting room before a group of backend servers. The zero value
// uses the defaults.
type Queue struct {
	mu      sync.Mutex
	config  Config
	flows   map[string]*flow
	ring    []*flow // waiting workspaces in round-robin order
	at      int     // place in the ring
	visited bool    // the workspace at this place has its credit for this turn
	round   uint64
	pops    uint64
	waiting int
	order   uint64
	rate    drain
	pace    estimate // seconds of running time for each token declared
	ratio   average  // tokens used for each one declared, of all workspaces
	closed  bool
}

// New returns a queue with bounds.
func New(config Config) *Queue { return &Queue{config: config} }

// flow is the state of one workspace.
type flow struct {
	name    string
	weight  int
	items   []*Item // ordered by rule 3
	backlog int     // expected tokens of items
	credit  int
	marked  int       // credit before the Pop under way
	round   uint64    // when it last left or joined the ring
	blocked uint64    // the last Pop that found its head unacceptable
	used    int64     // tokens charged in all
	served  time.Time // of the last Pop
	ratio   average   // tokens used for each one declared
}

func (q *Queue) quantum() int {
	if q.config.Quantum > 0 {
		return q.config.Quantum
	}
	return DefaultQuantum
}

func (q *Queue) places() int {
	if q.config.Capacity > 0 {
		return q.config.Capacity
	}
	return DefaultCapacity
}

func (q *Queue) weight(workspace string) int {
	if w := q.config.Weights[workspace]; w > 0 {
		return w
	}
	return 1
}
