package link

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// A frame consists of a byte for its type, three bytes for the length of its content, and
// the content. The content of a stream's first frame is the name of the stream's kind.

// frameType is the type of a frame.
type frameType byte

const (
	kindFrame frameType = 1 + iota
	messageFrame
	errorFrame
)

// headerSize is the size in bytes of a frame's type and length.
const headerSize = 4

// maxKindLength is the maximum length in bytes of the name of a kind of stream or datagram.
const maxKindLength = 64

// appendFrame appends a frame to a buffer.
func appendFrame(buffer []byte, typ frameType, content []byte) ([]byte, error) {
	if len(content) > wire.MaxMessage {
		return buffer, &FrameError{Reason: fmt.Sprintf("%d bytes, more than %d", len(content), wire.MaxMessage)}
	}
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(typ)<<24|uint32(len(content)))
	return append(buffer, content...), nil
}

// readFrame reads one frame. It returns io.EOF only if the stream ended before the frame.
func readFrame(reader io.Reader) (frameType, []byte, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return 0, nil, err
	}
	word := binary.BigEndian.Uint32(header[:])
	typ, size := frameType(word>>24), int(word&0xffffff)
	if size > wire.MaxMessage || typ == kindFrame && size > maxKindLength {
		return 0, nil, &FrameError{Reason: fmt.Sprintf("content of %d bytes is too long", size)}
	}
	content, err := readContent(reader, size)
	return typ, content, err
}

// readIncrement is the size in bytes of the steps in which readContent reads and allocates,
// so that the length in a frame alone can't make it allocate much memory.
const readIncrement = 64 << 10

// readContent reads size bytes.
func readContent(reader io.Reader, size int) ([]byte, error) {
	content := make([]byte, 0, min(size, readIncrement))
	for len(content) < size {
		step := min(size-len(content), readIncrement)
		start := len(content)
		content = append(content, make([]byte, step)...)
		if _, err := io.ReadFull(reader, content[start:]); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return content, nil
}
