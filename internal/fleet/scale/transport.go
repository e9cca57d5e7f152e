package scale

import (
	"errors"
	"math"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/roster"
	"github.com/hyssopwall/hyssopwall/internal/fleet/spread"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// retransmitDelay is the time that each retransmission of lost packets adds to a call.
const retransmitDelay = 200 * time.Millisecond

// callTimeout is the time after which a call over a cut link fails.
const callTimeout = 2 * time.Second

// errCut is the error of a call over a cut link.
var errCut = errors.New("no answer over a cut link")

// rosterActions executes the actions of a host's roster.
func (f *Fleet) rosterActions(h *Host, actions []roster.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case roster.Send:
			f.sendPacket(h, a)
		case roster.VersionSeen:
			f.spreadActions(h, h.Spread.Step(spread.PeerVersion{Address: a.Address, Version: a.Version}, f.localTime(h)))
		case roster.MemberChanged:
			if f.OnMemberChanged != nil {
				f.OnMemberChanged(h, a.Member)
			}
		}
	}
}

// sendPacket sends a packet of the roster in a datagram, which may be lost.
func (f *Fleet) sendPacket(from *Host, a roster.Send) {
	if f.AlterPacket != nil {
		a.Packet = f.AlterPacket(a.Packet)
	}
	data, err := wire.Encode(a.Packet)
	if err != nil || len(data) > MaxPayload-DatagramHeader {
		panic("scale: a roster packet cannot be encoded or is larger than a datagram")
	}
	size := uint64(DatagramHeader + len(data) + PacketOverhead)
	from.Cost.SentPackets++
	from.Cost.SentBytes += size
	to := f.addresses[a.Address]
	if to == nil || f.isLost(from, to, 1) {
		return
	}
	process := to.process
	f.After(f.delay(from, to), func() {
		if to.process != process {
			return
		}
		to.Cost.ReceivedPackets++
		to.Cost.ReceivedBytes += size
		f.acknowledge(to, from, 1)
		packet, err := wire.Decode[roster.Packet](data)
		if err != nil {
			panic(err)
		}
		received := roster.Received{From: from.Host, Address: from.Address, Packet: packet}
		f.rosterActions(to, to.Roster.Step(received, f.localTime(to)))
	})
}

// acknowledge counts a number of acknowledgment packets from one host to another.
func (f *Fleet) acknowledge(from, to *Host, packets uint64) {
	from.Cost.SentPackets += packets
	from.Cost.SentBytes += packets * AckBytes
	to.Cost.ReceivedPackets += packets
	to.Cost.ReceivedBytes += packets * AckBytes
}

// isLost reports whether at least one of a number of packets is lost: at random, because
// the link is cut, or because the receiver is down or paused.
func (f *Fleet) isLost(from, to *Host, packets int) bool {
	if to.Down || to.Paused || f.Cut != nil && f.Cut(from, to) {
		return true
	}
	return f.Config.Loss > 0 && f.Rand.Float64() > math.Pow(1-f.Config.Loss, float64(packets))
}

// unreachable reports whether a call from one host to another can't be answered.
func (f *Fleet) unreachable(from, to *Host) bool {
	return to.Down || to.Paused || f.Cut != nil && (f.Cut(from, to) || f.Cut(to, from))
}

// delay returns the one-way delay of a packet.
func (f *Fleet) delay(from, to *Host) time.Duration {
	base := regionDelay
	extra := time.Duration(0)
	if f.ExtraDelay != nil {
		extra = f.ExtraDelay(from, to)
	}
	switch {
	case from.Zone == to.Zone:
		base = zoneDelay
	case from.Region == to.Region:
		base = nearDelay
	}
	return base + extra + time.Duration(f.Rand.Int64N(int64(jitter)))
}

// spreadActions executes the actions of a host's spread state.
func (f *Fleet) spreadActions(h *Host, actions []spread.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case spread.Fetch:
			f.fetch(h, a)
		case spread.Watch:
			h.watching = a.On
			if a.On {
				f.watchDocument(h, h.process)
			}
		}
	}
}

// fetch makes a call that requests newer versions of the document from a peer.
func (f *Fleet) fetch(h *Host, a spread.Fetch) {
	process := h.process
	finish := func(wait time.Duration, e spread.Fetched) {
		f.After(wait, func() {
			if h.process == process {
				f.spreadActions(h, h.Spread.Step(e, f.localTime(h)))
			}
		})
	}
	peer := f.addresses[a.Address]
	if peer == nil || f.unreachable(h, peer) {
		finish(callTimeout, spread.Fetched{Address: a.Address, Err: errCut})
		return
	}
	request := f.transfer(h, peer, spread.Request{Have: a.Have})
	reply := peer.Spread.Answer(spread.Request{Have: a.Have})
	response := f.transfer(peer, h, reply)
	finish(request+response, spread.Fetched{Address: a.Address, Reply: reply})
}

// transfer counts a message of a call and returns its delay. The retransmission of lost
// packets adds to the delay, up to the timeout of a call, but is not counted.
func (f *Fleet) transfer(from, to *Host, message wire.Message) time.Duration {
	data, err := wire.Encode(message)
	if err != nil {
		panic(err)
	}
	n := packetCount(len(data) + CallHeader)
	size := uint64(len(data) + CallHeader + n*PacketOverhead)
	from.Cost.SentPackets += uint64(n)
	from.Cost.SentBytes += size
	to.Cost.ReceivedPackets += uint64(n)
	to.Cost.ReceivedBytes += size
	f.acknowledge(to, from, uint64(n+1)/2)
	wait := f.delay(from, to)
	for f.isLost(from, to, n) && !to.Down {
		wait += retransmitDelay
		if wait > callTimeout {
			break
		}
	}
	return wait
}
