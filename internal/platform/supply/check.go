package supply

import "github.com/hyssopwall/hyssopwall/internal/fleet/wire"

// Check returns a *wire.FieldError for an order whose ID, zone or pool is missing, or
// whose count is negative.
func (o Order) Check() error {
	field := ""
	switch {
	case o.ID == "":
		field = "ID"
	case o.Zone == "":
		field = "Zone"
	case o.Pool == "":
		field = "Pool"
	case o.Count < 0:
		return &wire.FieldError{Type: "supply.Order", Field: "Count", Reason: "is negative"}
	}
	if field != "" {
		return &wire.FieldError{Type: "supply.Order", Field: field, Reason: "is empty"}
	}
	return nil
}

// Check returns a *wire.FieldError for a server without a name or zone, which can't be
// identified.
func (s Server) Check() error {
	switch {
	case s.Name == "":
		return &wire.FieldError{Type: "supply.Server", Field: "Name", Reason: "is empty"}
	case s.Zone == "":
		return &wire.FieldError{Type: "supply.Server", Field: "Zone", Reason: "is empty"}
	}
	return nil
}
