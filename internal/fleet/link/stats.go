package link

// PacketStats counts the packets and bytes of all connections since the start, including
// QUIC's own overhead and retransmissions, without the headers of UDP and IP.
type PacketStats struct {
	Connections     int // number of connections that are open
	SentPackets     uint64
	SentBytes       uint64
	ReceivedPackets uint64
	ReceivedBytes   uint64
	LostPackets     uint64
}

// add adds the counts of a connection.
func (p *PacketStats) add(c *connection) {
	stats := c.raw.ConnectionStats()
	p.SentPackets += stats.PacketsSent
	p.SentBytes += stats.BytesSent
	p.ReceivedPackets += stats.PacketsReceived
	p.ReceivedBytes += stats.BytesReceived
	p.LostPackets += stats.PacketsLost
}

// PacketStats returns the sum over the connections that are open and those that have been
// closed.
func (e *Endpoint) PacketStats() PacketStats {
	e.statsMu.Lock()
	defer e.statsMu.Unlock()
	sum := e.closedStats
	for c := range e.openConnections {
		sum.add(c)
		sum.Connections++
	}
	return sum
}

// trackOpened counts a connection as open.
func (e *Endpoint) trackOpened(c *connection) {
	e.statsMu.Lock()
	defer e.statsMu.Unlock()
	e.openConnections[c] = struct{}{}
}

// trackClosed counts a connection as closed and keeps its counts.
func (e *Endpoint) trackClosed(c *connection) {
	e.statsMu.Lock()
	defer e.statsMu.Unlock()
	delete(e.openConnections, c)
	e.closedStats.add(c)
}
