package roster_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
	"github.com/hyssopwall/hyssopwall/internal/fleet/link"
	"github.com/hyssopwall/hyssopwall/internal/fleet/roster"
	"github.com/hyssopwall/hyssopwall/internal/platform/hostlist"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// lister is a host list that never changes.
type lister []hostlist.Host

func (l lister) Hosts(context.Context) ([]hostlist.Host, error) { return l, nil }

var _ = Describe("a Runner", func() {
	It("joins the hosts of the list over real links, reports versions, and refuses a host of another authority", func(ctx SpecContext) {
		quiet := event.Log{Sink: func(event.Entry, []any) {}}
		authority, err := identity.CreateAuthority(time.Now(), time.Hour)
		Expect(err).NotTo(HaveOccurred())
		otherAuthority, err := identity.CreateAuthority(time.Now(), time.Hour)
		Expect(err).NotTo(HaveOccurred())
		listen := func(signer identity.Pair, name, zone string) *link.Endpoint {
			pair, err := identity.Issue(signer, identity.Host{Name: name, Zone: zone}, time.Now(), time.Hour)
			Expect(err).NotTo(HaveOccurred())
			credentials, err := identity.ParseCredentials(pair, authority.Certificate)
			Expect(err).NotTo(HaveOccurred())
			e, err := link.Listen(link.Config{Address: "127.0.0.1:0", Identity: identity.FixedSource(credentials, time.Now, quiet), Log: quiet})
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(e.Close)
			return e
		}
		ends := []*link.Endpoint{
			listen(authority, "h0", "z1"), listen(authority, "h1", "z1"), listen(authority, "h2", "z1"),
			listen(authority, "h3", "z2"), listen(otherAuthority, "h4", "z1"),
		}
		var list lister
		for i, e := range ends {
			list = append(list, hostlist.Host{Name: fmt.Sprintf("h%d", i), Zone: e.Host().Zone, Address: e.Address()})
		}
		var newest atomic.Uint64
		runners := make([]*roster.Runner, len(ends))
		for i, e := range ends {
			runners[i] = roster.Start(roster.Options{
				Endpoint: e,
				List:     list,
				Log:      quiet,
				Summarize: func() roster.SummariesUpdated {
					return roster.SummariesUpdated{Version: uint64(i + 1), Body: []byte{byte(i)}, Zone: []byte("sum")}
				},
				OnPeerVersion: func(_ string, version uint64) { newest.Store(max(newest.Load(), version)) },
			})
			DeferCleanup(runners[i].Close)
		}
		for _, runner := range runners[:3] {
			Eventually(ctx, func() int { return len(runner.View().Hosts) }).Should(Equal(3))
			Eventually(ctx, func() int { return len(runner.View().Zones) }).Should(Equal(2))
		}
		Eventually(ctx, newest.Load).Should(Equal(uint64(4)))
		Expect(runners[4].View().Hosts).To(HaveLen(1))
		Expect(runners[1].Leave()).To(Succeed())
		Eventually(ctx, func() int { return len(runners[0].View().Hosts) }).Should(Equal(2))
	})
})
