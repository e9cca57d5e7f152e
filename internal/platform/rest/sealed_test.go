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

// alertingConn calls alert while its state is checked. The test writes to the counted
// connection in it, as TLS does when its reading goroutine sends a closing alert.
type alertingConn struct {
	net.Conn
	alert func()
}

func (a alertingConn) SyscallConn() (syscall.RawConn, error) {
	a.alert()
	return a.Conn.(syscall.Conn).SyscallConn()
}

var _ = Describe("a tracker", func() {
	It("does not count the closing alert of TLS as a byte of the request", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		near, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		far, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		Expect(far.Close()).To(Succeed())
		_, err = near.Read(make([]byte, 1)) // the connection is closed by the other end
		Expect(err).To(MatchError(io.EOF))

		counted := &countedConn{}
		counted.Conn = alertingConn{Conn: near, alert: func() { _, _ = counted.Write([]byte("bye")) }}
		var track tracker
		trace := httptrace.ContextClientTrace(track.trace(context.Background()))
		trace.GotConn(httptrace.GotConnInfo{Conn: counted, Reused: true})
		Expect(track.sent()).To(BeFalse())
	})
})
