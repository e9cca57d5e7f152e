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

// admission is one scripted peer: what it shows and when, and what follows.
type admission struct {
	Peer      identity.Host
	Claim     *identity.Host
	Minutes   int // life of its certificate
	After     int // minutes after the issue
	Authority string
	Empty     bool
	Reason    identity.Reason
}

func chain(pair identity.Pair) []*x509.Certificate {
	block, _ := pem.Decode(pair.Certificate)
	certificate, err := x509.ParseCertificate(block.Bytes)
	Expect(err).NotTo(HaveOccurred())
	return []*x509.Certificate{certificate}
}

func create() identity.Pair {
	pair, err := identity.CreateAuthority(start, identity.AuthorityLifetime)
	Expect(err).NotTo(HaveOccurred())
	return pair
}

func issue(authority identity.Pair, host identity.Host, life time.Duration) identity.Pair {
	pair, err := identity.Issue(authority, host, start, life)
	Expect(err).NotTo(HaveOccurred())
	return pair
}

func admit(script admission) error {
	own, other := create(), create()
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(own.Certificate)
	signer := own
	if script.Authority == "other" {
		signer = other
	}
	shown := chain(issue(signer, script.Peer, time.Duration(script.Minutes)*time.Minute))
	if script.Empty {
		shown = nil
	}
	now := start.Add(time.Duration(script.After) * time.Minute)
	host, err := identity.Verify(shown, pool, now)
	if err != nil || script.Claim == nil {
		return err
	}
	return identity.Match(host, *script.Claim)
}

var _ = Describe("a peer", func() {
	all, err := cases.Load[map[string]admission]("testdata/*.hujson")
	if err != nil {
		panic(err)
	}
	for _, file := range all {
		for name, script := range file.Data {
			It(file.Name+": "+name, func() {
				err := admit(script)
				if script.Reason == "" {
					Expect(err).NotTo(HaveOccurred())
					return
				}
				var refused *identity.PeerError
				Expect(errors.As(err, &refused)).To(BeTrue())
				Expect(refused.Reason).To(Equal(script.Reason))
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
		authority, now, unusable = create(), start, 0
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

	It("takes a new certificate without a restart", func() {
		before := source.Current().Certificate.Leaf.SerialNumber
		write(issue(authority, host, time.Hour))
		Expect(source.Current().Certificate.Leaf.SerialNumber).NotTo(Equal(before))
		Expect(unusable).To(BeZero())
	})

	It("keeps the last good one while key and certificate don't fit", func() {
		before := source.Current().Certificate.Leaf.SerialNumber
		Expect(os.WriteFile(files.Key, issue(authority, host, time.Hour).Key, 0o600)).To(Succeed())
		now = now.Add(time.Minute)
		Expect(source.Current().Certificate.Leaf.SerialNumber).To(Equal(before))
		Expect(unusable).To(Equal(1))
	})

	It("refuses a certificate that makes it another host", func() {
		write(issue(authority, identity.Host{Name: "h1", Zone: "z2"}, time.Hour))
		Expect(source.Host()).To(Equal(host))
		Expect(unusable).To(Equal(1))
	})

	It("trusts the old and the new authority during a change", func() {
		next := create()
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
