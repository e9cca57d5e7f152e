package rest

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/standin/network"
)

func TestRest(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "calls to external systems")
}

// fakeTransport gives each request a connection and fails it, once for each entry of
// writes. Later requests succeed.
type fakeTransport struct {
	writes    []int // bytes to write before each failure
	uncounted bool  // connections are not countedConns
	attempts  int
	requests  int
	conns     []net.Conn
}

func (t *fakeTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	t.requests++
	if t.attempts >= len(t.writes) {
		body := io.NopCloser(strings.NewReader("ok"))
		return &http.Response{StatusCode: http.StatusOK, Body: body, Request: request}, nil
	}
	near, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	if !t.uncounted {
		near = &countedConn{Conn: near}
		go func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }(near) // net/http reads from idle connections
	}
	t.conns = append(t.conns, near)
	httptrace.ContextClientTrace(request.Context()).GotConn(httptrace.GotConnInfo{Conn: near, Reused: true})
	if count := t.writes[t.attempts]; count > 0 {
		_, _ = near.Write(make([]byte, count))
	}
	t.attempts++
	return nil, errors.New("connection closed")
}

var _ = Describe("Caller", func() {
	DescribeTable("retries on another connection only while nothing was written",
		func(ctx SpecContext, writes []int, uncounted bool, attempts int, lost, sent bool) {
			fake := &fakeTransport{writes: writes, uncounted: uncounted}
			caller := Caller{Base: "http://127.0.0.1:1", HTTP: &http.Client{Transport: fake}}
			_, err := caller.Do(ctx, Call{Method: http.MethodPost, Path: "/", Body: []byte("b")})
			Expect(fake.attempts).To(Equal(attempts))
			lostErr, isLost := errors.AsType[*LostError](err)
			Expect(isLost).To(Equal(lost), "%v", err)
			if lost {
				Expect(lostErr.Sent).To(Equal(sent))
			}
		},
		Entry("closed while idle", []int{0}, false, 1, false, false),
		Entry("closed twice", []int{0, 0}, false, 2, false, false),
		Entry("closed each time", make([]int, 99), false, maxAttempts, true, false),
		Entry("one byte was sent", []int{1}, false, 1, true, true),
		Entry("one byte was sent on the second", []int{0, 1}, false, 2, true, true),
		Entry("unknown whether a byte was sent", []int{0}, true, 1, true, true),
	)

	It("writes nothing to a connection after reporting that nothing was sent", func(ctx SpecContext) {
		fake := &fakeTransport{writes: make([]int, maxAttempts)}
		caller := Caller{Base: "http://127.0.0.1:1", HTTP: &http.Client{Transport: fake}}
		_, err := caller.Do(ctx, Call{Method: http.MethodPost, Path: "/", Body: []byte("b")})
		Expect(err).To(HaveOccurred())
		_, err = fake.conns[maxAttempts-1].Write([]byte("late"))
		Expect(err).To(MatchError(errSealed))
	})

	DescribeTable("sends nothing on a connection that its server has closed", func(ctx SpecContext, secure bool) {
		client := NewClient()
		var calls atomic.Int64
		handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) })
		serve := func(address string) *httptest.Server {
			listener, err := net.Listen("tcp", address)
			Expect(err).NotTo(HaveOccurred())
			server := httptest.NewUnstartedServer(handler)
			Expect(server.Listener.Close()).To(Succeed())
			server.Listener = listener
			if secure {
				server.StartTLS()
				client.Transport.(*http.Transport).TLSClientConfig = server.Client().Transport.(*http.Transport).TLSClientConfig
			} else {
				server.Start()
			}
			return server
		}
		server := serve("127.0.0.1:0")
		caller := Caller{Base: server.URL, HTTP: client}
		call := Call{Method: http.MethodPost, Path: "/", Body: []byte("b")}
		_, err := caller.Do(ctx, call)
		Expect(err).NotTo(HaveOccurred())
		server.Close()
		_, err = caller.Do(ctx, call)
		lostErr, isLost := errors.AsType[*LostError](err)
		Expect(isLost).To(BeTrue())
		Expect(lostErr.Sent).To(BeFalse())
		server = serve(server.Listener.Addr().String())
		defer server.Close()
		for range 2 {
			_, err = caller.Do(ctx, call)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(calls.Load()).To(Equal(int64(3)))
	}, Entry("plain", false), Entry("TLS", true))

	It("detects closed connections and unsolicited bytes", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		open := func() (near, far net.Conn) {
			near, err := net.Dial("tcp", listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			far, err = listener.Accept()
			Expect(err).NotTo(HaveOccurred())
			return near, far
		}
		near, far := open()
		Expect(unusable(near)).To(BeFalse())
		_, err = far.Write([]byte("x"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() bool { return unusable(near) }).Should(BeTrue())
		near, far = open()
		Expect(far.Close()).To(Succeed())
		Eventually(func() bool { return unusable(near) }).Should(BeTrue())
		Expect(near.Close()).To(Succeed())
		Expect(unusable(near)).To(BeTrue())
	})

	It("refuses a path that would change the host name", func(ctx SpecContext) {
		fake := &fakeTransport{}
		caller := Caller{Base: "http://127.0.0.1:1", HTTP: &http.Client{Transport: fake}}
		for _, path := range []string{"", "2/x", "@127.0.0.2/x", ".example/x"} {
			_, err := caller.Do(ctx, Call{Method: http.MethodGet, Path: path})
			lostErr, isLost := errors.AsType[*LostError](err)
			Expect(isLost).To(BeTrue())
			Expect(lostErr.Sent).To(BeFalse())
		}
		Expect(fake.requests).To(BeZero())
	})

	DescribeTable("returns the wait that a server asks for",
		func(header string, milliseconds int, want time.Duration) {
			Expect(retryAfter(header, int64(milliseconds))).To(Equal(want))
		},
		Entry("none", "", 0, time.Duration(0)),
		Entry("seconds", "3", 0, 3*time.Second),
		Entry("milliseconds are preferred", "3", 250, 250*time.Millisecond),
		Entry("a date is ignored", "Wed, 21 Oct 2015 07:28:00 GMT", 0, time.Duration(0)),
		Entry("negative", "-5", -9, time.Duration(0)),
		Entry("too long", "999999999999", 0, MaxRetryAfter),
	)
})

// Guards against calls that time out one after the other on idle connections that were
// lost together: a middlebox between two hosts has dropped the state of their connections.
var _ = Describe("a caller with CloseIdle", func() {
	It("makes the next call over a new connection after one that timed out", func(ctx SpecContext) {
		middlebox := &network.StallingHandler{Next: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			time.Sleep(20 * time.Millisecond) // so that each call opens a connection
		})}
		server := httptest.NewServer(middlebox)
		defer server.Close()
		defer middlebox.Close()
		client := NewClient()
		caller := Caller{Base: server.URL, HTTP: client, CloseIdle: client.CloseIdleConnections}
		call := func(limit time.Duration) error {
			ctx, cancel := context.WithTimeout(ctx, limit)
			defer cancel()
			_, err := caller.Do(ctx, Call{Method: http.MethodGet, Path: "/"})
			return err
		}
		var group sync.WaitGroup
		for range 4 {
			group.Go(func() {
				defer GinkgoRecover()
				Expect(call(time.Second)).To(Succeed())
			})
		}
		group.Wait()
		middlebox.StallConnections()
		Expect(call(100 * time.Millisecond)).NotTo(Succeed())
		Expect(call(time.Second)).To(Succeed())
	})
})
