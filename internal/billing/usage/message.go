package usage

import (
	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// MaxRows is the maximum number of rows in a message, and of counters in each list of
// a sealed object. The sealer includes fewer counters in an object that would
// otherwise exceed object.MaxValue.
const MaxRows = 4000

// Copy carries counters to a host that keeps copies of them.
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

// Holdings lists the counters of a host, its own and its copies, that the
// ledger does not cover yet. With MaxRows rows, the host may have more.
// CurrentWindow is taken from the host's clock.
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

// Cover lists the sealed totals of counters. A host removes copies that do not
// exceed them.
type Cover struct {
	Rows []Row `cbor:"1,keyasint"`
}

// Check implements wire.Message.
func (c Cover) Check() error { return checkRows("Cover", c.Rows) }

// checkRows checks the number of rows and each row of a message.
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
