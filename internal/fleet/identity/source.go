package identity

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = time.Second

// Files holds the paths of the files of a host: its certificate, its key, and the
// certificates of the authorities that it trusts.
type Files struct {
	Certificate string
	Key         string
	Authorities string
}

// Source holds the credentials of a host and reloads them when its files change, so
// that certificates rotate without a restart. While the files are invalid or
// inconsistent, as in the middle of a rotation, the last valid credentials stay in
// use. It is safe for concurrent use.
type Source struct {
	files Files
	now   func() time.Time
	log   event.Log

	mu      sync.Mutex
	current Credentials
	loads   uint64
	digest  [sha256.Size]byte // of the files that current was loaded from
	checked time.Time         // when the files were last checked for changes
}

// Open loads the files. It returns a *FileError when they can't be read or parsed; the
// error wraps a *PeerError when the certificate names no valid host. now is the clock
// against which the certificates of peers are verified.
func Open(files Files, now func() time.Time, log event.Log) (*Source, error) {
	s := &Source{files: files, now: now, log: log}
	if err := s.load(); err != nil {
		return nil, err
	}
	s.checked = now()
	return s, nil
}

// FixedSource returns a source whose credentials never change.
func FixedSource(credentials Credentials, now func() time.Time, log event.Log) *Source {
	return &Source{current: credentials, now: now, log: log}
}

// Current returns the credentials in use. It first reloads the files if the last check
// is at least checkInterval ago.
func (s *Source) Current() Credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.files != (Files{}) && now.Sub(s.checked).Abs() >= checkInterval {
		s.checked = now
		if err := s.load(); err != nil {
			s.log.Emit(event.CertificateUnusable, "host", s.current.Host.Name, "err", err.Error())
		}
	}
	return s.current
}

// LoadCount returns how often the credentials were loaded; it first reloads the files like
// Current. A peer that was verified under an earlier count has to be verified again. The
// count of a FixedSource stays zero.
func (s *Source) LoadCount() uint64 {
	s.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads
}

// Host returns the host that the current certificate names.
func (s *Source) Host() Host { return s.Current().Host }

// load replaces the credentials when the content of the files has changed. It refuses
// a certificate that names another host.
func (s *Source) load() error {
	pair, err := ReadPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return err
	}
	authorities, err := os.ReadFile(s.files.Authorities)
	if err != nil {
		return &FileError{Path: s.files.Authorities, Err: err}
	}
	digest := digestOf(pair.Certificate, pair.Key, authorities)
	if digest == s.digest {
		return nil
	}
	credentials, err := ParseCredentials(pair, authorities)
	if err != nil {
		return &FileError{Path: s.files.Certificate, Err: err}
	}
	if s.current.Host != (Host{}) {
		if err := Match(credentials.Host, s.current.Host); err != nil {
			return err
		}
	}
	s.current, s.digest = credentials, digest
	s.loads++
	return nil
}

// digestOf returns the hash of the hashes of the parts.
func digestOf(parts ...[]byte) [sha256.Size]byte {
	hash := sha256.New()
	for _, part := range parts {
		sum := sha256.Sum256(part)
		hash.Write(sum[:])
	}
	return [sha256.Size]byte(hash.Sum(nil))
}

// VerifyPeer verifies the certificate chain of a peer against the current authorities
// and returns the host that it names. A refused peer is logged with its address, which is
// empty if unknown.
func (s *Source) VerifyPeer(chain []*x509.Certificate, address string) (Host, error) {
	host, err := Verify(chain, s.Current().Authorities, s.now())
	if err != nil {
		s.LogRefused(address, err)
	}
	return host, err
}

// LogRefused logs that a peer was refused.
func (s *Source) LogRefused(address string, err error) {
	s.log.Emit(event.PeerRefused, "address", address, "err", err.Error())
}

// ServerTLS returns the TLS configuration of an accepting endpoint. Each handshake
// uses the current credentials.
func (s *Source) ServerTLS(protocol string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		ClientAuth: tls.RequireAnyClientCert, // verified in VerifyConnection, against the clock of the source
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			current := s.Current().Certificate
			return &current, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			_, err := s.VerifyPeer(state.PeerCertificates, "")
			return err
		},
		SessionTicketsDisabled: true, // in a resumed session the peer would not prove its key again
	}
}

// ClientTLS returns the TLS configuration to dial an address. When the peer is
// refused, refused, which must not be nil, is called with the error before the handshake
// fails.
func (s *Source) ClientTLS(protocol, address string, refused func(error)) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{protocol},
		InsecureSkipVerify: true, //nolint:gosec // hosts have no DNS names; VerifyConnection verifies the chain
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			current := s.Current().Certificate
			return &current, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			_, err := s.VerifyPeer(state.PeerCertificates, address)
			if err != nil {
				refused(err)
			}
			return err
		},
	}
}
