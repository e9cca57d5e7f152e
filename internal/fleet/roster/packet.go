package roster

import (
	"slices"

	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// Kind is the kind of a packet.
type Kind uint8

// The kinds of packets.
const (
	Probe    Kind = 1 + iota // asks for an Ack
	Ack                      // answers a Probe, or an Exchange that is a probe
	Relay                    // asks the receiver to probe Target and to forward its Ack
	Table                    // carries the membership table, a part of it, or updates alone
	Exchange                 // carries summaries
)

// Limits of a packet's content. They keep it within the size of a datagram of
// package link.
const (
	MaxBody      = 32 // bytes of the summary of a host or zone
	maxUpdates   = 8  // updates piggybacked on a packet
	maxTable     = 12 // members of the table in a packet, besides the updates
	maxSummaries = 16 // host summaries in a packet
	maxZones     = 8  // zone summaries in a packet
	maxAddress   = 48 // bytes of an address
	maxElements  = 64 // elements of a list that Packet.Check accepts
)

// Packet is the message that hosts send each other. It does not contain the
// sender's name and zone, which the sender's certificate proves.
type Packet struct {
	Kind        Kind          `cbor:"1,keyasint"`
	Number      uint32        `cbor:"2,keyasint,omitempty"` // pairs a probe with its Ack; zero in an Exchange that is no probe
	Incarnation uint32        `cbor:"3,keyasint,omitempty"` // of the sender; zero in an Exchange that is no probe
	Version     uint64        `cbor:"4,keyasint,omitempty"` // of the configuration that the sender has in force
	Target      string        `cbor:"5,keyasint,omitempty"` // host to probe in a Relay, host that answered in a forwarded Ack
	Address     string        `cbor:"6,keyasint,omitempty"` // of Target
	Digest      uint32        `cbor:"7,keyasint,omitempty"` // of the sender's membership table, zero if not sent
	Updates     []Member      `cbor:"8,keyasint,omitempty"`
	Step        uint8         `cbor:"9,keyasint,omitempty"`  // of the exchange (rule 7)
	Notes       []HostSummary `cbor:"10,keyasint,omitempty"` // summaries of hosts
	Zones       []ZoneSummary `cbor:"11,keyasint,omitempty"` // summaries of zones
	Roots       []ZoneSummary `cbor:"12,keyasint,omitempty"` // summaries whose trees the receiver starts (rule 8)
}

// HostSummary is the summary of a host. Number increases with each summary of
// the host and wraps around. Version is the version of the configuration in
// force on the host.
type HostSummary struct {
	_       struct{} `cbor:",toarray"`
	ID      uint32
	Number  uint16
	Version uint64
	Body    []byte
}

// ZoneSummary is the summary of a zone, made by its bridge. Hosts is the number
// of its members, and Lowest is the lowest version of the configuration in force
// on them. Zone and Bridge are empty in a short summary (rule 9).
type ZoneSummary struct {
	_      struct{} `cbor:",toarray"`
	ID     uint32
	Number uint16
	Hosts  uint16
	Lowest uint64
	Body   []byte
	Zone   string
	Bridge string // address of the bridge
}

// fieldError returns the error for an invalid field of a Packet.
func fieldError(field, reason string) error {
	return &wire.FieldError{Type: "Packet", Field: field, Reason: reason}
}

// Check implements wire.Message.
func (p Packet) Check() error {
	if p.Kind < Probe || p.Kind > Exchange {
		return fieldError("Kind", "is unknown")
	}
	if len(p.Target) > identity.MaxNameLength || len(p.Address) > maxAddress {
		return fieldError("Target", "is too long")
	}
	if len(p.Updates) > maxElements || len(p.Notes) > maxElements || len(p.Zones)+len(p.Roots) > maxElements {
		return fieldError("Updates", "are too many")
	}
	switch {
	case slices.ContainsFunc(p.Updates, Member.invalid):
		return fieldError("Updates", "include an invalid member")
	case slices.ContainsFunc(p.Notes, HostSummary.invalid):
		return fieldError("Notes", "include a body that is too long")
	case slices.ContainsFunc(p.Zones, ZoneSummary.invalid), slices.ContainsFunc(p.Roots, ZoneSummary.invalid):
		return fieldError("Zones", "include an invalid zone summary")
	}
	return nil
}

// invalid reports whether a field of the member is out of range.
func (m Member) invalid() bool {
	return m.Name == "" || len(m.Name) > identity.MaxNameLength || len(m.Address) > maxAddress || m.Status > Left
}

// invalid reports whether the body is too long.
func (n HostSummary) invalid() bool { return len(n.Body) > MaxBody }

// invalid reports whether a field of the summary is too long.
func (z ZoneSummary) invalid() bool {
	return len(z.Zone) > identity.MaxNameLength || len(z.Bridge) > maxAddress || len(z.Body) > MaxBody
}
