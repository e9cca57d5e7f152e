// Package identity identifies hosts to each other by certificates.
//
// An authority, run by the operators, issues one certificate to each host. The
// certificate names the host and its availability zone in a URI, so that a peer
// learns both from the TLS handshake and doesn't rely on network addresses.
package identity

import (
	"crypto/x509"
	"net/url"
	"strings"
)

// scheme and trustDomain are the scheme and the host of the URI that names a host.
const (
	scheme      = "spiffe"
	trustDomain = "hyssopwall"
)

// MaxNameLength is the maximum length of the name of a host or zone, in bytes.
const MaxNameLength = 63

// Host identifies a machine of the fleet by its name and its availability zone.
type Host struct {
	Name string `json:"name" cbor:"1,keyasint"`
	Zone string `json:"zone" cbor:"2,keyasint"`
}

// URI returns the URI that names the host in its certificate.
func (h Host) URI() *url.URL {
	return &url.URL{Scheme: scheme, Host: trustDomain, Path: "/zone/" + h.Zone + "/host/" + h.Name}
}

// Check returns a *NameError when the name or the zone isn't valid in the URI.
func (h Host) Check() error {
	if !validName(h.Name) {
		return &NameError{Field: "name", Value: h.Name}
	}
	if !validName(h.Zone) {
		return &NameError{Field: "zone", Value: h.Zone}
	}
	return nil
}

// validName reports whether a name has 1 to MaxNameLength letters, digits, '-' or '.'
// and isn't a relative path element.
func validName(name string) bool {
	if name == "" || len(name) > MaxNameLength {
		return false
	}
	for _, r := range name {
		ok := r == '-' || r == '.' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		if !ok {
			return false
		}
	}
	return name != "." && name != ".."
}

// HostOf returns the host that the certificate names. It returns a *PeerError when
// the certificate has no valid host URI or more than one URI.
func HostOf(certificate *x509.Certificate) (Host, error) {
	if len(certificate.URIs) != 1 {
		return Host{}, &PeerError{Reason: NoHost}
	}
	uri := certificate.URIs[0]
	parts := strings.Split(uri.Path, "/")
	wellFormed := uri.Scheme == scheme && uri.Host == trustDomain &&
		len(parts) == 5 && parts[1] == "zone" && parts[3] == "host"
	if !wellFormed {
		return Host{}, &PeerError{Reason: NoHost}
	}
	host := Host{Name: parts[4], Zone: parts[2]}
	if host.Check() != nil {
		return Host{}, &PeerError{Reason: NoHost}
	}
	return host, nil
}
