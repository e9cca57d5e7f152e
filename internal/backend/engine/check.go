package engine

import "github.com/hyssopwall/hyssopwall/internal/fleet/wire"

// Check returns a *wire.FieldError if the request has no ID, without which its response
// can't be told from another request's, if MaxTokens is negative, or if Resume is invalid.
func (r Request) Check() error {
	switch {
	case r.ID == "":
		return &wire.FieldError{Type: "engine.Request", Field: "ID", Reason: "is empty"}
	case r.MaxTokens < 0:
		return &wire.FieldError{Type: "engine.Request", Field: "MaxTokens", Reason: "is negative"}
	case r.Resume != nil:
		return r.Resume.Check()
	}
	return nil
}

// Check returns a *wire.FieldError if a load figure is negative. Requests go to the
// engine with the least load, so a negative figure would attract all of them.
func (s State) Check() error {
	switch {
	case s.Running < 0:
		return &wire.FieldError{Type: "engine.State", Field: "Running", Reason: "is negative"}
	case s.Waiting < 0:
		return &wire.FieldError{Type: "engine.State", Field: "Waiting", Reason: "is negative"}
	case s.Slots < 0:
		return &wire.FieldError{Type: "engine.State", Field: "Slots", Reason: "is negative"}
	}
	return nil
}

// Check returns a *wire.FieldError if the token count is negative, if a text has no token
// count, or if tokens have no weights versions: a sample continued from them could not
// name the versions that produced it. The zero value is valid.
func (r Resume) Check() error {
	switch {
	case r.Tokens < 0:
		return &wire.FieldError{Type: "engine.Resume", Field: "Tokens", Reason: "is negative"}
	case r.Tokens == 0 && r.Text != "":
		return &wire.FieldError{Type: "engine.Resume", Field: "Tokens", Reason: "is zero beside a text"}
	case r.Tokens > 0 && len(r.Versions) == 0:
		return &wire.FieldError{Type: "engine.Resume", Field: "Versions", Reason: "is empty"}
	}
	return nil
}

// Check returns a *wire.FieldError if the command has no ID or doesn't set exactly one
// of Version, Adapter and Role.
func (c Command) Check() error {
	if c.ID == "" {
		return &wire.FieldError{Type: "engine.Command", Field: "ID", Reason: "is empty"}
	}
	changes := 0
	for _, set := range []bool{c.Version != 0, c.Adapter != "", c.Role != ""} {
		if set {
			changes++
		}
	}
	if changes != 1 {
		return &wire.FieldError{Type: "engine.Command", Field: "Version, Adapter and Role", Reason: "must have exactly one set"}
	}
	return nil
}

// cacheEvents is the response to a query for cache events.
type cacheEvents []CacheEvent

// check returns a *wire.FieldError unless the sequence numbers increase, starting above
// after.
func (c cacheEvents) check(after uint64) error {
	for _, event := range c {
		if event.Sequence <= after {
			return &wire.FieldError{Type: "engine.CacheEvent", Field: "Sequence", Reason: "doesn't grow"}
		}
		after = event.Sequence
	}
	return nil
}
