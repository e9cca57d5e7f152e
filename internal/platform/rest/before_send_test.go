package rest_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
)

// Guards against a call that is sent without permission: the permission, such as a lease,
// expires while the process waits for a connection or is suspended.
var _ = Describe("a call with BeforeSend", func() {
	errExpired := errors.New("lease expired")

	It("is not sent if the permission expired while it waited for a connection", func(ctx SpecContext) {
		var served atomic.Int64
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }), ReadHeaderTimeout: time.Second}
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)

		var expired atomic.Bool
		client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			expired.Store(true) // while the connection is opened
			return rest.CountingDial(&net.Dialer{})(ctx, network, address)
		}}}
		caller := rest.Caller{Base: "http://" + listener.Addr().String(), HTTP: client}
		_, err = caller.Do(ctx, rest.Call{Method: http.MethodPost, Path: "/order", Body: []byte("x"), BeforeSend: func() error {
			if expired.Load() {
				return errExpired
			}
			return nil
		}})
		var lost *rest.LostError
		Expect(errors.As(err, &lost)).To(BeTrue())
		Expect(lost.Sent).To(BeFalse(), "nothing was sent")
		Expect(err).To(MatchError(errExpired))
		Consistently(served.Load, "100ms").Should(BeZero())
	})

	It("is sent over new and reused connections while BeforeSend succeeds, which runs once per call", func(ctx SpecContext) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Second}
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)
		caller := rest.Caller{Base: "http://" + listener.Addr().String(), HTTP: rest.NewClient()}
		checks := 0
		for range 3 {
			_, err := caller.Do(ctx, rest.Call{Method: http.MethodPost, Path: "/", Body: make([]byte, 1<<20), BeforeSend: func() error {
				checks++
				return nil
			}})
			Expect(err).To(BeAssignableToTypeOf(&rest.StatusError{}))
		}
		Expect(checks).To(Equal(3))
	})
})

// Guards against a body that is empty or cut in the second of two calls which send the same
// parts: reading consumes a list of parts.
var _ = It("sends a body in parts, also in several calls at once", func(ctx SpecContext) {
	got := make(chan string, 8)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		got <- fmt.Sprintf("%q %v", body, err)
	}))
	defer server.Close()
	caller := rest.Caller{Base: server.URL, HTTP: rest.NewClient()}
	parts := net.Buffers{[]byte("one "), {}, []byte("two")}
	var calls sync.WaitGroup
	for range cap(got) {
		calls.Go(func() {
			defer GinkgoRecover()
			_, err := caller.Do(ctx, rest.Call{Method: http.MethodPost, Path: "/", BodyParts: parts})
			Expect(err).NotTo(HaveOccurred())
		})
	}
	calls.Wait()
	for range cap(got) {
		Expect(<-got).To(Equal(`"one two" <nil>`))
	}
	_, err := caller.Do(ctx, rest.Call{Method: http.MethodPost, Path: "/", BodyParts: net.Buffers{{}}})
	Expect(err).NotTo(HaveOccurred())
	Expect(<-got).To(Equal(`"" <nil>`))
}, SpecTimeout(10*time.Second))
