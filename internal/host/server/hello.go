package server

import (
	"time"

	"github.com/hyssopwall/hyssopwall/internal/entry/route"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// The kinds of calls between hosts of this package.
const (
	helloKind = "hello"
	marksKind = "marks"
)

// maxHello bounds the lists of a hello.
const maxHello = 4096

// hello is what a host tells a peer each second, and gets back: who it is,
// which document it has in force, and how loaded its backend servers are.
// Known lists the link addresses of the hosts that it knows.
type hello struct {
	Host      string          `cbor:"1,keyasint"`
	Zone      string          `cbor:"2,keyasint"`
	Address   string          `cbor:"3,keyasint"`
	Version   uint64          `cbor:"4,keyasint"`
	Age       time.Duration   `cbor:"5,keyasint,omitempty"` // since the last news of the platform, at whichever host
	Leaving   bool            `cbor:"6,keyasint,omitempty"`
	Summaries []route.Summary `cbor:"7,keyasint,omitempty"`
	Known     []string        `cbor:"8,keyasint,omitempty"`
	Process   uint64          `cbor:"9,keyasint"` // incarnation
}

// Check returns a *wire.FieldError for the first wrong field.
func (h hello) Check() error {
	switch {
	case h.Host == "" || h.Zone == "" || h.Address == "":
		return &wire.FieldError{Type: "hello", Field: "Host, Zone or Address", Reason: "is empty"}
	case len(h.Summaries) > maxHello || len(h.Known) > maxHello:
		return &wire.FieldError{Type: "hello", Field: "Summaries or Known", Reason: "is too long"}
	}
	for _, summary := range h.Summaries {
		if err := summary.Check(); err != nil {
			return err
		}
	}
	return nil
}
