package step

import (
	"bytes"
	"crypto/sha256"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
	"github.com/hyssopwall/hyssopwall/internal/rollout/sample"
)

// Group is one prompt of a step and the number of samples to generate for it.
type Group struct {
	Prompt     string `json:"prompt" cbor:"1,keyasint"`
	Size       int    `json:"size" cbor:"2,keyasint"`
	Class      string `json:"class,omitempty" cbor:"3,keyasint,omitempty"`      // class of the prompt in the length history
	MaxTokens  int    `json:"max_tokens,omitempty" cbor:"4,keyasint,omitempty"` // limit of one sample; zero for none
	PrefixHash uint64 `json:"prefix,omitempty" cbor:"5,keyasint,omitempty"`     // hash of the prompt, compared with Engine.CachedPrefixes
}

// Plan is a trainer's request for the samples of one step. Opening the same plan
// again is idempotent.
type Plan struct {
	ID           ID      `json:"id" cbor:"1,keyasint"`
	Model        string  `json:"model" cbor:"2,keyasint"`
	Adapter      string  `json:"adapter,omitempty" cbor:"3,keyasint,omitempty"`
	MaxSampleAge uint64  `json:"bound" cbor:"4,keyasint"` // staleness bound: weights versions that a sample may be behind
	Groups       []Group `json:"groups" cbor:"5,keyasint"`
	Score        bool    `json:"score,omitempty" cbor:"6,keyasint,omitempty"` // send samples to the scoring service
}

// Check verifies that the step and the model are named, that each group has samples
// and no negative token limit, and that the total of samples is between 1 and
// MaxSamples. It returns a *wire.FieldError.
func (p Plan) Check() error {
	if err := p.ID.Check(); err != nil {
		return err
	}
	if p.Model == "" {
		return &wire.FieldError{Type: "step.Plan", Field: "model", Reason: "is empty"}
	}
	sum := 0
	for _, group := range p.Groups {
		if group.Size <= 0 || group.MaxTokens < 0 {
			return &wire.FieldError{Type: "step.Plan", Field: "groups", Reason: "hold one without samples or with a negative token limit"}
		}
		sum += group.Size
	}
	if sum == 0 || sum > MaxSamples {
		return &wire.FieldError{Type: "step.Plan", Field: "groups", Reason: "hold no sample or too many"}
	}
	return nil
}

// sizes returns the number of samples of each group.
func (p Plan) sizes() []int {
	sizes := make([]int, len(p.Groups))
	for i, group := range p.Groups {
		sizes[i] = group.Size
	}
	return sizes
}

// Chunk is a batch of samples that a trainer receives together. Cursor identifies
// the chunk, and Previous is the cursor of the chunk that it follows, zero for a
// first chunk. AllDelivered is set if the trainer has every sample of the step once
// it has received this chunk.
type Chunk struct {
	ID           ID              `json:"id" cbor:"1,keyasint"`
	Cursor       uint64          `json:"cursor" cbor:"2,keyasint"`
	Previous     uint64          `json:"previous" cbor:"3,keyasint"`
	Samples      []sample.Sample `json:"samples" cbor:"4,keyasint"`
	AllDelivered bool            `json:"whole,omitempty" cbor:"5,keyasint,omitempty"`
}

// Check verifies the step ID, the order of the cursors and every sample.
func (c Chunk) Check() error {
	if err := c.ID.Check(); err != nil {
		return err
	}
	if c.Previous > c.Cursor {
		return &wire.FieldError{Type: "step.Chunk", Field: "previous", Reason: "is after the cursor"}
	}
	for _, s := range c.Samples {
		if err := s.Check(); err != nil {
			return err
		}
	}
	return nil
}

// fresh reports whether no sample of the chunk is more than bound versions older
// than newest.
func (c Chunk) fresh(newest, bound uint64) bool {
	for _, s := range c.Samples {
		if !s.Fresh(newest, bound) {
			return false
		}
	}
	return true
}

// matches reports whether the chunk has the cursor and the digest of the manifest.
func (c Chunk) matches(m Manifest) bool {
	digest, err := digestOf(c)
	return err == nil && c.Cursor == m.Cursor && bytes.Equal(digest, m.Digest)
}

// digestOf returns the SHA-256 of the encoded message.
func digestOf[T wire.Message](message T) ([]byte, error) {
	data, err := wire.Encode(message)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(data)
	return sum[:], nil
}
