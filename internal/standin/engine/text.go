package engine

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// The natural length of an answer is minLength to minLength+lengthSpread-1 tokens. One
// answer in stragglerShare is stragglerFactor times as long.
const (
	minLength       = 8
	lengthSpread    = 56
	stragglerFactor = 8
	stragglerShare  = 16
)

// textHash returns the hash of a prompt and a seed, which determines the text.
func textHash(prompt string, seed int64) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(prompt)
	_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, uint64(seed)))
	return digest.Sum64()
}

// Length returns the number of tokens of the answer to a prompt and seed if no limit
// cuts it off.
func Length(prompt string, seed int64) int {
	hash := textHash(prompt, seed)
	length := minLength + int(hash%lengthSpread)
	if (hash>>32)%stragglerShare == 0 {
		length *= stragglerFactor
	}
	return length
}

// token returns the token at an index of the text with this hash: a word and a space.
func token(hash uint64, index int) string {
	word := xxhash.Sum64(binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, hash), uint64(index)))
	return strconv.FormatUint(word%46656, 36) + " " // 46656 = 36³: at most three digits of base 36
}

// Text returns the complete answer to a prompt and seed with at most limit tokens,
// and the number of its tokens. A limit of zero means no limit.
func Text(prompt string, seed int64, limit int) (string, int) {
	count := Length(prompt, seed)
	if limit > 0 {
		count = min(count, limit)
	}
	hash := textHash(prompt, seed)
	var text strings.Builder
	for index := range count {
		text.WriteString(token(hash, index))
	}
	return text.String(), count
}
