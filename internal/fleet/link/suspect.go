package link

import (
	"net/netip"
	"time"
)

// suspectTimeout is how long a suspected peer has to acknowledge a packet.
const suspectTimeout = 3 * time.Second

// Suspect reports that the host at an address is suspected to have failed. Nothing new is
// sent over its connection. Since the suspicion may be wrong, streams in flight continue if
// the peer still acknowledges packets. Otherwise they end after a few seconds instead of
// when the connection times out.
func (e *Endpoint) Suspect(address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return
	}
	e.mu.Lock()
	p := e.pool[parsed]
	e.mu.Unlock()
	if p == nil {
		return
	}
	p.mu.Lock()
	suspected := p.current
	p.current = nil
	p.mu.Unlock()
	if suspected != nil {
		e.spawn(func() { e.checkSuspected(p, suspected) })
	}
}

// checkSuspected closes a connection whose peer does not acknowledge packets, and puts it
// back into use otherwise.
func (e *Endpoint) checkSuspected(p *poolEntry, suspected *connection) {
	before := suspected.raw.ConnectionStats().BytesReceived
	suspected.queueDatagram([]byte{0}) // a datagram without a kind, which the peer only acknowledges
	timer := time.NewTimer(suspectTimeout)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-suspected.raw.Context().Done():
		return
	case <-e.ctx.Done():
		suspected.close("closing")
		return
	}
	if suspected.raw.ConnectionStats().BytesReceived == before {
		suspected.close("silent")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil {
		p.current = suspected
	}
}
