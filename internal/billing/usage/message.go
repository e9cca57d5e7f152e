package usage

import (
	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// MaxRows is the most rows in one message or sealed object, so that it fits
// the platform's largest value.
const MaxRows = 4000

// Copy brings counters to a host that keeps copies.
type Copy struct {
	From view.Member `cbor:"1,keyasint"`
	Rows []Row       `cbor:"2,keyasint"`
}

// Check implements wire.Message.
func (c Copy) Check() error {
	if err := c.From.Check(); err != nil {
		return err
	}
	return checkRows("Copy", c.Rows)
}

// Holdings is what a host has that is not covered yet, its own counters and
// copies. More is left when it holds MaxRows. Open is the current window by
// the host's clock.
type Holdings struct {
	From          view.Member `cbor:"1,keyasint"`
	Rows          []Row       `cbor:"2,keyasint,omitempty"`
	CurrentWindow Window      `cbor:"3,keyasint"`
}

// Check implements wire.Message.
func (h Holdings) Check() error {
	if err := h.From.Check(); err != nil {
		return err
	}
	return checkRows("Holdings", h.Rows)
}

// Cover says which totals are sealed. A host forgets copies up to them.
type Cover struct {
	Rows []Row `cbor:"1,keyasint"`
}

// Check implements wire.Message.
func (c Cover) Check() error { return checkRows("Cover", c.Rows) }

func checkRows(message string, rows []Row) error {
	if len(rows) > MaxRows {
		return &wire.FieldError{Type: message, Field: "Rows", Reason: "are too many"}
	}
	for _, row := range rows {
		if err := row.Check(); err != nil {
			return err
		}
	}
	return nil
}
