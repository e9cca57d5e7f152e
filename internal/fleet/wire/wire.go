// Package wire encodes and decodes the messages between hosts, as CBOR. Every
// message type carries its cbor tags and a Check method. Decode calls Check, so
// that no unchecked value reaches the code that uses it.
package wire

import (
	"errors"
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// MaxMessage is the largest size of an encoded message in bytes. Decode refuses larger
// ones; Encode has no limit.
const MaxMessage = 4 << 20

// One-byte encodings that contain no value.
const (
	cborNull      = 0xf6
	cborUndefined = 0xf7
)

// decoder refuses tags: messages contain none, and one around a null would yield a nil
// pointer or a message of zero values.
var decoder = sync.OnceValues(func() (cbor.DecMode, error) {
	return cbor.DecOptions{TagsMd: cbor.TagsForbidden}.DecMode()
})

// errNull is the cause of a DecodeError for data that contains no value.
var errNull = errors.New("no value")

// Message is a type that can check its own fields.
type Message interface {
	// Check returns an error, usually a *FieldError, if a field is invalid.
	Check() error
}

// FieldError reports an invalid field of a message. Reason completes a sentence
// that starts with the field's name.
type FieldError struct {
	Type   string
	Field  string
	Reason string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: field %s %s", e.Type, e.Field, e.Reason)
}

// DecodeError reports that data is not the encoding of a message of Type, is empty or is
// larger than MaxMessage.
type DecodeError struct {
	Type string
	Err  error
}

func (e *DecodeError) Error() string { return fmt.Sprintf("decode %s: %v", e.Type, e.Err) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// Encode returns the deterministic encoding of m. It doesn't call Check.
func Encode[T Message](m T) ([]byte, error) {
	mode, err := deterministic()
	if err != nil {
		return nil, err
	}
	return mode.Marshal(m)
}

// deterministic returns the encoder. It is built once, because building it costs
// more than encoding most messages.
var deterministic = sync.OnceValues(func() (cbor.EncMode, error) {
	return cbor.CoreDetEncOptions().EncMode()
})

// Decode decodes and checks a message. It returns a *DecodeError if data is larger
// than MaxMessage or not the encoding of one, and the error of Check if a field is
// invalid.
func Decode[T Message](data []byte) (T, error) {
	var m T
	if len(data) > MaxMessage {
		return m, &DecodeError{Type: fmt.Sprintf("%T", m), Err: fmt.Errorf("%d bytes, more than %d", len(data), MaxMessage)}
	}
	if len(data) == 1 && (data[0] == cborNull || data[0] == cborUndefined) {
		// Unmarshal would yield a nil pointer or a message of zero values.
		return m, &DecodeError{Type: fmt.Sprintf("%T", m), Err: errNull}
	}
	mode, err := decoder()
	if err != nil {
		return m, err
	}
	if err := mode.Unmarshal(data, &m); err != nil {
		return m, &DecodeError{Type: fmt.Sprintf("%T", m), Err: err}
	}
	if err := m.Check(); err != nil {
		return m, err
	}
	return m, nil
}
