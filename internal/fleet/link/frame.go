package link

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// A frame is one byte that tells its type, three bytes of length, and that
// many bytes. The first frame of a stream names its kind.

type frameType byte

const (
	kindFrame frameType = 1 + iota
	messageFrame
	errorFrame
)

// headerSize is the size in bytes of what stands before the content of a frame.
const headerSize = 4

// maxKind is the longest name of a kind in bytes.
const maxKind = 64

func appendFrame(buffer []byte, kind frameType, content []byte) ([]byte, error) {
	if len(content) > wire.MaxMessage {
		return buffer, &FrameError{Reason: fmt.Sprintf("%d bytes, more than %d", len(content), wire.MaxMessage)}
	}
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(kind)<<24|uint32(len(content)))
	return append(buffer, content...), nil
}

// readFrame returns io.EOF only between frames.
func readFrame(reader io.Reader) (frameType, []byte, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return 0, nil, err
	}
	word := binary.BigEndian.Uint32(header[:])
	kind, size := frameType(word>>24), int(word&0xffffff)
	if size > wire.MaxMessage || kind == kindFrame && size > maxKind {
		return 0, nil, &FrameError{Reason: fmt.Sprintf("%d bytes are too many", size)}
	}
	content, err := readContent(reader, size)
	return kind, content, err
}

// readStep bounds the memory that a length alone can claim.
const readStep = 64 << 10

func readContent(reader io.Reader, size int) ([]byte, error) {
	content := make([]byte, 0, min(size, readStep))
	for len(content) < size {
		step := min(size-len(content), readStep)
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
