package engine

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// The natural length of an answer in tokens. One answer in stragglerShare is
// straggler times as long.
const (
	shortest       = 8
	spread         = 56
	straggler      = 8
	stragglerShare = 16
)

// source names the text of a prompt and a seed.
func source(prompt string, seed int64) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(prompt)
	_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, uint64(seed)))
	return digest.Sum64()
}

// Length returns the natural length in tokens of the answer.
func Length(prompt string, seed int64) int {
	from := source(prompt, seed)
	length := shortest + int(from%spread)
	if (from>>32)%stragglerShare == 0 {
		length *= straggler
	}
	return length
}

// token returns the token at a place, a word with a space after it.
func token(from uint64, place int) string {
	word := xxhash.Sum64(binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, from), uint64(place)))
	return strconv.FormatUint(word%46656, 36) + " "
}

// Text returns the whole answer to a prompt and seed with at most limit tokens,
// and the number of its tokens. A limit of zero sets no bound.
func Text(prompt string, seed int64, limit int) (string, int) {
	count := Length(prompt, seed)
	if limit > 0 {
		count = min(count, limit)
	}
	from := source(prompt, seed)
	var text strings.Builder
	for place := range count {
		text.WriteString(token(from, place))
	}
	return text.String(), count
}
