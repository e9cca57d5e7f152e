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
