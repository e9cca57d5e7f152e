package identity

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"os"
	"time"
)

// The default lifetimes of the certificates that the command line issues.
const (
	AuthorityLifetime = 10 * 365 * 24 * time.Hour
	HostLifetime      = 90 * 24 * time.Hour
)

// backdate is how far before its issue a certificate becomes valid, which allows for
// clocks that differ between hosts.
const backdate = 5 * time.Minute

// The types of PEM blocks.
const (
	certificateBlock = "CERTIFICATE"
	keyBlock         = "PRIVATE KEY"
)

// Modes of the written files. Only the owner can read a key.
const (
	keyMode         os.FileMode = 0o600
	certificateMode os.FileMode = 0o644
)

// Pair is a certificate and its private key, both in PEM.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// Write stores the pair in two files. Only the owner can read the key. Each file is
// replaced atomically, so that a reader never sees a partial file. The two files are
// replaced one after the other, the key first. The error is a *FileError.
func (p Pair) Write(certificatePath, keyPath string) error {
	if err := replaceFile(keyPath, p.Key, keyMode); err != nil {
		return err
	}
	return replaceFile(certificatePath, p.Certificate, certificateMode)
}

// replaceFile writes the data to a temporary file next to path and renames it. A
// temporary file that is left from an earlier call keeps its mode.
func replaceFile(path string, data []byte, mode os.FileMode) error {
	temporary := path + ".next"
	if err := os.WriteFile(temporary, data, mode); err != nil {
		return &FileError{Path: path, Err: err}
	}
	if err := os.Rename(temporary, path); err != nil {
		return &FileError{Path: path, Err: err}
	}
	return nil
}

// ReadPair reads a pair from its files. It returns a *FileError when a file can't be
// read.
func ReadPair(certificatePath, keyPath string) (Pair, error) {
	certificate, err := os.ReadFile(certificatePath) //nolint:gosec // the operator sets the path
	if err != nil {
		return Pair{}, &FileError{Path: certificatePath, Err: err}
	}
	key, err := os.ReadFile(keyPath) //nolint:gosec // the operator sets the path
	if err != nil {
		return Pair{}, &FileError{Path: keyPath, Err: err}
	}
	return Pair{Certificate: certificate, Key: key}, nil
}

// CreateAuthority makes the pair of a new authority, whose certificate is self-signed
// and may sign the certificates of hosts.
func CreateAuthority(now time.Time, lifetime time.Duration) (Pair, error) {
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: "hyssopwall authority"},
		NotBefore:             now.Add(-backdate),
		NotAfter:              now.Add(lifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageCRLSign,
	}
	return sign(template, nil, nil)
}

// Issue makes the pair of a host, whose certificate the authority signs. It returns a
// *NameError when the host's name or zone is invalid.
func Issue(authority Pair, host Host, now time.Time, lifetime time.Duration) (Pair, error) {
	if err := host.Check(); err != nil {
		return Pair{}, err
	}
	parent, key, err := authority.parse()
	if err != nil {
		return Pair{}, err
	}
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: host.Name},
		URIs:        []*url.URL{host.URI()},
		NotBefore:   now.Add(-backdate),
		NotAfter:    now.Add(lifetime),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	return sign(template, parent, key)
}

// sign makes a new key and a certificate for it, signed by the parent. Without a
// parent the certificate is self-signed.
func sign(template, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, err
	}
	if parent == nil {
		parent, parentKey = template, key
	}
	template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		return Pair{}, err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), parentKey)
	if err != nil {
		return Pair{}, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, err
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: keyBlock, Bytes: keyDER}),
	}, nil
}
