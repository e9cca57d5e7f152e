package link

// Wire counts the packets and bytes of the connections in use, QUIC's own
// overhead and resent packets included, without the headers of UDP and IP.
type Wire struct {
	Connections     int
	SentPackets     uint64
	SentBytes       uint64
	ReceivedPackets uint64
	ReceivedBytes   uint64
	LostPackets     uint64
}

// Wire returns the sum over the connections that are in use now.
func (e *Endpoint) Wire() Wire {
	var sum Wire
	for _, c := range e.current() {
		stats := c.raw.ConnectionStats()
		sum.Connections++
		sum.SentPackets += stats.PacketsSent
		sum.SentBytes += stats.BytesSent
		sum.ReceivedPackets += stats.PacketsReceived
		sum.ReceivedBytes += stats.BytesReceived
		sum.LostPackets += stats.PacketsLost
	}
	return sum
}

func (e *Endpoint) current() []*connection {
	e.mu.Lock()
	peers := make([]*peer, 0, len(e.peers))
	for _, p := range e.peers {
		peers = append(peers, p)
	}
	e.mu.Unlock()
	var connections []*connection
	for _, p := range peers {
		p.mu.Lock()
		if p.current.usable(e.config.Now()) {
			connections = append(connections, p.current)
		}
		p.mu.Unlock()
	}
	return connections
}
