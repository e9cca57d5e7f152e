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

// keyCommand groups the commands that create keys and certificates.
type keyCommand struct {
	New       keyNewCommand       `cmd:"" help:"Create a caller's key and its digest."`
	Authority keyAuthorityCommand `cmd:"" help:"Create the authority that issues the certificates of hosts."`
	Host      keyHostCommand      `cmd:"" help:"Create the certificate of a host."`
}

// keyNewCommand is "key new".
type keyNewCommand struct {
	output
}

// keyBytes is the number of random bytes in a key.
const keyBytes = 32

// keyPair is a new key and its SHA-256 digest, which the document stores in its place.
type keyPair struct {
	Key    string `json:"key"`
	Digest string `json:"digest"`
}

// Run creates a random key and shows it with its digest.
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

// keyAuthorityCommand is "key authority".
type keyAuthorityCommand struct {
	output
	Folder string `default:"." type:"existingdir" help:"Where to write authority.pem and authority.key."`
}

// keyHostCommand is "key host".
type keyHostCommand struct {
	output
	Folder    string        `default:"." type:"existingdir" help:"Where to write HOST.pem and HOST.key."`
	Authority string        `default:"authority" help:"Path of the authority's files, without .pem and .key."`
	Host      string        `required:"" help:"Name of the host, as in its settings."`
	Zone      string        `required:"" help:"Availability zone of the host, as in its settings."`
	Life      time.Duration `default:"2160h" help:"How long the certificate is valid."`
}

// certificateFiles names the files of a certificate and its key, and when it expires.
type certificateFiles struct {
	Certificate string    `json:"certificate"`
	Key         string    `json:"key"`
	Ends        time.Time `json:"ends"`
}

// Run creates an authority. It refuses to replace an existing one, since the hosts whose
// certificates that one issued would no longer be trusted.
func (c keyAuthorityCommand) Run(streams Streams) error {
	files := certificateFilesAt(filepath.Join(c.Folder, "authority"))
	for _, path := range []string{files.Certificate, files.Key} {
		if _, err := os.Stat(path); err == nil {
			return &FailedError{Reason: path + " already exists"}
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

// Run creates the certificate of a host; an existing one is replaced.
func (c keyHostCommand) Run(streams Streams) error {
	if c.Life <= 0 {
		return &usageError{reason: "--life must be more than zero"}
	}
	authorityFiles := certificateFilesAt(c.Authority)
	authority, err := identity.ReadPair(authorityFiles.Certificate, authorityFiles.Key)
	if err != nil {
		return err
	}
	now := time.Now()
	pair, err := identity.Issue(authority, identity.Host{Name: c.Host, Zone: c.Zone}, now, c.Life)
	var invalidName *identity.NameError
	if errors.As(err, &invalidName) {
		return &usageError{reason: err.Error()}
	}
	if err != nil {
		return err
	}
	files := certificateFilesAt(filepath.Join(c.Folder, c.Host))
	files.Ends = now.Add(c.Life).UTC()
	return files.write(c.output, streams, pair)
}

// certificateFilesAt returns the file names for a path without extension.
func certificateFilesAt(path string) certificateFiles {
	return certificateFiles{Certificate: path + ".pem", Key: path + ".key"}
}

// write stores the certificate and its key in the files and shows the file names.
func (f certificateFiles) write(out output, streams Streams, pair identity.Pair) error {
	if err := pair.Write(f.Certificate, f.Key); err != nil {
		return err
	}
	return out.show(streams, f, func() error {
		_, err := fmt.Fprintf(streams.Out, "certificate  %s\nkey          %s\nends         %s\n", f.Certificate, f.Key, f.Ends.Format(time.RFC3339))
		return err
	})
}
