package rest

import (
	"cmp"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Servers differ in how long they keep idle connections open. Some state it in the
// Keep-Alive header of their responses. A connection that the client keeps longer fails
// the next request; one that it keeps shorter costs a new connection.

const (
	// idleMargin is subtracted from the time that a server states, so that it doesn't
	// close a connection while a request is on its way. Half of a time below twice the
	// margin is kept.
	idleMargin = 1500 * time.Millisecond
	// maxIdle limits the time for which an idle connection is kept.
	maxIdle = 30 * time.Second
	// maxServers limits the number of servers whose idle time is remembered. Beyond it
	// all are dropped and learned again.
	maxServers = 8192
)

// Clients provides the HTTP client for servers. All servers share a client, so that a
// connection that was opened before its server stated an idle timeout is used again
// afterwards. It is safe for concurrent use.
type Clients struct {
	Config ClientConfig // IdleTimeout is that of a server that states none

	mu        sync.Mutex
	client    *http.Client
	singleUse *http.Client             // keeps no connection
	idle      map[string]time.Duration // of keepAliveTimeout, by server address
}

// Client returns the client of all servers. Its callers set Caller.MaxIdle to MaxIdle.
func (c *Clients) Client() *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client == nil {
		config := c.Config
		config.IdleTimeout = maxIdle
		c.client = config.Client()
	}
	return c.client
}

// MaxIdle returns how long a connection to a server may have been idle to be used again: as
// long as the server's Keep-Alive header allows, or as Config says if it has sent none.
func (c *Clients) MaxIdle(address string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return cmp.Or(c.idle[address], c.Config.IdleTimeout)
}

// SingleUse returns a client that opens a new connection for each call and keeps none.
func (c *Clients) SingleUse() *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.singleUse == nil {
		config := c.Config
		config.SingleUse = true
		c.singleUse = config.Client()
	}
	return c.singleUse
}

// ObserveKeepAlive records the idle timeout that a server's response header states, if
// any, for later calls of MaxIdle.
func (c *Clients) ObserveKeepAlive(address string, header http.Header) {
	idle, ok := keepAliveTimeout(header)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil || len(c.idle) >= maxServers {
		c.idle = map[string]time.Duration{}
	}
	c.idle[address] = idle
}

// keepAliveTimeout returns how long to keep an idle connection: the timeout that the
// Keep-Alive header states less idleMargin, at most maxIdle. It returns false if the header
// has no valid timeout.
func keepAliveTimeout(header http.Header) (time.Duration, bool) {
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.Atoi(value)
		if name != "timeout" || err != nil || seconds <= 0 {
			continue
		}
		stated := time.Duration(seconds) * time.Second
		return min(maxIdle, stated-min(idleMargin, stated/2)), true
	}
	return 0, false
}
