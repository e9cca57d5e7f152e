package rest_test

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
)

// answerCase is an answer that a server writes as raw bytes once it has read the head of a
// request.
type answerCase struct {
	Pattern   string
	Reply     string
	UploadKiB int    // size of the request's body
	Then      string // what the server does after the answer, see answerEnds
	Rounds    int    // number of calls: some faults depend on the order in which goroutines wake
	Broken    bool   // the call fails, and may have run; else:
	Status    int
	Body      string
}

// answerConn is a connection of a server.
type answerConn struct {
	net.Conn              // with TLS or without
	tcp      *net.TCPConn // below TLS
}

// CloseWrite shuts down the writing side.
func (c answerConn) CloseWrite() error { return c.Conn.(interface{ CloseWrite() error }).CloseWrite() }

// answerEnds are the values of answerCase.Then.
var answerEnds = map[string]func(conn answerConn, rest io.Reader){
	// The server reads the request to its end and closes the connection.
	"close": func(_ answerConn, rest io.Reader) { _, _ = io.Copy(io.Discard, rest) },
	// The server resets the connection while the request is still being written.
	"reset": func(conn answerConn, _ io.Reader) {
		time.Sleep(resetDelay)
		_ = conn.tcp.SetLinger(0)
		_ = conn.tcp.Close()
	},
	// The server ends its answer with the connection, and then reads the rest of the request.
	"shutdown": func(conn answerConn, rest io.Reader) {
		_ = conn.CloseWrite()
		time.Sleep(resetDelay)
		_, _ = io.Copy(io.Discard, rest)
	},
}

// resetDelay is long enough for the client to read an answer and to fill the kernel's buffers.
const resetDelay = 20 * time.Millisecond

// serveAnswer answers all requests on all connections with the same bytes, over TLS unless the
// configuration is nil.
func serveAnswer(listener net.Listener, secure *tls.Config, c answerCase) {
	for {
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			conn := answerConn{Conn: accepted, tcp: accepted.(*net.TCPConn)}
			if secure != nil {
				conn.Conn = tls.Server(accepted, secure)
			}
			defer conn.Close()
			reader := bufio.NewReader(conn)
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, c.Reply)
			answerEnds[c.Then](conn, request.Body)
		}()
	}
}

// Pattern: a server in trouble sends an answer that is cut short or that is no answer in the
// protocol. Guards against a caller that takes it for a complete one.
var _ = Describe("an answer", func() {
	all, err := cases.Load[answerCase]("testdata/answers/*.hujson")
	if err != nil {
		panic(err)
	}
	for _, c := range all {
		DescribeTable(c.Name+": "+c.Data.Pattern, func(ctx SpecContext, scheme string) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			defer listener.Close()
			client := rest.NewClient()
			var secure *tls.Config
			if scheme == "https" {
				authority := httptest.NewUnstartedServer(nil)
				authority.StartTLS()
				defer authority.Close()
				secure = authority.TLS
				client.Transport.(*http.Transport).TLSClientConfig = authority.Client().Transport.(*http.Transport).TLSClientConfig
			}
			go serveAnswer(listener, secure, c.Data)
			observed := 0
			caller := rest.Caller{Base: scheme + "://" + listener.Addr().String(), HTTP: client, OnResponse: func(int, http.Header) { observed++ }}
			taken := 0
			for range max(1, c.Data.Rounds) {
				response, err := caller.Open(ctx, rest.Call{Method: http.MethodPost, Path: "/", Body: make([]byte, c.Data.UploadKiB<<10)})
				var body []byte
				if err == nil {
					body, err = caller.Read(response)
					Expect(response.Body.Close()).To(Succeed())
				} else {
					lost, ok := errors.AsType[*rest.LostError](err)
					Expect(ok).To(BeTrue(), "%v", err)
					Expect(lost.Sent).To(BeTrue(), "the request may have run")
				}
				if err != nil {
					continue
				}
				taken++
				if !c.Data.Broken {
					Expect(response.StatusCode).To(Equal(c.Data.Status))
					Expect(string(bytes.TrimSpace(body))).To(Equal(strings.TrimSpace(c.Data.Body)))
				}
			}
			if c.Data.Broken {
				Expect(taken).To(BeZero(), "calls whose answer was taken for complete")
			} else {
				Expect(taken).To(Equal(max(1, c.Data.Rounds)))
			}
			if c.Data.Broken && c.Data.Then != "reset" {
				Expect(observed).To(BeZero(), "nothing is learned from the head")
			}
		}, Entry("plain", SpecTimeout(time.Minute), "http"), Entry("over TLS", SpecTimeout(time.Minute), "https"))
	}
})
