package network_test

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/standin/network"
)

func TestNetwork(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "network stand-in")
}

var _ = Describe("Net", func() {
	It("drops and delays datagrams by zone", func() {
		var simulated network.Net
		open := func(zone string) net.PacketConn {
			socket, err := simulated.Listen(zone, "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(socket.Close)
			Expect(socket.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
			return socket
		}
		a, b, c := open("rufisque"), open("plateau"), open("pikine")
		send := func(from, to net.PacketConn, text string) {
			_, err := from.WriteTo([]byte(text), to.LocalAddr())
			Expect(err).NotTo(HaveOccurred())
		}
		receive := func(at net.PacketConn) string {
			var data [16]byte
			count, _, err := at.ReadFrom(data[:])
			Expect(err).NotTo(HaveOccurred())
			return string(data[:count])
		}
		simulated.Cut("plateau", "rufisque", true)
		send(a, b, "lost")
		send(b, a, "lost")
		send(c, b, "other zone")
		Expect(receive(b)).To(Equal("other zone"))
		simulated.Cut("rufisque", "plateau", false)
		send(a, b, "again")
		Expect(receive(b)).To(Equal("again"))
		simulated.Delay("rufisque", "plateau", 20*time.Millisecond)
		started := time.Now()
		send(b, a, "late")
		Expect(receive(a)).To(Equal("late"))
		Expect(time.Since(started)).To(BeNumerically(">=", 20*time.Millisecond))
		passed, dropped := simulated.Counts()
		Expect([]int{passed, dropped}).To(Equal([]int{3, 2}))
	})
})
