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

// The lives of certificates that the command line offers.
const (
	AuthorityLifetime = 10 * 365 * 24 * time.Hour
	HostLifetime      = 90 * 24 * time.Hour
)

// backdate allows for clocks that differ between hosts.
const backdate = 5 * time.Minute

// The types of PEM blocks.
const (
	certificateBlock = "CERTIFICATE"
	keyBlock         = "PRIVATE KEY"
)

// Modes of the written files: only the owner reads a key.
const (
	keyMode         os.FileMode = 0o600
	certificateMode os.FileMode = 0o644
)

// Pair is a certificate and its private key, both in PEM.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// Write stores the pair, the key readable by its owner only. Each file is
// replaced in one step, so that a reader never sees half of it.
func (p Pair) Write(certificatePath, keyPath string) error {
	if err := replace(keyPath, p.Key, keyMode); err != nil {
		return err
	}
	return replace(certificatePath, p.Certificate, certificateMode)
}

func replace(path string, data []byte, mode os.FileMode) error {
	next := path + ".next"
	if err := os.WriteFile(next, data, mode); err != nil {
		return &FileError{Path: path, Err: err}
	}
	if err := os.Rename(next, path); err != nil {
		return &FileError{Path: path, Err: err}
	}
	return nil
}

// ReadPair loads a pair from its files.
func ReadPair(certificatePath, keyPath string) (Pair, error) {
	certificate, err := os.ReadFile(certificatePath) //nolint:gosec // named by the operator
	if err != nil {
		return Pair{}, &FileError{Path: certificatePath, Err: err}
	}
	key, err := os.ReadFile(keyPath) //nolint:gosec // named by the operator
	if err != nil {
		return Pair{}, &FileError{Path: keyPath, Err: err}
	}
	return Pair{Certificate: certificate, Key: key}, nil
}

// CreateAuthority makes an authority: a self-signed certificate that may issue the
// certificates of hosts.
func CreateAuthority(now time.Time, life time.Duration) (Pair, error) {
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: "hyssopwall authority"},
		NotBefore:             now.Add(-backdate),
		NotAfter:              now.Add(life),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageCRLSign,
	}
	return sign(template, nil, nil)
}

// Issue makes the certificate of a host, signed by the authority.
func Issue(authority Pair, host Host, now time.Time, life time.Duration) (Pair, error) {
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
		NotAfter:    now.Add(life),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	return sign(template, parent, key)
}

// sign makes a new key and a certificate for it. Without a parent the
// certificate signs itself.
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
