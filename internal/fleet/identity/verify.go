package identity

import (
	"crypto/x509"
	"time"
)

// Verify checks the certificate chain of a peer, the leaf first, against the
// authorities at the time now, and returns the host that it names. It returns
// a *PeerError otherwise.
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

// Match returns a *PeerError when the proven host is not the one that was
// claimed or expected.
func Match(proven, claimed Host) error {
	if proven.Zone != claimed.Zone {
		return &PeerError{Reason: WrongZone, Host: proven, Want: claimed}
	}
	if proven.Name != claimed.Name {
		return &PeerError{Reason: WrongName, Host: proven, Want: claimed}
	}
	return nil
}
