package platform_test

import (
	"context"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/platform/hostlist"
	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
	"github.com/hyssopwall/hyssopwall/internal/standin/platform"
)

// requests holds a request for each kind of call, as METHOD PATH BODY. The order has an
// old epoch, as fault.IgnoreFencing needs.
var requests = map[platform.Call]string{
	platform.Get:      "GET /v1/object?key=a ",
	platform.List:     "GET /v1/objects?prefix=a ",
	platform.Watch:    "GET /v1/watch?prefix=a&after=0&wait=1s ",
	platform.Put:      "PUT /v1/object?key=a&expect=1 x",
	platform.Delete:   "DELETE /v1/object?key=a&expect=1 ",
	platform.Place:    `POST /v1/orders {"id":"new","zone":"z","pool":"p","epoch":1}`,
	platform.Servers:  "GET /v1/servers?zone=z ",
	platform.Report:   `POST /v1/reports {"id":"w","start":"2026-01-01T00:00:00Z","end":"2026-01-01T00:01:00Z"}`,
	platform.Hosts:    "GET /v1/hosts ",
	platform.Newest:   "GET /v1/weights?model=m ",
	platform.Download: "GET /v1/weights/data?model=m&version=1 ",
}

func send(ctx context.Context, server *platform.Platform, request string) {
	parts := strings.SplitN(request, " ", 3)
	// Many of these calls fail as intended. The test only counts injected faults.
	_, _ = rest.Caller{Base: server.URL()}.Do(ctx, rest.Call{Method: parts[0], Path: parts[1], Body: []byte(parts[2])})
}

var _ = Describe("Catalog", func() {
	It("lists exactly the faults that can be injected", func(ctx SpecContext) {
		Expect(platform.Catalog()).To(HaveLen(len(requests)))
		for call, request := range requests {
			for _, kind := range fault.Kinds() {
				server := platform.New(platform.Settings{Bytes: 16})
				Expect(server.Start("127.0.0.1:0")).To(Succeed())
				send(ctx, server, "PUT /v1/object?key=a&expect=0 x")
				send(ctx, server, `POST /v1/orders {"id":"old","zone":"z","pool":"p","epoch":2}`)
				server.SetHost(hostlist.Host{Name: "h"})
				server.Publish("m")
				server.Faults().Add(fault.Rule{Step: call, Kind: kind, Count: 1})
				send(ctx, server, request)
				want := 0
				if slices.Contains(platform.Catalog()[call], kind) {
					want = 1
				}
				Expect(server.Faults().Injected(call, kind)).To(Equal(want), "%s %s", call, kind)
				server.Close()
			}
		}
	}, SpecTimeout(30*time.Second))

	It("accepts only rules whose fault applies to the call", func() {
		Expect(platform.Catalog().Check(fault.Rule{Step: platform.Put, Kind: fault.DropAfter})).To(Succeed())
		Expect(platform.Catalog().Check(fault.Rule{Step: platform.Put, Kind: fault.Crossed})).NotTo(Succeed())
	})
})
