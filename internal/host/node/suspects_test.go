package node

import (
	"context"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/entry/poison"
	"github.com/hyssopwall/hyssopwall/internal/fleet/peer"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/standin/objects"
)

// Pattern: a caller repeats a request that crashes servers at one host after the
// other.
var _ = Describe("a request that crashes servers", func() {
	// Guards against sends on and on by hosts that each saw one crash.
	It("is refused at every host after three crashes at three hosts", func(ctx SpecContext) {
		silent := event.Log{Sink: func(event.Entry, []any) {}}
		var hosts []*Node
		var list object.Change
		for _, name := range []string{"a", "b", "c", "d"} {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			n := New(Settings{Host: name, Internal: listener.Addr().String(), UsageWindow: time.Second}, outside(&objects.Store{}), silent)
			server := &http.Server{Handler: n.internal(), ReadHeaderTimeout: time.Second}
			go func() { _ = server.Serve(listener) }()
			DeferCleanup(server.Close)
			hosts = append(hosts, n)
			record := change(peer.KeyPrefix+name, 1, n.Directory.Self, 0)
			list.Objects = append(list.Objects, record.Objects...)
		}
		fp := poison.FingerprintOf("w", "target", []byte("body"))
		for i, n := range hosts {
			Expect(n.Directory.ApplyChange(list)).To(BeEmpty())
			if i < 3 {
				suspects{n}.RecordBroken(fp, poison.Server{Name: "gone", Boot: int64(i)})
			}
		}
		for _, n := range hosts {
			Eventually(func() *poison.ConvictedError { return suspects{n}.Admit(fp) }).ShouldNot(BeNil())
		}

		started := New(hosts[0].Settings, outside(&objects.Store{}), silent)
		Expect(started.Directory.ApplyChange(list)).To(BeEmpty())
		Expect(suspects{started}.Admit(fp)).To(BeNil())
		started.learnHosts(list)
		started.learnSuspects(ctx)
		Expect(suspects{started}.Admit(fp)).NotTo(BeNil(), "a host that starts asks the others")
	})

	It("takes no report that can't be read", func() {
		n := New(Settings{Host: "h", UsageWindow: time.Second}, outside(&objects.Store{}), event.Log{Sink: func(event.Entry, []any) {}})
		Expect(n.takeReport(context.Background(), poison.Report{Breaks: make([]poison.BrokenSend, 99)}).Breaks).To(BeEmpty())
	})
})
