package rest_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
)

// Guards against a request that is delivered after its call was canceled: a partition
// delays it, its sender cancels the call and sends the work elsewhere, the partition
// heals. Without a reset of the connection the kernel would still deliver the request.
var _ = Describe("a canceled call", func() {
	It("does not reach its server later", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		accepted := make(chan net.Conn, 1)
		go func() {
			conn, err := listener.Accept()
			if err == nil {
				accepted <- conn
			}
		}()

		ctx, cancel := context.WithCancel(context.Background())
		caller := rest.Caller{Base: "http://" + listener.Addr().String(), HTTP: rest.ClientConfig{}.Client()}
		ended := make(chan error, 1)
		go func() {
			// More than fits into the kernel's buffers, so that a part is not sent yet.
			_, err := caller.Do(ctx, rest.Call{Method: "POST", Path: "/", Body: bytes.Repeat([]byte("x"), 16<<20)})
			ended <- err
		}()
		conn := <-accepted
		defer conn.Close()
		first := make([]byte, 1)
		_, err = io.ReadFull(conn, first) // the request is on its way
		Expect(err).NotTo(HaveOccurred())

		cancel()
		var lost *rest.LostError
		Expect(errors.As(<-ended, &lost)).To(BeTrue())
		Expect(lost.Sent).To(BeTrue())

		Expect(conn.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		_, err = io.Copy(io.Discard, conn)
		Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "got %v", err)
	})
})
