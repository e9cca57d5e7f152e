package server

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/site/document"
	"github.com/hyssopwall/hyssopwall/internal/site/settings"
)

var _ = Describe("the age of the last update from the platform", func() {
	const long = 2 * maxUpdateAge

	// host returns a host of zone a, in a site with zones a and b, whose last update
	// has the given age.
	host := func(age time.Duration) *peers {
		s := &Server{config: Config{Settings: settings.Settings{Host: "h", Zone: "a"}}}
		s.index.Store(document.NewIndex(1, document.Document{Zones: []document.Zone{{Name: "a"}, {Name: "b"}}}))
		return &peers{server: s, lastUpdate: time.Now().Add(-age), known: map[string]*peer{}}
	}

	// If a peer's update counted as new when it was passed on, two hosts of a cut-off
	// zone would renew each other's and admit withdrawn keys forever.
	It("does not drop because hosts that are cut off together exchange it", func() {
		one, two := host(long), host(2*long)
		for range 3 {
			two.mergeUpdateAge(one.updateAge())
			one.mergeUpdateAge(two.updateAge())
		}
		for _, p := range []*peers{one, two} {
			Expect(p.cutOffSince()).To(BeTemporally("~", time.Now().Add(-long), time.Second))
		}
		two.recordUpdate()
		one.mergeUpdateAge(two.updateAge())
		Expect(one.cutOffSince()).To(BeZero())
	})

	It("does not cut off a host that reaches every zone while the platform is down", func() {
		p := host(long)
		p.known["other"] = &peer{hello: hello{Host: "other", Zone: "b", Address: "127.0.0.1:1"}, lastSeen: time.Now()}
		Expect(p.cutOffSince()).To(BeZero())
		p.known["other"].down = true
		Expect(p.cutOffSince()).NotTo(BeZero())
	})
})
