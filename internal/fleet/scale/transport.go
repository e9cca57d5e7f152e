package scale

import (
	"errors"
	"math"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/roster"
	"github.com/hyssopwall/hyssopwall/internal/fleet/spread"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// resend is how long a lost packet of a call delays it.
const resend = 200 * time.Millisecond

// callTimeout ends a call over a cut link.
const callTimeout = 2 * time.Second

var errCut = errors.New("no answer")

func (f *Fleet) rosterActions(h *Host, actions []roster.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case roster.Send:
			f.note(h, a)
		case roster.VersionSeen:
			f.spreadActions(h, h.Spread.Step(spread.PeerVersion{Address: a.Address, Version: a.Version}, f.local(h)))
		case roster.MemberChanged:
			if f.OnMemberChanged != nil {
				f.OnMemberChanged(h, a.Member)
			}
		}
	}
}

// note sends a packet of the roster, which may be lost.
func (f *Fleet) note(from *Host, a roster.Send) {
	if f.AlterPacket != nil {
		a.Packet = f.AlterPacket(a.Packet)
	}
	data, err := wire.Encode(a.Packet)
	if err != nil || len(data) > MaxPayload-DatagramHeader {
		panic("a packet does not fit a note")
	}
	size := uint64(DatagramHeader + len(data) + PacketOverhead)
	from.Cost.SentPackets++
	from.Cost.SentBytes += size
	to := f.addresses[a.Address]
	if to == nil || f.lost(from, to, 1) {
		return
	}
	start := to.start
	f.After(f.delay(from, to), func() {
		if to.start != start {
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
		f.rosterActions(to, to.Roster.Step(received, f.local(to)))
	})
}

func (f *Fleet) acknowledge(from, to *Host, packets uint64) {
	from.Cost.SentPackets += packets
	from.Cost.SentBytes += packets * AckBytes
	to.Cost.ReceivedPackets += packets
	to.Cost.ReceivedBytes += packets * AckBytes
}

// lost reports whether one of a number of packets does not arrive.
func (f *Fleet) lost(from, to *Host, packets int) bool {
	if to.Down || to.Paused || f.Cut != nil && f.Cut(from, to) {
		return true
	}
	return f.Config.Loss > 0 && f.Rand.Float64() > math.Pow(1-f.Config.Loss, float64(packets))
}

func (f *Fleet) cut(a, b *Host) bool {
	return b.Down || b.Paused || f.Cut != nil && (f.Cut(a, b) || f.Cut(b, a))
}

func (f *Fleet) delay(from, to *Host) time.Duration {
	base := regionDelay
	late := time.Duration(0)
	if f.ExtraDelay != nil {
		late = f.ExtraDelay(from, to)
	}
	switch {
	case from.Zone == to.Zone:
		base = zoneDelay
	case from.Region == to.Region:
		base = nearDelay
	}
	return base + late + time.Duration(f.Rand.Int64N(int64(jitter)))
}

func (f *Fleet) spreadActions(h *Host, actions []spread.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case spread.Fetch:
			f.fetch(h, a)
		case spread.Watch:
			h.watching = a.On
			if a.On {
				f.poll(h, h.start)
			}
		}
	}
}

// fetch makes the call that asks a peer for a document.
func (f *Fleet) fetch(h *Host, a spread.Fetch) {
	start := h.start
	end := func(wait time.Duration, e spread.Fetched) {
		f.After(wait, func() {
			if h.start == start {
				f.spreadActions(h, h.Spread.Step(e, f.local(h)))
			}
		})
	}
	peer := f.addresses[a.Address]
	if peer == nil || f.cut(h, peer) {
		end(callTimeout, spread.Fetched{Address: a.Address, Err: errCut})
		return
	}
	there := f.transfer(h, peer, spread.Request{Have: a.Have})
	reply := peer.Spread.Answer(spread.Request{Have: a.Have})
	back := f.transfer(peer, h, reply)
	end(there+back, spread.Fetched{Address: a.Address, Reply: reply})
}

// transfer counts a message of a call and returns how long it takes. A loss
// delays it.
func (f *Fleet) transfer(from, to *Host, message wire.Message) time.Duration {
	data, err := wire.Encode(message)
	if err != nil {
		panic(err)
	}
	n := packets(len(data) + CallHeader)
	size := uint64(len(data) + CallHeader + n*PacketOverhead)
	from.Cost.SentPackets += uint64(n)
	from.Cost.SentBytes += size
	to.Cost.ReceivedPackets += uint64(n)
	to.Cost.ReceivedBytes += size
	f.acknowledge(to, from, uint64(n+1)/2)
	wait := f.delay(from, to)
	for f.lost(from, to, n) && !to.Down {
		wait += resend
		if wait > callTimeout {
			break
		}
	}
	return wait
}
