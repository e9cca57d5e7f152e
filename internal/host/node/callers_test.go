package node

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/entry/callers"
	"github.com/hyssopwall/hyssopwall/internal/entry/intake"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/site/policy"
	"github.com/hyssopwall/hyssopwall/internal/standin/objects"
)

// serveCallers starts only the part of a host that serves callers, and returns the host and
// its address. Its handler answers with the body of the request.
func serveCallers(settings Settings, limits *policy.Limits) (*Node, string) {
	GinkgoHelper()
	store := &objects.Store{}
	n := New(settings, memoryPlatform(store), event.Log{Sink: func(e event.Entry, pairs []any) { GinkgoWriter.Println(e.Number, e.Text, pairs) }})
	if limits != nil {
		n.applyLimits(&policy.Policy{Limits: *limits})
	}
	listener, err := n.Intake.Listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := n.Intake.HTTP(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, release, err := n.Intake.ReadBody(w, r, intake.Caller{}, 1<<20)
		defer release()
		if err != nil {
			n.Intake.Refuse(w, r, err)
			return
		}
		n.Intake.WriteAnswer(w, r, intake.Caller{}, slices.Concat(body...))
	}))
	go func() {
		_ = server.Serve(callers.Listener{Listener: listener, Server: &n.Intake.Server, Connections: &n.Intake.Connections})
	}()
	DeferCleanup(server.Close)
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go runEvery(ctx, callers.ExpiryInterval, n.Intake.Expire)
	return n, listener.Addr().String()
}

// dialCaller opens a connection that is closed at the end of the spec.
func dialCaller(address string) net.Conn {
	GinkgoHelper()
	conn, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	Expect(conn.SetDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
	return conn
}

// closed reports whether the host closes a connection within a second.
func closed(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	_, err := io.Copy(io.Discard, conn)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

var _ = Describe("connections of callers", func() {
	const part = "GET / HTTP/1.1\r\nHost: a\r\n"

	// Guards against limits of the configuration that nobody enforces, and against those of an
	// earlier configuration that stay.
	It("have the limits of the newest configuration", func() {
		n, address := serveCallers(Settings{}, &policy.Limits{MaxHeaderBytes: 1 << 10, HeaderTimeout: 200 * time.Millisecond, IdleTimeout: 300 * time.Millisecond})
		unfinished := dialCaller(address)
		fmt.Fprint(unfinished, part)
		Expect(closed(unfinished)).To(BeTrue())
		idle := dialCaller(address)
		fmt.Fprint(idle, part+"\r\n")
		Expect(closed(idle)).To(BeTrue())
		large := dialCaller(address)
		fmt.Fprint(large, part+"X-Long: "+strings.Repeat("x", 8<<10))
		answer, err := http.ReadResponse(bufio.NewReader(large), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		Expect(answer.Body.Close()).To(Succeed())

		n.applyLimits(&policy.Policy{Limits: policy.Limits{MaxHeaderBytes: 64 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}})
		patient := dialCaller(address)
		fmt.Fprint(patient, part+"X-Long: "+strings.Repeat("x", 32<<10)+"\r\n")
		Expect(closed(patient)).To(BeFalse())
	})

	// Guards against limits where nobody has set any.
	It("have only the default times without a configuration and limits in the settings", func() {
		n, address := serveCallers(Settings{}, nil)
		Expect(n.Intake.MaxConnections()).To(BeZero())
		Expect(n.Batches.MaxOpenBytes).To(BeZero())
		Expect(n.MaxDecoded()).To(Equal(int64(math.MaxInt64)))
		conn := dialCaller(address)
		fmt.Fprint(conn, part+"X-Long: "+strings.Repeat("x", 100<<10)+"\r\n")
		Expect(closed(conn)).To(BeFalse())
		fmt.Fprint(conn, "\r\n")
		Expect(conn.SetDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusOK))
		Expect(answer.Body.Close()).To(Succeed())
	})

	It("carry large bodies and answers whole", func() {
		_, address := serveCallers(Settings{MemoryBytes: 64 << 20, MaxFiles: 1000}, &policy.Limits{MaxBodyBytes: 1 << 20})
		body := bytes.Repeat([]byte("0123456789"), 100_000)
		answer, err := http.Post("http://"+address, "", bytes.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		got, err := io.ReadAll(answer.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Body.Close()).To(Succeed())
		Expect(bytes.Equal(got, body)).To(BeTrue())
	})

	// Guards against a connection that is closed, and whose request waits for memory all the same.
	It("end their requests with them", func() {
		n, address := serveCallers(Settings{MemoryBytes: 4 << 20, MaxFiles: 1000}, &policy.Limits{MaxBodyBytes: 1 << 20})
		n.Intake.Bodies.SetLimits(intake.Limits{Patience: time.Minute, MaxWait: time.Minute, Window: time.Minute})
		holder := n.Intake.Bodies.Open(time.Now(), intake.Caller{}, 0, func() {})
		Expect(holder.Grow(time.Now(), 1)).To(BeTrue()) // holds the reserve, and so all memory
		waiting := dialCaller(address)
		fmt.Fprintf(waiting, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", 1<<20)
		_, _ = waiting.Write(make([]byte, intake.FreeBytes))
		Eventually(n.Intake.Bodies.Waiting, 5*time.Second).Should(Equal(1))
		for range n.Intake.MaxConnections() {
			dialCaller(address) // until the first one is closed for those after it
		}
		Eventually(n.Intake.Bodies.Waiting, 5*time.Second).Should(BeZero())
	})

	// Guards against a refusal without the promise that the request has not run.
	It("get 503 and a time to come back when their bodies stall while memory is short", func() {
		_, address := serveCallers(Settings{MemoryBytes: 4 << 20, MaxFiles: 1000}, &policy.Limits{MaxBodyBytes: 1 << 20})
		var stalled []net.Conn
		for range 8 {
			conn := dialCaller(address)
			fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", 1<<20)
			_, _ = conn.Write(make([]byte, 500<<10))
			stalled = append(stalled, conn)
		}
		refused := 0
		for _, conn := range stalled {
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				continue // reset, or served within its bounds and still open
			}
			Expect(answer.StatusCode).To(Equal(http.StatusServiceUnavailable))
			Expect(answer.Header.Get("Retry-After")).To(Equal("1.000"))
			Expect(answer.Close).To(BeTrue())
			Expect(answer.Body.Close()).To(Succeed())
			refused++
			if refused == 3 {
				break
			}
		}
		Expect(refused).To(BeNumerically(">", 0))
	})
})
