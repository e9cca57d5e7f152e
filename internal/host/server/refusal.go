package server

import (
	"errors"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/fleet/link"
)

// engineRefusal returns the engine's refusal that err wraps, if any.
func engineRefusal(err error) (*engine.RefusedError, bool) {
	var refused *engine.RefusedError
	return refused, errors.As(err, &refused)
}

// decodeRefusal converts the link error of a refused command back to the engine's
// refusal, of which only the code is sent, and returns any other error unchanged.
func decodeRefusal(err error) error {
	var remote *link.RemoteError
	if errors.As(err, &remote) && remote.Code == codeRefused {
		return &engine.RefusedError{Code: remote.Message}
	}
	return err
}
