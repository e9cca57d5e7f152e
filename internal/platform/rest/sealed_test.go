package rest

import (
	"context"
	"io"
	"net"
	"net/http/httptrace"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// checkedConn calls onCheck while its state is checked.
type checkedConn struct {
	net.Conn
	onCheck func()
}

func (a checkedConn) SyscallConn() (syscall.RawConn, error) {
	a.onCheck()
	return a.Conn.(syscall.Conn).SyscallConn()
}

var _ = Describe("a tracker", func() {
	It("does not count a write before the request as one of the request", func() {
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
		counted.Conn = checkedConn{Conn: near, onCheck: func() { _, _ = counted.Write([]byte("bye")) }}
		var track tracker
		trace := httptrace.ContextClientTrace(track.trace(context.Background()))
		trace.GotConn(httptrace.GotConnInfo{Conn: counted, Reused: true})
		Expect(track.sent()).To(BeFalse())
	})

	// Guards against a call that is cut: the timer of the idle connection was started after the
	// call had taken the connection over.
	It("does not close a connection that is taken over while it becomes idle", func() {
		near, far := net.Pipe()
		defer far.Close()
		counted := &countedConn{Conn: near}
		maxIdle := func() time.Duration { return time.Millisecond }
		earlier, later := tracker{maxIdle: maxIdle}, tracker{maxIdle: maxIdle}
		earlier.gotConn(httptrace.GotConnInfo{Conn: counted})
		taken := make(chan struct{})
		go func() {
			defer close(taken)
			later.gotConn(httptrace.GotConnInfo{Conn: counted, Reused: true})
		}()
		Eventually(func() bool {
			counted.mu.Lock()
			defer counted.mu.Unlock()
			return counted.drained != nil // the later request waits
		}).Should(BeTrue())
		earlier.putIdle(nil)
		go func() { _, _ = counted.Read(make([]byte, 1)) }()
		Eventually(taken).Should(BeClosed())
		Consistently(func() bool {
			counted.mu.Lock()
			defer counted.mu.Unlock()
			return counted.closed
		}, 50*time.Millisecond).Should(BeFalse())
	})
})
