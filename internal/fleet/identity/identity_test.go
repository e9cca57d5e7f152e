package identity_test

import (
	"crypto/x509"
	"encoding/pem"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
)

func TestIdentity(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Identity Suite")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// verification is a test case: a peer's certificate, when it is verified, and the
// expected result.
type verification struct {
	Peer      identity.Host   // that the certificate names
	Claim     *identity.Host  // that the peer claims to be
	Minutes   int             // lifetime of the certificate
	After     int             // minutes from its issue to the verification
	Authority string          // "other" issues from one that isn't trusted
	Empty     bool            // the peer presents no certificate
	Reason    identity.Reason // of the refusal; empty expects success
}

// chain returns the certificate chain that a host with the pair presents.
func chain(pair identity.Pair) []*x509.Certificate {
	block, _ := pem.Decode(pair.Certificate)
	certificate, err := x509.ParseCertificate(block.Bytes)
	Expect(err).NotTo(HaveOccurred())
	return []*x509.Certificate{certificate}
}

func createAuthority() identity.Pair {
	pair, err := identity.CreateAuthority(start, identity.AuthorityLifetime)
	Expect(err).NotTo(HaveOccurred())
	return pair
}

func issue(authority identity.Pair, host identity.Host, lifetime time.Duration) identity.Pair {
	pair, err := identity.Issue(authority, host, start, lifetime)
	Expect(err).NotTo(HaveOccurred())
	return pair
}

// verify runs a test case and returns the error of the refusal.
func verify(test verification) error {
	own, other := createAuthority(), createAuthority()
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(own.Certificate)
	signer := own
	if test.Authority == "other" {
		signer = other
	}
	presented := chain(issue(signer, test.Peer, time.Duration(test.Minutes)*time.Minute))
	if test.Empty {
		presented = nil
	}
	now := start.Add(time.Duration(test.After) * time.Minute)
	host, err := identity.Verify(presented, pool, now)
	if err != nil || test.Claim == nil {
		return err
	}
	return identity.Match(host, *test.Claim)
}

var _ = Describe("a peer", func() {
	all, err := cases.Load[map[string]verification]("testdata/*.hujson")
	if err != nil {
		panic(err)
	}
	for _, file := range all {
		for name, test := range file.Data {
			It(file.Name+": "+name, func() {
				err := verify(test)
				if test.Reason == "" {
					Expect(err).NotTo(HaveOccurred())
					return
				}
				var refused *identity.PeerError
				Expect(errors.As(err, &refused)).To(BeTrue())
				Expect(refused.Reason).To(Equal(test.Reason))
			})
		}
	}
})

var _ = Describe("a source with files", func() {
	var (
		files     identity.Files
		authority identity.Pair
		now       time.Time
		unusable  int
		source    *identity.Source
	)
	host := identity.Host{Name: "h1", Zone: "z1"}
	write := func(pair identity.Pair) {
		GinkgoHelper()
		Expect(pair.Write(files.Certificate, files.Key)).To(Succeed())
		now = now.Add(time.Minute)
	}
	BeforeEach(func() {
		folder := GinkgoT().TempDir()
		files = identity.Files{
			Certificate: filepath.Join(folder, "host.pem"),
			Key:         filepath.Join(folder, "host.key"),
			Authorities: filepath.Join(folder, "authority.pem"),
		}
		authority, now, unusable = createAuthority(), start, 0
		Expect(os.WriteFile(files.Authorities, authority.Certificate, 0o600)).To(Succeed())
		write(issue(authority, host, time.Hour))
		var err error
		source, err = identity.Open(files, func() time.Time { return now }, event.Log{Sink: func(entry event.Entry, _ []any) {
			if entry.Number == event.CertificateUnusable {
				unusable++
			}
		}})
		Expect(err).NotTo(HaveOccurred())
	})

	It("reloads a new certificate without a restart", func() {
		before := source.Current().Certificate.Leaf.SerialNumber
		write(issue(authority, host, time.Hour))
		Expect(source.Current().Certificate.Leaf.SerialNumber).NotTo(Equal(before))
		Expect(unusable).To(BeZero())
	})

	It("keeps the last valid certificate while key and certificate don't match", func() {
		before := source.Current().Certificate.Leaf.SerialNumber
		Expect(os.WriteFile(files.Key, issue(authority, host, time.Hour).Key, 0o600)).To(Succeed())
		now = now.Add(time.Minute)
		Expect(source.Current().Certificate.Leaf.SerialNumber).To(Equal(before))
		Expect(unusable).To(Equal(1))
	})

	It("refuses a certificate that names another host", func() {
		write(issue(authority, identity.Host{Name: "h1", Zone: "z2"}, time.Hour))
		Expect(source.Host()).To(Equal(host))
		Expect(unusable).To(Equal(1))
	})

	It("trusts the old and the new authority while one replaces the other", func() {
		next := createAuthority()
		both := append(append([]byte{}, authority.Certificate...), next.Certificate...)
		Expect(os.WriteFile(files.Authorities, both, 0o600)).To(Succeed())
		now = now.Add(time.Minute)
		for _, signer := range []identity.Pair{authority, next} {
			_, err := source.VerifyPeer(chain(issue(signer, host, time.Hour)), "")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(os.WriteFile(files.Authorities, next.Certificate, 0o600)).To(Succeed())
		now = now.Add(time.Minute)
		_, err := source.VerifyPeer(chain(issue(authority, host, time.Hour)), "")
		Expect(err).To(HaveOccurred())
	})
})
