// Package messages checks how message types meet bytes from outside.
package messages

import (
	"bytes"
	"fmt"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// RoundTrip decodes data as a T. Bytes that are refused are fine. What is
// accepted must encode, decode to a sound message again, and encode to the
// same bytes; the error says what of this does not hold.
func RoundTrip[T wire.Message](data []byte) error {
	first, err := wire.Decode[T](data)
	if err != nil {
		return nil //nolint:nilerr // refusing is right
	}
	once, err := wire.Encode(first)
	if err != nil {
		return fmt.Errorf("%T accepted, but not encoded: %w", first, err)
	}
	second, err := wire.Decode[T](once)
	if err != nil {
		return fmt.Errorf("%T accepted, but its encoding is not: %w", first, err)
	}
	twice, err := wire.Encode(second)
	if err != nil {
		return fmt.Errorf("%T not encoded again: %w", first, err)
	}
	if !bytes.Equal(once, twice) {
		return fmt.Errorf("%T encodes to other bytes the second time", first)
	}
	return nil
}
