package batch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// maxKeptBytes is the largest encoding that is kept in memory from its first pass. It is
// above the size of ordinary batches, which are thus encoded once.
const maxKeptBytes = 2 << 20

// encodedBody is a batch as it is stored. Each part is a JSON string with base64 data that
// fits into one object of the store.
type encodedBody struct {
	batch  Batch
	digest string // of the encoding before it was split, see digestOf
	parts  int    // number of parts
	raw    []byte // the encoding before it was split, nil if it is larger than maxKeptBytes
}

// encodeBody encodes a batch. Two attempts to submit the same batch may give different
// encodings: the configuration or the program may have changed between them. A large encoding
// is not kept, but made again when it is written: it would take more memory than the batch.
func encodeBody(batch Batch) (encodedBody, error) {
	body := encodedBody{batch: batch}
	digest, total := sha256.New(), 0
	err := encodeInPieces(batch, func(piece []byte) error {
		_, _ = digest.Write(piece) // never fails
		total += len(piece)
		if total <= maxKeptBytes {
			body.raw = append(body.raw, piece...)
		} else {
			body.raw = nil
		}
		return nil
	})
	body.digest = hex.EncodeToString(digest.Sum(nil)[:sha256.Size/2])
	body.parts = (total + maxPartBytes - 1) / maxPartBytes
	return body, err
}

// encodeInPieces passes the JSON encoding of a batch on, one item at a time. The pieces
// together are what encode returns.
func encodeInPieces(batch Batch, pass func(piece []byte) error) error {
	items := batch.Items
	batch.Items = []Item{}
	shell, err := encode(batch)
	if err != nil {
		return err
	}
	const end = "]}"
	open, ok := strings.CutSuffix(string(shell), end)
	if !ok {
		return &FieldError{Field: "items", Reason: "is not the last field of the encoding"}
	}
	if err := pass([]byte(open)); err != nil {
		return err
	}
	for i, item := range items {
		raw, err := encode(item)
		if err != nil {
			return err
		}
		if i > 0 {
			raw = append([]byte{','}, raw...)
		}
		if err := pass(raw); err != nil {
			return err
		}
	}
	return pass([]byte(end))
}

// each passes on the parts of the body.
func (e encodedBody) each(pass func(number int, part []byte) error) error {
	number := 0
	passPart := func(raw []byte) error {
		part, err := encode(raw)
		if err != nil {
			return err
		}
		number++
		return pass(number-1, part)
	}
	var buffer []byte
	split := func(piece []byte) error {
		for len(piece) > 0 {
			n := min(len(piece), maxPartBytes-len(buffer))
			buffer, piece = append(buffer, piece[:n]...), piece[n:]
			if len(buffer) < maxPartBytes {
				return nil
			}
			if err := passPart(buffer); err != nil {
				return err
			}
			buffer = buffer[:0]
		}
		return nil
	}
	var err error
	if e.raw != nil {
		err = split(e.raw)
	} else {
		err = encodeInPieces(e.batch, split)
	}
	if err != nil || len(buffer) == 0 {
		return err
	}
	return passPart(buffer)
}

// writeBody writes the parts of a body. Their keys contain the digest, so that an existing
// part was written by an earlier attempt with the same encoding.
func (l storage) writeBody(ctx context.Context, id string, body encodedBody) error {
	return body.each(func(number int, part []byte) error {
		return l.create(ctx, bodyKey(id, body.digest, number), part)
	})
}
