// Package scale measures what acting together costs a host as the fleet
// grows. It runs the real decision code and codecs of roster and spread for
// every host of a fleet in one process, over a network in memory with virtual
// time, loss and cuts, and counts each byte.
package scale

// What QUIC, UDP and IP add to each packet, in bytes. Every note is taken to
// travel in a packet of its own and to be acknowledged in another.
const (
	ipHeader    = 20
	udpHeader   = 8
	quicHeader  = 1 + 4 + 2 // flags, connection ID, packet number
	quicSeal    = 16        // authentication tag
	frameHeader = 3

	// PacketOverhead is what a packet with one frame adds to its content.
	PacketOverhead = ipHeader + udpHeader + quicHeader + quicSeal + frameHeader
	// AckBytes is the size of a packet that only acknowledges.
	AckBytes = ipHeader + udpHeader + quicHeader + quicSeal + 11
	// DatagramHeader is what package link puts before a note of the roster.
	DatagramHeader = 1 + len("roster")
	// CallHeader is what package link puts before the messages of a call.
	CallHeader = 4 + len("spread") + 4
	// MaxPayload is how much of a long message fits one packet.
	MaxPayload = 1150
)

// Cost counts what a host sent and received.
type Cost struct {
	SentPackets     uint64
	SentBytes       uint64
	ReceivedPackets uint64
	ReceivedBytes   uint64
	PlatformCalls   uint64
	PlatformBytes   uint64 // of values read from the platform
}

// Sub returns the difference between two counts.
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

// Bytes returns all bytes on the host's links, both ways.
func (c Cost) Bytes() uint64 { return c.SentBytes + c.ReceivedBytes }

// packets returns how many packets carry a message of that size.
func packets(size int) int { return max(1, (size+MaxPayload-1)/MaxPayload) }
