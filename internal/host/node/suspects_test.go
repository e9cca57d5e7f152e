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

// Pattern: a caller repeats a request that crashes servers, each time at another host.
var _ = Describe("a request that crashes servers", func() {
	// Guards against hosts that keep sending the request because each saw a single crash.
	It("is refused at every host after three crashes at three hosts", func(ctx SpecContext) {
		discardLog := event.Log{Sink: func(event.Entry, []any) {}}
		var hosts []*Node
		var list object.Change
		for _, name := range []string{"a", "b", "c", "d"} {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			n := New(Settings{Host: name, Internal: listener.Addr().String(), UsageWindow: time.Second}, memoryPlatform(&objects.Store{}), discardLog)
			server := &http.Server{Handler: n.internalHandler(), ReadHeaderTimeout: time.Second}
			go func() { _ = server.Serve(listener) }()
			DeferCleanup(server.Close)
			hosts = append(hosts, n)
			record := objectChange(peer.KeyPrefix+name, 1, n.Directory.Self, 0)
			list.Objects = append(list.Objects, record.Objects...)
		}
		fp := poison.FingerprintOf("w", "target", []byte("body"))
		for i, n := range hosts {
			Expect(n.Directory.ApplyChange(list)).To(BeEmpty())
			if i < 3 {
				suspects{n}.RecordBroken(fp, poison.Server{Name: "gone", Boot: int64(i)}, time.Now())
			}
		}
		for _, n := range hosts {
			Eventually(func() *poison.ConvictedError { return suspects{n}.Check(fp) }).ShouldNot(BeNil())
		}

		newHost := New(hosts[0].Settings, memoryPlatform(&objects.Store{}), discardLog)
		Expect(newHost.Directory.ApplyChange(list)).To(BeEmpty())
		Expect(suspects{newHost}.Check(fp)).To(BeNil())
		newHost.applyHostsChange(list)
		newHost.fetchSuspects(ctx)
		Expect(suspects{newHost}.Check(fp)).NotTo(BeNil(), "a starting host asks the others")
	})

	It("is not recorded from an invalid report", func() {
		n := New(Settings{Host: "h", UsageWindow: time.Second}, memoryPlatform(&objects.Store{}), event.Log{Sink: func(event.Entry, []any) {}})
		Expect(n.mergeReport(context.Background(), poison.Report{Breaks: make([]poison.BrokenSend, 99)}).Breaks).To(BeEmpty())
	})
})
