package identity

import (
	"crypto/ecdsa"
	"crypto/tls"
	"crypto/x509"
	"errors"
)

// errKeyType reports that the key of an authority isn't an ECDSA key.
var errKeyType = errors.New("not an ECDSA key")

// errNoAuthority reports that the PEM data of the authorities has no certificate.
var errNoAuthority = errors.New("authorities: no certificate found")

// Credentials are the certificate that a host presents to its peers and the
// authorities against which it verifies theirs.
type Credentials struct {
	Host        Host
	Certificate tls.Certificate
	Authorities *x509.CertPool
}

// ParseCredentials parses the pair of a host and the certificates of the authorities
// that it trusts, in PEM. There may be more than one authority, so that an authority
// can be replaced while certificates of both are in use. It returns a *PeerError when
// the certificate names no valid host, and another error when the PEM data is invalid or
// the key doesn't match. It doesn't check who signed the certificate.
func ParseCredentials(pair Pair, authorities []byte) (Credentials, error) {
	certificate, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return Credentials{}, err
	}
	host, err := HostOf(certificate.Leaf)
	if err != nil {
		return Credentials{}, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorities) {
		return Credentials{}, errNoAuthority
	}
	return Credentials{Host: host, Certificate: certificate, Authorities: pool}, nil
}

// parse returns the certificate and the ECDSA key of the pair.
func (p Pair) parse() (*x509.Certificate, *ecdsa.PrivateKey, error) {
	pair, err := tls.X509KeyPair(p.Certificate, p.Key)
	if err != nil {
		return nil, nil, err
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, nil, errKeyType
	}
	return pair.Leaf, key, nil
}
