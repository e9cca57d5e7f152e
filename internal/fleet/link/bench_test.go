package link_test

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
	"github.com/hyssopwall/hyssopwall/internal/fleet/link"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// benchSite starts endpoints for a benchmark, outside of a ginkgo run.
func benchSite(b *testing.B, hosts int) []*link.Endpoint {
	RegisterTestingT(b)
	s := newSite()
	quiet := event.Log{Sink: func(event.Entry, []any) {}}
	var endpoints []*link.Endpoint
	for i := range hosts {
		host := identity.Host{Name: fmt.Sprintf("h%d", i), Zone: "z1"}
		e, err := link.Listen(link.Config{Address: "127.0.0.1:0", Identity: s.source(host, time.Hour), Log: quiet})
		Expect(err).NotTo(HaveOccurred())
		b.Cleanup(func() { _ = e.Close() })
		endpoints = append(endpoints, e)
	}
	return endpoints
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkDatagram sends a datagram of 250 bytes there and back. It reports the processor
// time of both hosts for each datagram: sending, receiving, and the acknowledgment, kernel
// time included.
func BenchmarkDatagram(b *testing.B) {
	endpoints := benchSite(b, 2)
	returned := make(chan struct{}, 1)
	data := make([]byte, 250)
	endpoints[1].HandleDatagrams("n", func(_ identity.Host, address string, data []byte) { _ = endpoints[1].SendDatagram(address, "n", data) })
	endpoints[0].HandleDatagrams("n", func(identity.Host, string, []byte) { returned <- struct{}{} })
	exchange := func() {
		_ = endpoints[0].SendDatagram(endpoints[1].Address(), "n", data)
		select {
		case <-returned:
		case <-time.After(time.Second):
		}
	}
	exchange()
	before := processorTime()
	datagrams := 0
	for b.Loop() {
		exchange()
		datagrams += 2
	}
	b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(datagrams), "cpu-µs/note")
}

// BenchmarkCall makes a small call.
func BenchmarkCall(b *testing.B) {
	endpoints := benchSite(b, 2)
	echo(endpoints[1])
	before := processorTime()
	calls := 0
	for b.Loop() {
		_, err := link.Call[text, text](context.Background(), endpoints[0], endpoints[1].Address(), "echo", text{Value: "hello"})
		Expect(err).NotTo(HaveOccurred())
		calls++
	}
	b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(calls), "cpu-µs/call")
}

// BenchmarkConnection reports the memory of an idle connection at one endpoint, and
// the processor time of a handshake for both endpoints.
func BenchmarkConnection(b *testing.B) {
	for b.Loop() {
		endpoints := benchSite(b, 41) // for 40 connections, each with two ends in this process
		echo(endpoints[0])
		runtime.GC()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		start := processorTime()
		for _, e := range endpoints[1:] {
			_, err := link.Call[text, text](context.Background(), e, endpoints[0].Address(), "echo", text{Value: "hello"})
			Expect(err).NotTo(HaveOccurred())
		}
		used := processorTime() - start
		runtime.GC()
		runtime.ReadMemStats(&after)
		growth := float64(after.HeapInuse+after.StackInuse) - float64(before.HeapInuse+before.StackInuse)
		b.ReportMetric(growth/1024/80, "KiB/end")
		b.ReportMetric(float64(used.Microseconds())/40, "cpu-µs/handshake")
	}
}

// BenchmarkOverhead sends datagrams so far apart that each is acknowledged separately. It
// reports the bytes that one costs beyond its content, in both directions and with the
// headers of UDP and IPv4. Package scale counts PacketOverhead+AckBytes for them.
func BenchmarkOverhead(b *testing.B) {
	const udpAndIP = 28 // bytes of the headers of UDP and IPv4
	endpoints := benchSite(b, 2)
	arrived := make(chan struct{}, 1)
	endpoints[1].HandleDatagrams("n", func(identity.Host, string, []byte) { arrived <- struct{}{} })
	data := make([]byte, 250)
	send := func() {
		_ = endpoints[0].SendDatagram(endpoints[1].Address(), "n", data)
		<-arrived
		time.Sleep(100 * time.Millisecond) // longer than the delay of acknowledgments
	}
	for range 10 { // meanwhile QUIC's path MTU discovery ends
		send()
	}
	before := endpoints[0].PacketStats()
	datagrams := uint64(0)
	for b.Loop() {
		send()
		datagrams++
	}
	after := endpoints[0].PacketStats()
	bytes := after.SentBytes + after.ReceivedBytes - before.SentBytes - before.ReceivedBytes
	packets := after.SentPackets + after.ReceivedPackets - before.SentPackets - before.ReceivedPackets
	perDatagram := float64(bytes+packets*udpAndIP) / float64(datagrams)
	// The content is the data, the kind "n" and a byte for the kind's length.
	b.ReportMetric(perDatagram-float64(len(data)+2), "overhead-B/note")
	b.ReportMetric(float64(packets)/float64(datagrams), "packets/note")
}
