package rest_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
)

// Pattern: a process waits for a connection, or stands still, while what it is
// permitted to do runs out.
var _ = Describe("a call that needs a permission", func() {
	errOver := errors.New("the term is over")

	It("is not sent when the permission ran out while it waited for a connection", func(ctx SpecContext) {
		var served atomic.Int64
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }), ReadHeaderTimeout: time.Second}
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)

		var over atomic.Bool
		client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			over.Store(true) // while the connection is opened
			return rest.Counted(&net.Dialer{})(ctx, network, address)
		}}}
		caller := rest.Caller{Base: "http://" + listener.Addr().String(), HTTP: client}
		_, err = caller.Do(ctx, rest.Call{Method: http.MethodPost, Path: "/order", Body: []byte("x"), BeforeSend: func() error {
			if over.Load() {
				return errOver
			}
			return nil
		}})
		var lost *rest.LostError
		Expect(errors.As(err, &lost)).To(BeTrue())
		Expect(lost.Sent).To(BeFalse(), "nothing has left")
		Expect(err).To(MatchError(errOver))
		Consistently(served.Load, "100ms").Should(BeZero())
	})

	It("is sent over new and used connections while it holds, and asked for once each", func(ctx SpecContext) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Second}
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)
		caller := rest.Caller{Base: "http://" + listener.Addr().String(), HTTP: rest.NewClient()}
		asked := 0
		for range 3 {
			_, err := caller.Do(ctx, rest.Call{Method: http.MethodPost, Path: "/", Body: make([]byte, 1<<20), BeforeSend: func() error {
				asked++
				return nil
			}})
			Expect(err).To(BeAssignableToTypeOf(&rest.StatusError{}))
		}
		Expect(asked).To(Equal(3))
	})
})
