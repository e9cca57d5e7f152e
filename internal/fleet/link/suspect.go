package link

import (
	"net/netip"
	"time"
)

// doubtTime is how long a doubted peer has to give a sign of life.
const doubtTime = 3 * time.Second

// Suspect says that the host at an address is believed to have failed. Nothing
// new is sent over its connection. Streams in flight go on if the peer still
// acknowledges, since the belief may be wrong; otherwise they end after a few
// seconds instead of when the connection times out.
func (e *Endpoint) Suspect(address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return
	}
	e.mu.Lock()
	p := e.peers[parsed]
	e.mu.Unlock()
	if p == nil {
		return
	}
	p.mu.Lock()
	doubted := p.current
	p.current = nil
	p.mu.Unlock()
	if doubted != nil {
		e.spawn(func() { e.examine(p, doubted) })
	}
}

// examine closes a connection whose peer does not acknowledge, and puts it
// back into use otherwise.
func (e *Endpoint) examine(p *peer, doubted *connection) {
	before := doubted.raw.ConnectionStats().BytesReceived
	doubted.queue([]byte{0}) // a note of no kind, which the peer only acknowledges
	timer := time.NewTimer(doubtTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-doubted.raw.Context().Done():
		return
	case <-e.ctx.Done():
		doubted.close("closing")
		return
	}
	if doubted.raw.ConnectionStats().BytesReceived == before {
		doubted.close("silent")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil {
		p.current = doubted
	}
}
