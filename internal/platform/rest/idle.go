package rest

import (
	"cmp"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Servers close idle connections at their own times, and some say when, in the
// Keep-Alive header of their answers. A connection that is kept longer fails the
// next request; one that is kept shorter costs a new connection.

const (
	// idleMargin is kept of the time that a server says: a connection must not be
	// closed by it while a request is on its way.
	idleMargin = 1500 * time.Millisecond
	// longestIdle bounds what is kept open for a server.
	longestIdle = 30 * time.Second
	// mostServers bounds what is remembered; beyond it all is learned again.
	mostServers = 8192
)

// Clients hands out a client for each server, whose idle connections last as
// long as the server allows, or as long as Connections says while it has said
// nothing. Set Connections. It is safe for concurrent use.
type Clients struct {
	Config ClientConfig

	mu      sync.Mutex
	clients map[time.Duration]*http.Client // by how long they keep idle connections
	fresh   *http.Client                   // keeps no connection
	idle    map[string]time.Duration       // what servers said of that, by address
}

// Client returns the client for a server's address.
func (c *Clients) Client(address string) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	connections := c.Config
	connections.IdleTimeout = cmp.Or(c.idle[address], connections.IdleTimeout)
	if c.clients == nil {
		c.clients = map[time.Duration]*http.Client{}
	}
	if c.clients[connections.IdleTimeout] == nil {
		c.clients[connections.IdleTimeout] = connections.Client()
	}
	return c.clients[connections.IdleTimeout]
}

// SingleUse returns a client that opens a new connection for each call and keeps none.
func (c *Clients) SingleUse() *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fresh == nil {
		connections := c.Config
		connections.SingleUse = true
		c.fresh = connections.Client()
	}
	return c.fresh
}

// ObserveKeepAlive takes in the header of a server's answer.
func (c *Clients) ObserveKeepAlive(address string, header http.Header) {
	idle, ok := idleOf(header)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil || len(c.idle) >= mostServers {
		c.idle = map[string]time.Duration{}
	}
	c.idle[address] = idle
}

// idleOf returns how long an idle connection may be kept; false when the header
// says nothing that can be used.
func idleOf(header http.Header) (time.Duration, bool) {
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.Atoi(value)
		if name != "timeout" || err != nil || seconds <= 0 {
			continue
		}
		stated := time.Duration(seconds) * time.Second
		return min(longestIdle, stated-min(idleMargin, stated/2)), true
	}
	return 0, false
}
