package identity

import (
	"crypto/ecdsa"
	"crypto/tls"
	"crypto/x509"
	"errors"
)

// errKeyType is the cause when a key is of another kind than ours.
var errKeyType = errors.New("not an ECDSA key")

// errNoAuthority is the cause when an authority file holds no certificate.
var errNoAuthority = errors.New("no certificate in it")

// Credentials is what a host shows to its peers and checks them against.
type Credentials struct {
	Host        Host
	Certificate tls.Certificate
	Authorities *x509.CertPool
}

// ParseCredentials parses the pair of a host and the certificates of the authorities
// that it trusts, in PEM. More than one authority may be given, so that an
// authority can be replaced while both are in use.
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
