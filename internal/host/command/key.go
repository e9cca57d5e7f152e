package command

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
)

type keyCommand struct {
	New       keyNewCommand       `cmd:"" help:"Make a caller's key and its digest."`
	Authority keyAuthorityCommand `cmd:"" help:"Make the authority that issues the certificates of hosts."`
	Host      keyHostCommand      `cmd:"" help:"Make the certificate of a host."`
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

type keyAuthorityCommand struct {
	output
	Folder string `default:"." type:"existingdir" help:"Where to write authority.pem and authority.key."`
}

type keyHostCommand struct {
	output
	Folder    string        `default:"." type:"existingdir" help:"Where to write HOST.pem and HOST.key."`
	Authority string        `default:"authority" help:"Path of the authority's files, without .pem and .key."`
	Host      string        `required:"" help:"Name of the host, as its settings say."`
	Zone      string        `required:"" help:"Availability zone of the host, as its settings say."`
	Life      time.Duration `default:"2160h" help:"How long the certificate is valid."`
}

// written names the files of a new certificate and when it ends.
type written struct {
	Certificate string    `json:"certificate"`
	Key         string    `json:"key"`
	Ends        time.Time `json:"ends"`
}

// Run makes an authority. It does not replace one, since that would cut off
// every host whose certificate the old one has issued.
func (c keyAuthorityCommand) Run(streams Streams) error {
	files := filesOf(filepath.Join(c.Folder, "authority"))
	for _, path := range []string{files.Certificate, files.Key} {
		if _, err := os.Stat(path); err == nil {
			return &FailedError{Reason: path + " is there already"}
		}
	}
	now := time.Now()
	pair, err := identity.CreateAuthority(now, identity.AuthorityLifetime)
	if err != nil {
		return err
	}
	files.Ends = now.Add(identity.AuthorityLifetime).UTC()
	return files.write(c.output, streams, pair)
}

// Run makes the certificate of a host, and replaces the one that is there.
func (c keyHostCommand) Run(streams Streams) error {
	if c.Life <= 0 {
		return &usageError{reason: "--life must be more than zero"}
	}
	from := filesOf(c.Authority)
	authority, err := identity.ReadPair(from.Certificate, from.Key)
	if err != nil {
		return err
	}
	now := time.Now()
	pair, err := identity.Issue(authority, identity.Host{Name: c.Host, Zone: c.Zone}, now, c.Life)
	var name *identity.NameError
	if errors.As(err, &name) {
		return &usageError{reason: err.Error()}
	}
	if err != nil {
		return err
	}
	files := filesOf(filepath.Join(c.Folder, c.Host))
	files.Ends = now.Add(c.Life).UTC()
	return files.write(c.output, streams, pair)
}

func filesOf(path string) written {
	return written{Certificate: path + ".pem", Key: path + ".key"}
}

func (w written) write(out output, streams Streams, pair identity.Pair) error {
	if err := pair.Write(w.Certificate, w.Key); err != nil {
		return err
	}
	return out.show(streams, w, func() error {
		_, err := fmt.Fprintf(streams.Out, "certificate  %s\nkey          %s\nends         %s\n", w.Certificate, w.Key, w.Ends.Format(time.RFC3339))
		return err
	})
}
