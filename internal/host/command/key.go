package command

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
)

type keyCommand struct {
	New keyNewCommand `cmd:"" help:"Make a caller's key and its digest."`
}

type keyNewCommand struct {
	output
}

// keyBytes is the entropy of a key in bytes.
const keyBytes = 32

// keyPair is a new key and what the document stores of it.
type keyPair struct {
	Key    string `json:"key"`
	Digest string `json:"digest"`
}

func (c keyNewCommand) Run(streams Streams) error {
	raw := make([]byte, keyBytes)
	if _, err := rand.Read(raw); err != nil {
		return err
	}
	key := "hw-" + base64.RawURLEncoding.EncodeToString(raw)
	sum := sha256.Sum256([]byte(key))
	pair := keyPair{Key: key, Digest: hex.EncodeToString(sum[:])}
	return c.show(streams, pair, func() error {
		_, err := fmt.Fprintf(streams.Out, "key     %s\ndigest  %s\n", pair.Key, pair.Digest)
		return err
	})
}
