package server

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/site/settings"
)

func TestServer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Server Suite")
}

var _ = Describe("the division of limits", func() {
	known := func(zone string, silent time.Duration, leaving bool) *peer {
		return &peer{hello: hello{Zone: zone, Leaving: leaving}, lastSeen: time.Now().Add(-silent), down: silent > peerExpiry}
	}

	// A host of another zone that is cut off from this one may still serve. If it were
	// not counted, the hosts on both sides would together exceed a limit.
	It("counts cut-off hosts of other zones that may be serving, and no failed or stopping hosts", func() {
		p := &peers{
			server: &Server{config: Config{Settings: settings.Settings{Zone: "a"}}},
			known: map[string]*peer{
				"live":           known("a", 0, false),
				"failed":         known("a", time.Minute, false),
				"stopping":       known("a", 0, true),
				"live elsewhere": known("b", 0, false),
				"cut off":        known("b", 59*time.Minute, false),
				"long gone":      known("b", 2*time.Hour, false),
			},
		}
		Expect(p.limitSharers()).To(Equal(4), "this host, the live ones, and the one cut off")
	})
})
