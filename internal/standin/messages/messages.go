// Package messages checks how message types decode untrusted bytes.
package messages

import (
	"bytes"
	"fmt"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// RoundTrip decodes data as a T. It returns nil if decoding fails. A decoded message
// must encode, its encoding must decode, and encoding that message must give the same
// bytes. The error names the step that failed.
func RoundTrip[T wire.Message](data []byte) error {
	first, err := wire.Decode[T](data)
	if err != nil {
		return nil //nolint:nilerr // rejecting invalid bytes is correct
	}
	once, err := wire.Encode(first)
	if err != nil {
		return fmt.Errorf("%T decoded, but does not encode: %w", first, err)
	}
	second, err := wire.Decode[T](once)
	if err != nil {
		return fmt.Errorf("%T decoded, but its encoding does not decode: %w", first, err)
	}
	twice, err := wire.Encode(second)
	if err != nil {
		return fmt.Errorf("%T does not encode again after a round trip: %w", first, err)
	}
	if !bytes.Equal(once, twice) {
		return fmt.Errorf("%T encodes to different bytes after a round trip", first)
	}
	return nil
}
