// Package queue orders waiting requests fairly among workspaces. It is a
// weighted deficit round robin that counts tokens, with priorities inside each
// workspace, a limit on its length, and shedding of requests that can't meet
// their deadline.
//
// Rules of the queue:
//
//  1. Each waiting workspace gets quantum x weight tokens of credit a round,
//     and its head runs when the credit covers the expected tokens.
//  2. Expected tokens are the declared ones times the ratio of used to declared
//     tokens in the workspace's past answers. The difference to the tokens used
//     is charged when the request ends, so credit may be negative. Such a debt
//     is kept while the workspace is idle, and the rounds that pass meanwhile
//     repay it. A positive credit is not kept.
//  3. Inside a workspace, higher priority runs first, then earlier arrival.
//  4. The running time of a request is estimated from the slower past answers
//     of all workspaces, so that the same estimate applies to all. A workspace
//     whose requests are all refused gets no answers that could correct an
//     estimate. Estimates therefore decay without answers, a workspace that had
//     no request served for a while is judged by the mean, and the running time
//     of a request that waits alone is not considered. A request that can't meet
//     its deadline at the service rate of its workspace is refused on arrival;
//     one that can't meet it any more while it waits is shed. Either is final at
//     once, and no part of the request has run.
//  5. A full queue accepts a request of a workspace that has less than its fair
//     share of the capacity by shedding the last request of the workspace with
//     the most waiting requests for its weight.
//
// Every method of Queue is safe for concurrent use.
package queue

import (
	"fmt"
	"sync"
	"time"
)

// Item is a waiting request.
type Item struct {
	ID        string
	Workspace string
	Priority  int       // higher runs first
	Tokens    int       // cost declared by the caller; Pop returns it unchanged
	Deadline  time.Time // after it an answer is useless; zero means never
	Value     any       // for the caller; the queue does not read it

	charged  int    // expected tokens, charged until Settle
	sequence uint64 // order of arrival
}

// Result is how a request that Pop returned ended.
type Result struct {
	Used     int           // tokens
	Elapsed  time.Duration // running time; zero if unknown
	Complete bool          // the answer is complete
}

// Charged returns the tokens that the workspace is charged for the item until
// Settle.
func (i Item) Charged() int { return i.charged }

// Config configures a queue. Zero fields take the defaults.
type Config struct {
	// Quantum is the tokens of credit that weight one gets a round.
	Quantum int
	// Capacity is the most requests that wait, of all workspaces.
	Capacity int
	// Weights are the weights of workspaces; a missing one means one.
	Weights map[string]int
	// InitialRate is the tokens a second that the queue is assumed to serve
	// until a rate is measured.
	InitialRate float64
	// InitialSpeed is the tokens a second at which one request is assumed to run
	// until enough answers are known. Zero assumes no running time.
	InitialSpeed float64
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

// RefusedError reports that a request was refused or shed before any part of it
// ran. RetryAfter estimates when the same request may be accepted.
type RefusedError struct {
	ID         string
	Reason     string
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string { return fmt.Sprintf("request %s not run: %s", e.ID, e.Reason) }

// Shed is a request that was dropped while it waited. Its caller must get the
// refusal at once.
type Shed struct {
	Item
	Refusal RefusedError
}

// Queue holds the requests that wait for a group of backend servers. The zero
// value uses the defaults.
type Queue struct {
	mu         sync.Mutex
	config     Config
	flows      map[string]*flow // all workspaces seen
	ring       []*flow          // waiting workspaces in round-robin order
	turn       int              // index in ring of the workspace whose turn it is
	credited   bool             // this workspace has got the credit of its turn
	round      uint64           // rounds completed
	pops       uint64           // calls of Pop
	waiting    int              // requests that wait
	sequence   uint64           // of the last request accepted
	throughput throughputMeter
	pace       estimate // seconds of running time for each declared token
	usedRatio  average  // tokens used for each declared one, of all workspaces
	closed     bool
}

// New returns a queue with the given configuration.
func New(config Config) *Queue { return &Queue{config: config} }

// flow is the state of one workspace.
type flow struct {
	name       string
	weight     int
	items      []*Item   // ordered by rule 3
	backlog    int       // expected tokens of items
	credit     int       // tokens, see rules 1 and 2
	saved      int       // credit before the current Pop
	round      uint64    // Queue.round up to which an idle workspace's debt is repaid
	blockedPop uint64    // number of the last Pop that did not accept its head
	used       int64     // tokens charged in all
	lastPop    time.Time // when a request was last served
	usedRatio  average   // tokens used for each declared one
}

func (q *Queue) quantum() int {
	if q.config.Quantum > 0 {
		return q.config.Quantum
	}
	return DefaultQuantum
}

func (q *Queue) capacity() int {
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
