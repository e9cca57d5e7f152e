// Package identity says which host a process is and proves it to its peers.
//
// An authority, run by the operators, issues one certificate to each host. The
// certificate names the host and its availability zone in a URI, so that a
// peer knows both from the handshake alone and trusts no address.
package identity

import (
	"crypto/x509"
	"net/url"
	"strings"
)

// scheme and trustDomain start the URI that names a host.
const (
	scheme      = "spiffe"
	trustDomain = "hyssopwall"
)

// MaxNameLength is the longest name of a host or zone in bytes.
const MaxNameLength = 63

// Host is a machine of the fleet: its name and its availability zone.
type Host struct {
	Name string `json:"name" cbor:"1,keyasint"`
	Zone string `json:"zone" cbor:"2,keyasint"`
}

// URI returns the name that the certificate of the host carries.
func (h Host) URI() *url.URL {
	return &url.URL{Scheme: scheme, Host: trustDomain, Path: "/zone/" + h.Zone + "/host/" + h.Name}
}

// Check returns a *NameError when the name or the zone can't stand in a URI.
func (h Host) Check() error {
	if !validName(h.Name) {
		return &NameError{Field: "name", Value: h.Name}
	}
	if !validName(h.Zone) {
		return &NameError{Field: "zone", Value: h.Zone}
	}
	return nil
}

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

// HostOf returns the host that the certificate names. It returns a *PeerError
// when the certificate names none or more than one.
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
