// Package scale measures the traffic of fleet membership and configuration for each
// host as the fleet grows. It runs the decision code and codecs of packages roster and
// spread for every host of a fleet in one process, over a simulated network with
// virtual time, packet loss and partitions, and counts the bytes without those of
// retransmissions.
package scale

// Overhead of QUIC, UDP and IP for each packet, in bytes. Each datagram of the roster
// is assumed to travel in a packet of its own and to be acknowledged by another.
const (
	ipHeader    = 20
	udpHeader   = 8
	quicHeader  = 1 + 4 + 2 // flags, connection ID, packet number
	quicTag     = 16        // authentication tag
	frameHeader = 3

	// PacketOverhead is the size of a packet with one frame without the frame's data.
	PacketOverhead = ipHeader + udpHeader + quicHeader + quicTag + frameHeader
	// AckBytes is the size of a packet with only an acknowledgment, whose frame has 11
	// bytes.
	AckBytes = ipHeader + udpHeader + quicHeader + quicTag + 11
	// DatagramHeader is the size of the header that package link adds to a datagram of
	// the roster.
	DatagramHeader = 1 + len("roster")
	// CallHeader is the size of the headers that package link adds to a message of a
	// call: that of the frame with the call's kind, the kind, and that of the message.
	CallHeader = 4 + len("spread") + 4
	// MaxPayload is the number of bytes of a long message that fit one packet, and the
	// size of the largest datagram, link.MaxDatagram.
	MaxPayload = 1150
)

// Cost counts the traffic of a host.
type Cost struct {
	SentPackets     uint64
	SentBytes       uint64
	ReceivedPackets uint64
	ReceivedBytes   uint64
	PlatformCalls   uint64
	PlatformBytes   uint64 // size of the values read from the platform
}

// Sub returns the counts since before.
func (c Cost) Sub(before Cost) Cost {
	return Cost{
		SentPackets:     c.SentPackets - before.SentPackets,
		SentBytes:       c.SentBytes - before.SentBytes,
		ReceivedPackets: c.ReceivedPackets - before.ReceivedPackets,
		ReceivedBytes:   c.ReceivedBytes - before.ReceivedBytes,
		PlatformCalls:   c.PlatformCalls - before.PlatformCalls,
		PlatformBytes:   c.PlatformBytes - before.PlatformBytes,
	}
}

// Bytes returns the bytes that the host sent and received on its links.
func (c Cost) Bytes() uint64 { return c.SentBytes + c.ReceivedBytes }

// packetCount returns the number of packets that carry a message of a size.
func packetCount(size int) int { return max(1, (size+MaxPayload-1)/MaxPayload) }
