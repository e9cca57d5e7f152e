package intake

import (
	"bytes"
	"cmp"
	"slices"
	"sync"
	"time"
)

// ConnectionLimits are those of Connections.
type ConnectionLimits struct {
	Max         int           // number of connections, zero for no limit
	HeadBytes   int           // of one request's head, zero for no limit
	Unbudgeted  int64         // memory of all heads and FreeBytes of bodies, in bytes, zero for no limit
	HeadTimeout time.Duration // from the first byte of a head, or the connection's start, to its end
	IdleTimeout time.Duration // between two requests
}

// headSlack is read beyond a head that is within its limit: the server reads ahead.
const headSlack = 4 << 10

// The reasons for closing a connection.
const (
	ReasonConnections = "too many connections"
	ReasonHeadTime    = "no complete head in time"
	ReasonIdle        = "idle for too long"
	ReasonHeadSize    = "head is too large"
	ReasonHeads       = "heads and small bodies take too much memory"
)

// Memory of a head: it is kept as it arrived, as strings, and as an entry of a map for each
// field.
const (
	headByteCost = 3   // bytes for each byte
	fieldCost    = 100 // bytes for each line
)

// Connections decides which connections of callers are closed. The zero value has no limits.
// It is safe for concurrent use.
type Connections struct {
	mu         sync.Mutex
	limits     ConnectionLimits
	all        map[*Connection]bool
	unbudgeted int64 // sum of those of all connections
}

// Connection is what Connections knows of one connection.
type Connection struct {
	Close func() // closes it

	connections *Connections
	unbudgeted  int64 // memory of the head and of the part of the body that no Budget charges; guarded by connections.mu

	mu        sync.Mutex
	busy      bool // a request is under way
	arrived   bool // it has arrived as a whole
	first     bool // no request has been under way yet
	idleSince time.Time
	received  time.Time // when the latest bytes arrived
	headSince time.Time // arrival of the first byte of the current head, zero before
	headBytes int       // that have arrived since idleSince
	pipelined int       // number of requests for which the connection still counts as pipelining
}

// SetLimits changes the limits.
func (c *Connections) SetLimits(limits ConnectionLimits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = limits
}

// Add adds a new connection. If there are more than Max then, it returns the one to close: that
// on which nothing has arrived for the longest time, unless a complete request is under way
// there, or the new one if there is none.
func (c *Connections) Add(now time.Time, closeIt func()) (added, closed *Connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.all == nil {
		c.all = map[*Connection]bool{}
	}
	added = &Connection{Close: closeIt, connections: c, first: true, idleSince: now, received: now, headSince: now}
	c.all[added] = true
	if c.limits.Max <= 0 || len(c.all) <= c.limits.Max {
		return added, nil
	}
	closed = added
	longest := now
	for other := range c.all {
		if since, idle := other.idle(); idle && since.Before(longest) {
			closed, longest = other, since
		}
	}
	c.remove(closed)
	return added, closed
}

// remove removes a connection. The caller holds c.mu, as of the following method.
func (c *Connections) remove(connection *Connection) {
	if c.all[connection] {
		delete(c.all, connection)
		c.unbudgeted -= connection.unbudgeted
	}
}

// evict removes connections until what is left is within the limit, and returns them: those
// that take the most, and among equal ones those on which nothing has arrived for the longest
// time. Complete requests are left.
func (c *Connections) evict() []*Connection {
	if c.limits.Unbudgeted <= 0 || c.unbudgeted <= c.limits.Unbudgeted {
		return nil
	}
	type candidate struct {
		*Connection
		since time.Time
	}
	var candidates []candidate
	for other := range c.all {
		if since, incomplete := other.idle(); incomplete && other.unbudgeted > 0 {
			candidates = append(candidates, candidate{other, since})
		}
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(y.unbudgeted, x.unbudgeted), x.since.Compare(y.since))
	})
	var evicted []*Connection
	for _, other := range candidates {
		if c.unbudgeted <= c.limits.Unbudgeted {
			break
		}
		c.remove(other.Connection)
		evicted = append(evicted, other.Connection)
	}
	return evicted
}

// Hold charges n bytes of memory to the connection until its request ends. It returns the
// connections to close.
func (c *Connection) Hold(n int64) []*Connection {
	all := c.connections
	all.mu.Lock()
	defer all.mu.Unlock()
	if !all.all[c] {
		return nil
	}
	c.unbudgeted += n
	all.unbudgeted += n
	return all.evict()
}

// TakesTooMuch reports whether the connection's request should be refused: heads and small
// bodies exceed their limit, and it has more than an equal share of that.
func (c *Connection) TakesTooMuch() bool {
	all := c.connections
	all.mu.Lock()
	defer all.mu.Unlock()
	limit := all.limits.Unbudgeted
	return limit > 0 && all.unbudgeted > limit && c.unbudgeted > limit/int64(len(all.all)+1)
}

// Remove forgets a connection that is closed.
func (c *Connection) Remove() {
	c.connections.mu.Lock()
	defer c.connections.mu.Unlock()
	c.connections.remove(c)
}

// Count returns the number of connections.
func (c *Connections) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.all)
}

// Expired returns the connections whose head or idle time is over, by the reason.
func (c *Connections) Expired(now time.Time) map[*Connection]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	expired := map[*Connection]string{}
	for other := range c.all {
		if reason := other.expired(now, c.limits); reason != "" {
			expired[other] = reason
		}
	}
	return expired
}

// expired returns the reason for closing the connection, or "".
func (c *Connection) expired(now time.Time, limits ConnectionLimits) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.busy:
		return ""
	case !c.headSince.IsZero():
		if limits.HeadTimeout > 0 && now.Sub(c.headSince) > limits.HeadTimeout {
			return ReasonHeadTime
		}
	case limits.IdleTimeout > 0 && now.Sub(c.idleSince) > limits.IdleTimeout:
		return ReasonIdle
	}
	return ""
}

// idle returns since when nothing has arrived, or false if a complete request is under way.
func (c *Connection) idle() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		return c.received, !c.arrived
	}
	return later(c.idleSince, c.received), true
}

// later returns the later one of two times.
func later(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// Arrive records that the request under way has arrived as a whole.
func (c *Connection) Arrive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrived = true
}

// Receive records that bytes have arrived. It returns whether the head is within its limit,
// and the connections to close since heads take too much memory.
func (c *Connection) Receive(now time.Time, data []byte) (within bool, evicted []*Connection) {
	size := c.addHeadBytes(now, len(data))
	if size == 0 {
		return true, nil
	}
	evicted = c.Hold(headByteCost*int64(len(data)) + fieldCost*int64(bytes.Count(data, []byte{'\n'})))
	if size <= headSlack {
		return true, evicted
	}
	limit := c.connections.headLimit()
	return limit <= 0 || size-headSlack <= limit, evicted
}

// addHeadBytes counts n bytes of a head and returns their sum, 0 while a request is under way.
func (c *Connection) addHeadBytes(now time.Time, n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received = now
	if c.busy {
		return 0
	}
	if c.headSince.IsZero() {
		c.headSince = now
	}
	c.headBytes += n
	return c.headBytes
}

// headLimit returns ConnectionLimits.HeadBytes.
func (c *Connections) headLimit() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limits.HeadBytes
}

const (
	// minHeadBytes is less than any head has. A request of which fewer bytes arrived after
	// the response to the previous one was sent before that response.
	minHeadBytes = 16
	// pipelinedRequests is for how many requests a connection counts as pipelining after one
	// that was sent early: only those are noticed that fit into the buffer with the previous one.
	pipelinedRequests = 64
)

// Begin records that a request is under way. It reports whether the caller sends requests
// without waiting for the responses.
func (c *Connection) Begin() (pipelining bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.first && c.headBytes < minHeadBytes:
		c.pipelined = pipelinedRequests
	case c.pipelined > 0:
		c.pipelined--
	}
	c.busy, c.arrived, c.first = true, false, false
	return c.pipelined > 0
}

// End records that the response to a request has been written.
func (c *Connection) End(now time.Time) {
	c.release()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.idleSince, c.headSince, c.headBytes = false, now, time.Time{}, 0
}

// release gives back what the connection holds.
func (c *Connection) release() {
	all := c.connections
	all.mu.Lock()
	defer all.mu.Unlock()
	if all.all[c] {
		all.unbudgeted -= c.unbudgeted
		c.unbudgeted = 0
	}
}
