package steps

import (
	"encoding/base64"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
	"github.com/hyssopwall/hyssopwall/internal/host/api"
	"github.com/hyssopwall/hyssopwall/internal/rollout/step"
)

// encodeID returns the name of a step in the API. It encodes the complete step ID, so that
// any host can find the step's object.
func encodeID(id step.ID) (string, error) {
	raw, err := wire.Encode(id)
	if err != nil {
		return "", err
	}
	return base64.RawURLEncoding.EncodeToString(raw), nil
}

// decodeID returns the step ID that a name encodes. The name of a step of another
// workspace is reported as not found, as if the step did not exist.
func decodeID(name, workspace string) (step.ID, error) {
	missing := api.Refuse(api.NotFound, "no such step")
	raw, err := base64.RawURLEncoding.DecodeString(name)
	if err != nil {
		return step.ID{}, missing
	}
	id, err := wire.Decode[step.ID](raw)
	if err != nil || id.Workspace != workspace {
		return step.ID{}, missing
	}
	return id, nil
}
