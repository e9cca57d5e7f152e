package server

import (
	"errors"

	"github.com/hyssopwall/hyssopwall/internal/backend/engine"
	"github.com/hyssopwall/hyssopwall/internal/fleet/link"
)

// refusal returns the refusal of an engine that err holds.
func refusal(err error) (*engine.RefusedError, bool) {
	var refused *engine.RefusedError
	return refused, errors.As(err, &refused)
}

// remoteRefusal turns a refusal that crossed the link back into the engine's.
func remoteRefusal(err error) error {
	var remote *link.RemoteError
	if errors.As(err, &remote) && remote.Code == codeRefused {
		return &engine.RefusedError{Code: remote.Message}
	}
	return err
}
