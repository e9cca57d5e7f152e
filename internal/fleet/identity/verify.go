package identity

import (
	"crypto/x509"
	"time"
)

// Verify verifies the certificate chain of a peer, leaf first, against the authorities
// at the time now, and returns the host that the leaf names. It returns a *PeerError
// when the chain is invalid.
func Verify(chain []*x509.Certificate, authorities *x509.CertPool, now time.Time) (Host, error) {
	if len(chain) == 0 {
		return Host{}, &PeerError{Reason: NoCertificate}
	}
	leaf := chain[0]
	host, err := HostOf(leaf)
	if err != nil {
		return Host{}, err
	}
	if now.After(leaf.NotAfter) {
		return host, &PeerError{Reason: Expired, Host: host}
	}
	if now.Before(leaf.NotBefore) {
		return host, &PeerError{Reason: NotYetValid, Host: host}
	}
	options := x509.VerifyOptions{
		Roots:         authorities,
		Intermediates: x509.NewCertPool(),
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, certificate := range chain[1:] {
		options.Intermediates.AddCert(certificate)
	}
	if _, err := leaf.Verify(options); err != nil {
		return host, &PeerError{Reason: WrongAuthority, Host: host, Err: err}
	}
	return host, nil
}

// Match returns a *PeerError when the verified host isn't the host that the peer
// claimed to be or that was expected.
func Match(verified, want Host) error {
	if verified.Zone != want.Zone {
		return &PeerError{Reason: WrongZone, Host: verified, Want: want}
	}
	if verified.Name != want.Name {
		return &PeerError{Reason: WrongName, Host: verified, Want: want}
	}
	return nil
}
