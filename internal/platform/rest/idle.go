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

// Clients provides the HTTP client for a server. Its idle connections are kept as long
// as the server's Keep-Alive header allows, or as Config says if the server has sent
// none. Servers with the same idle timeout share a client. It is safe for concurrent use.
type Clients struct {
	Config ClientConfig

	mu        sync.Mutex
	clients   map[time.Duration]*http.Client // by idle timeout
	singleUse *http.Client                   // keeps no connection
	idle      map[string]time.Duration       // of keepAliveTimeout, by server address
}

// Client returns the client for a server's address.
func (c *Clients) Client(address string) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	config := c.Config
	config.IdleTimeout = cmp.Or(c.idle[address], config.IdleTimeout)
	if c.clients == nil {
		c.clients = map[time.Duration]*http.Client{}
	}
	if c.clients[config.IdleTimeout] == nil {
		c.clients[config.IdleTimeout] = config.Client()
	}
	return c.clients[config.IdleTimeout]
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
// any, for later calls of Client.
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
