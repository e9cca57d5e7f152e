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
	Ack                      // answers a Probe
	Relay                    // asks to probe Target and to pass its Ack on
	Table                    // brings the whole table
	Exchange                 // brings summaries
)

// Bounds of a packet, so that it fits a note of package link.
const (
	MaxBody     = 32 // bytes of the summary of a host or zone
	maxUpdates  = 8
	maxTable    = 12
	maxNotes    = 16
	maxZones    = 8
	maxAddress  = 48
	maxElements = 64
)

// Packet is what hosts send each other. The sender's name and zone are proven
// by its certificate and not repeated.
type Packet struct {
	Kind        Kind          `cbor:"1,keyasint"`
	Number      uint32        `cbor:"2,keyasint,omitempty"`
	Incarnation uint32        `cbor:"3,keyasint,omitempty"` // zero in an Exchange that is no probe
	Version     uint64        `cbor:"4,keyasint,omitempty"` // of the configuration in force
	Target      string        `cbor:"5,keyasint,omitempty"`
	Address     string        `cbor:"6,keyasint,omitempty"`
	Digest      uint32        `cbor:"7,keyasint,omitempty"`
	Updates     []Member      `cbor:"8,keyasint,omitempty"`
	Step        uint8         `cbor:"9,keyasint,omitempty"`
	Notes       []HostSummary `cbor:"10,keyasint,omitempty"`
	Zones       []ZoneSummary `cbor:"11,keyasint,omitempty"`
	Roots       []ZoneSummary `cbor:"12,keyasint,omitempty"` // the receiver starts their trees (rule 8)
}

// HostSummary is the summary of a host. Number orders the notes of a host and wraps
// around.
type HostSummary struct {
	_       struct{} `cbor:",toarray"`
	ID      uint32
	Number  uint16
	Version uint64
	Body    []byte
}

// ZoneSummary is the summary of a zone, made by its bridge. Lowest is the lowest
// version of the configuration in force on its hosts. Zone and Bridge are
// empty in a short one (rule 9).
type ZoneSummary struct {
	_      struct{} `cbor:",toarray"`
	ID     uint32
	Number uint16
	Hosts  uint16
	Lowest uint64
	Body   []byte
	Zone   string
	Bridge string // address
}

func wrong(field, reason string) error {
	return &wire.FieldError{Type: "Packet", Field: field, Reason: reason}
}

// Check implements wire.Message.
func (p Packet) Check() error {
	if p.Kind < Probe || p.Kind > Exchange {
		return wrong("Kind", "is unknown")
	}
	if len(p.Target) > identity.MaxName || len(p.Address) > maxAddress {
		return wrong("Target", "is too long")
	}
	if len(p.Updates) > maxElements || len(p.Notes) > maxElements || len(p.Zones)+len(p.Roots) > maxElements {
		return wrong("Updates", "are too many")
	}
	switch {
	case slices.ContainsFunc(p.Updates, Member.bad):
		return wrong("Updates", "hold a bad member")
	case slices.ContainsFunc(p.Notes, HostSummary.bad):
		return wrong("Notes", "hold a long body")
	case slices.ContainsFunc(p.Zones, ZoneSummary.bad), slices.ContainsFunc(p.Roots, ZoneSummary.bad):
		return wrong("Zones", "hold a bad zone")
	}
	return nil
}

func (m Member) bad() bool {
	return m.Name == "" || len(m.Name) > identity.MaxName || len(m.Address) > maxAddress || m.Status > Left
}

func (n HostSummary) bad() bool { return len(n.Body) > MaxBody }

func (z ZoneSummary) bad() bool {
	return len(z.Zone) > identity.MaxName || len(z.Bridge) > maxAddress || len(z.Body) > MaxBody
}
