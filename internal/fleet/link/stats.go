package link

// PacketStats counts the packets and bytes of all connections since the start, QUIC's
// own overhead and resent packets included, without the headers of UDP and IP.
type PacketStats struct {
	Connections     int // that are open now
	SentPackets     uint64
	SentBytes       uint64
	ReceivedPackets uint64
	ReceivedBytes   uint64
	LostPackets     uint64
}

func (w *PacketStats) add(c *connection) {
	stats := c.raw.ConnectionStats()
	w.SentPackets += stats.PacketsSent
	w.SentBytes += stats.BytesSent
	w.ReceivedPackets += stats.PacketsReceived
	w.ReceivedBytes += stats.BytesReceived
	w.LostPackets += stats.PacketsLost
}

// PacketStats returns the counts of the connections that are open and of those that
// have ended.
func (e *Endpoint) PacketStats() PacketStats {
	e.wireMu.Lock()
	defer e.wireMu.Unlock()
	sum := e.ended
	for c := range e.open {
		sum.add(c)
		sum.Connections++
	}
	return sum
}

func (e *Endpoint) opened(c *connection) {
	e.wireMu.Lock()
	defer e.wireMu.Unlock()
	e.open[c] = struct{}{}
}

func (e *Endpoint) closed(c *connection) {
	e.wireMu.Lock()
	defer e.wireMu.Unlock()
	delete(e.open, c)
	e.ended.add(c)
}
