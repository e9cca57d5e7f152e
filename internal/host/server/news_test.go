package server

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/site/document"
	"github.com/hyssopwall/hyssopwall/internal/site/settings"
)

var _ = Describe("news of the platform", func() {
	const long = 2 * freshFor

	// host returns a host of zone a of a site with the zones a and b.
	host := func(age time.Duration) *peers {
		s := &Server{config: Config{Settings: settings.Settings{Host: "h", Zone: "a"}}}
		s.index.Store(document.NewIndex(1, document.Document{Zones: []document.Zone{{Name: "a"}, {Name: "b"}}}))
		return &peers{server: s, news: time.Now().Add(-age), known: map[string]*peer{}}
	}

	It("does not echo between hosts that are cut off together", func() {
		one, two := host(long), host(2*long)
		for range 3 {
			two.learnNews(one.age())
			one.learnNews(two.age())
		}
		for _, p := range []*peers{one, two} {
			Expect(p.cutOff()).To(BeTemporally("~", time.Now().Add(-long), time.Second))
		}
		two.heard()
		one.learnNews(two.age())
		Expect(one.cutOff()).To(BeZero())
	})

	It("is not missed by a host that reaches every zone: the platform is down", func() {
		p := host(long)
		p.known["other"] = &peer{hello: hello{Host: "other", Zone: "b", Address: "127.0.0.1:1"}, seen: time.Now()}
		Expect(p.cutOff()).To(BeZero())
		p.known["other"].down = true
		Expect(p.cutOff()).NotTo(BeZero())
	})
})
