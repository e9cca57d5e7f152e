package rest

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a second connection to each server: a server states its idle timeout in the
// first response, and the connection of that response was left unused from then on.
var _ = Describe("the clients of servers", func() {
	var (
		remotes map[string]bool
		clients *Clients
		server  *httptest.Server
		header  atomic.Value
	)
	BeforeEach(func() {
		remotes, clients = map[string]bool{}, &Clients{Config: ClientConfig{IdleTimeout: 30 * time.Millisecond}}
		header.Store("")
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			remotes[r.RemoteAddr] = true // calls are made one after the other
			if value, _ := header.Load().(string); value != "" {
				w.Header().Set("Keep-Alive", value)
			}
		}))
		DeferCleanup(server.Close)
	})
	call := func(ctx SpecContext) {
		GinkgoHelper()
		address := server.Listener.Addr().String()
		caller := Caller{Base: server.URL, HTTP: clients.Client(), MaxIdle: func() time.Duration { return clients.MaxIdle(address) }}
		response, err := caller.Open(ctx, Call{Method: http.MethodGet, Path: "/"})
		Expect(err).NotTo(HaveOccurred())
		_, err = caller.Read(response)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		clients.ObserveKeepAlive(address, response.Header)
	}

	It("uses a connection again whose response stated the idle timeout", func(ctx SpecContext) {
		header.Store("timeout=10")
		call(ctx)
		time.Sleep(60 * time.Millisecond) // longer than the timeout without a statement
		call(ctx)
		Expect(remotes).To(HaveLen(1))
	})

	It("opens another connection after an idle time that the server may not allow", func(ctx SpecContext) {
		call(ctx)
		time.Sleep(60 * time.Millisecond)
		call(ctx)
		Expect(remotes).To(HaveLen(2))
	})
})

// Guards against a server that starts again unnoticed: its new process has none of the connections
// of the earlier one, and a host without a request there saw nothing of it.
var _ = It("tells whether the server has ended an idle connection or this end", func(ctx SpecContext) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	var ends, closed atomic.Int32
	var idle atomic.Int64
	idle.Store(int64(10 * time.Second))
	open := func(clients *Clients) {
		GinkgoHelper()
		caller := Caller{Base: server.URL, HTTP: clients.Client(), MaxIdle: func() time.Duration { return time.Duration(idle.Load()) }, OnIdleEnd: func(byServer bool) {
			if byServer {
				ends.Add(1)
			} else {
				closed.Add(1)
			}
		}}
		response, err := caller.Open(ctx, Call{Method: http.MethodGet, Path: "/"})
		Expect(err).NotTo(HaveOccurred())
		_, err = caller.Read(response)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
	}
	clients := &Clients{}
	open(clients)
	clients.Client().CloseIdleConnections()
	idle.Store(int64(10 * time.Millisecond))
	open(clients)
	Eventually(closed.Load).Should(BeEquivalentTo(1))
	Expect(ends.Load()).To(BeZero())
	idle.Store(int64(10 * time.Second))
	open(clients)
	open(clients) // over the same connection
	server.CloseClientConnections()
	Eventually(ends.Load).Should(BeEquivalentTo(1))
	Consistently(ends.Load, 100*time.Millisecond).Should(BeEquivalentTo(1))
}, SpecTimeout(10*time.Second))
