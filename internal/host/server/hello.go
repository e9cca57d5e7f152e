package server

import (
	"time"

	"github.com/hyssopwall/hyssopwall/internal/entry/route"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// The kinds of calls between hosts that peers serves.
const (
	helloKind = "hello"
	marksKind = "marks"
)

// maxHelloEntries limits the length of each list in a hello.
const maxHelloEntries = 4096

// hello is the message that two hosts exchange each second. It holds the sender's
// identity, the version of its current document and the load of its backend servers.
// Known lists the link addresses of all hosts that the sender has learned of. For
// UpdateAge, the start of a host counts as an update.
type hello struct {
	Host        string          `cbor:"1,keyasint"`
	Zone        string          `cbor:"2,keyasint"`
	Address     string          `cbor:"3,keyasint"`
	Version     uint64          `cbor:"4,keyasint"`
	UpdateAge   time.Duration   `cbor:"5,keyasint,omitempty"` // since the last update from the platform that reached any host
	Leaving     bool            `cbor:"6,keyasint,omitempty"`
	Summaries   []route.Summary `cbor:"7,keyasint,omitempty"`
	Known       []string        `cbor:"8,keyasint,omitempty"`
	Incarnation uint64          `cbor:"9,keyasint"`
}

// Check returns a *wire.FieldError for the first invalid field.
func (h hello) Check() error {
	switch {
	case h.Host == "" || h.Zone == "" || h.Address == "":
		return &wire.FieldError{Type: "hello", Field: "Host, Zone or Address", Reason: "is empty"}
	case len(h.Summaries) > maxHelloEntries || len(h.Known) > maxHelloEntries:
		return &wire.FieldError{Type: "hello", Field: "Summaries or Known", Reason: "is too long"}
	}
	for _, summary := range h.Summaries {
		if err := summary.Check(); err != nil {
			return err
		}
	}
	return nil
}
