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

// recheck is how often the files are looked at for a change.
const recheck = time.Second

// Files names the files of a host: its certificate, its key, and the
// certificates of the authorities that it trusts.
type Files struct {
	Certificate string
	Key         string
	Authorities string
}

// Source holds the material of a host and reloads it when its files change,
// so that certificates rotate without a restart. Files that don't fit each
// other, as in the middle of a rotation, leave the last good material in use.
type Source struct {
	files Files
	now   func() time.Time
	log   event.Log

	mu      sync.Mutex
	current Credentials
	loads   uint64
	digest  [sha256.Size]byte
	looked  time.Time
}

// Open loads the files. It returns a *FileError or *PeerError when they can't
// be used. now is the clock against which certificates are checked.
func Open(files Files, now func() time.Time, log event.Log) (*Source, error) {
	s := &Source{files: files, now: now, log: log}
	if err := s.load(); err != nil {
		return nil, err
	}
	s.looked = now()
	return s, nil
}

// FixedSource returns a source without files.
func FixedSource(material Credentials, now func() time.Time, log event.Log) *Source {
	return &Source{current: material, now: now, log: log}
}

// Current returns the material in use, after a look at the files when the
// last one is old enough.
func (s *Source) Current() Credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.files != (Files{}) && now.Sub(s.looked).Abs() >= recheck {
		s.looked = now
		if err := s.load(); err != nil {
			s.log.Emit(event.CertificateUnusable, "host", s.current.Host.Name, "err", err.Error())
		}
	}
	return s.current
}

// LoadCount counts how often the material has changed. A peer that was admitted
// under an earlier count has to be admitted again.
func (s *Source) LoadCount() uint64 {
	s.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads
}

// Host returns the host that the certificate names.
func (s *Source) Host() Host { return s.Current().Host }

// load replaces the material when the content of the files has changed.
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
	material, err := ParseCredentials(pair, authorities)
	if err != nil {
		return &FileError{Path: s.files.Certificate, Err: err}
	}
	if s.current.Host != (Host{}) {
		if err := Match(material.Host, s.current.Host); err != nil {
			return err
		}
	}
	s.current, s.digest = material, digest
	s.loads++
	return nil
}

func digestOf(parts ...[]byte) [sha256.Size]byte {
	hash := sha256.New()
	for _, part := range parts {
		sum := sha256.Sum256(part)
		hash.Write(sum[:])
	}
	return [sha256.Size]byte(hash.Sum(nil))
}

// VerifyPeer checks the chain of a peer against the current authorities. A peer
// that is turned away is logged.
func (s *Source) VerifyPeer(chain []*x509.Certificate, address string) (Host, error) {
	host, err := Verify(chain, s.Current().Authorities, s.now())
	if err != nil {
		s.LogRefused(address, err)
	}
	return host, err
}

// LogRefused logs that a peer was turned away.
func (s *Source) LogRefused(address string, err error) {
	s.log.Emit(event.PeerRefused, "address", address, "err", err.Error())
}

// ServerTLS returns the TLS settings of an accepting endpoint. Each handshake
// reads the current material.
func (s *Source) ServerTLS(protocol string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		ClientAuth: tls.RequireAnyClientCert, // checked in VerifyConnection, with the given clock
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			current := s.Current().Certificate
			return &current, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			_, err := s.VerifyPeer(state.PeerCertificates, "")
			return err
		},
		SessionTicketsDisabled: true, // a resumed session would skip the check
	}
}

// ClientTLS returns the TLS settings for a dial to address. When the peer is
// turned away, the error goes to refused before the handshake fails.
func (s *Source) ClientTLS(protocol, address string, refused func(error)) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{protocol},
		InsecureSkipVerify: true, //nolint:gosec // hosts have no DNS names; VerifyConnection checks the chain
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
