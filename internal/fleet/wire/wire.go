// Package wire encodes the messages between hosts. Every message type carries
// its cbor tags and checks itself after decoding, so that no unchecked value
// reaches a decision.
package wire

import (
	"errors"
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// MaxMessage is the largest encoded message in bytes.
const MaxMessage = 4 << 20

// The encodings of no value.
const (
	cborNull      = 0xf6
	cborUndefined = 0xf7
)

// errNull says that bytes hold no value.
var errNull = errors.New("no value")

// Message is a type that can check its own fields.
type Message interface {
	Check() error
}

// FieldError says which field of a message is wrong and why.
type FieldError struct {
	Type   string
	Field  string
	Reason string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: field %s %s", e.Type, e.Field, e.Reason)
}

// DecodeError says that bytes are not a message of the type.
type DecodeError struct {
	Type string
	Err  error
}

func (e *DecodeError) Error() string { return fmt.Sprintf("decode %s: %v", e.Type, e.Err) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// Encode returns the canonical encoding of m.
func Encode[T Message](m T) ([]byte, error) {
	mode, err := canonical()
	if err != nil {
		return nil, err
	}
	return mode.Marshal(m)
}

// canonical builds the encoder once: building it costs more than most messages.
var canonical = sync.OnceValues(func() (cbor.EncMode, error) {
	return cbor.CoreDetEncOptions().EncMode()
})

// Decode decodes and checks a message. It returns a *DecodeError for bytes
// that are no such message, and the message's own error when its check fails.
func Decode[T Message](data []byte) (T, error) {
	var m T
	if len(data) > MaxMessage {
		return m, &DecodeError{Type: fmt.Sprintf("%T", m), Err: fmt.Errorf("%d bytes, more than %d", len(data), MaxMessage)}
	}
	if len(data) == 1 && (data[0] == cborNull || data[0] == cborUndefined) {
		// It would decode to a nil pointer, or pass for a message of zeros.
		return m, &DecodeError{Type: fmt.Sprintf("%T", m), Err: errNull}
	}
	if err := cbor.Unmarshal(data, &m); err != nil {
		return m, &DecodeError{Type: fmt.Sprintf("%T", m), Err: err}
	}
	if err := m.Check(); err != nil {
		return m, err
	}
	return m, nil
}
