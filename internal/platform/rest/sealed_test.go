package rest

import (
	"context"
	"io"
	"net"
	"net/http/httptrace"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// alerting writes to the counted connection while it is looked at, as the end
// of a TLS session does from the goroutine that reads.
type alerting struct {
	net.Conn
	alert func()
}

func (a alerting) SyscallConn() (syscall.RawConn, error) {
	a.alert()
	return a.Conn.(syscall.Conn).SyscallConn()
}

var _ = Describe("a tracker", func() {
	It("does not take the end of a TLS session for a byte of the request", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		near, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		far, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		Expect(far.Close()).To(Succeed())
		_, err = near.Read(make([]byte, 1)) // the close has arrived
		Expect(err).To(MatchError(io.EOF))

		counted := &countedConn{}
		counted.Conn = alerting{Conn: near, alert: func() { _, _ = counted.Write([]byte("bye")) }}
		var track tracker
		trace := httptrace.ContextClientTrace(track.trace(context.Background()))
		trace.GotConn(httptrace.GotConnInfo{Conn: counted, Reused: true})
		Expect(track.sent()).To(BeFalse())
	})
})
