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

// benchSite issues endpoints outside of a ginkgo run.
func benchSite(b *testing.B, hosts int) []*link.Endpoint {
	RegisterTestingT(b)
	s := newSite()
	quiet := event.Log{Sink: func(event.Entry, []any) {}}
	var ends []*link.Endpoint
	for i := range hosts {
		host := identity.Host{Name: fmt.Sprintf("h%d", i), Zone: "z1"}
		e, err := link.Listen(link.Config{Address: "127.0.0.1:0", Identity: s.source(host, time.Hour), Log: quiet})
		Expect(err).NotTo(HaveOccurred())
		b.Cleanup(func() { _ = e.Close() })
		ends = append(ends, e)
	}
	return ends
}

// processor returns the processor time of this process.
func processor() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkNote sends a note of 250 bytes there and back. The processor time
// of both hosts is reported for each note: sending, receiving, and the
// acknowledgment, kernel time included.
func BenchmarkNote(b *testing.B) {
	ends := benchSite(b, 2)
	back := make(chan struct{}, 1)
	data := make([]byte, 250)
	ends[1].HandleDatagrams("n", func(_ identity.Host, address string, data []byte) { _ = ends[1].SendDatagram(address, "n", data) })
	ends[0].HandleDatagrams("n", func(identity.Host, string, []byte) { back <- struct{}{} })
	exchange := func() {
		_ = ends[0].SendDatagram(ends[1].Address(), "n", data)
		select {
		case <-back:
		case <-time.After(time.Second):
		}
	}
	exchange()
	before := processor()
	notes := 0
	for b.Loop() {
		exchange()
		notes += 2
	}
	b.ReportMetric(float64((processor()-before).Microseconds())/float64(notes), "cpu-µs/note")
}

// BenchmarkCall makes a small call.
func BenchmarkCall(b *testing.B) {
	ends := benchSite(b, 2)
	echo(ends[1])
	before := processor()
	calls := 0
	for b.Loop() {
		_, err := link.Call[text, text](context.Background(), ends[0], ends[1].Address(), "echo", text{Value: "hello"})
		Expect(err).NotTo(HaveOccurred())
		calls++
	}
	b.ReportMetric(float64((processor()-before).Microseconds())/float64(calls), "cpu-µs/call")
}

// BenchmarkConnection reports the memory of an idle connection, one end, and
// the processor time of a handshake, both ends.
func BenchmarkConnection(b *testing.B) {
	for b.Loop() {
		ends := benchSite(b, 41)
		echo(ends[0])
		runtime.GC()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		start := processor()
		for _, e := range ends[1:] {
			_, err := link.Call[text, text](context.Background(), e, ends[0].Address(), "echo", text{Value: "hello"})
			Expect(err).NotTo(HaveOccurred())
		}
		spent := processor() - start
		runtime.GC()
		runtime.ReadMemStats(&after)
		grown := float64(after.HeapInuse+after.StackInuse) - float64(before.HeapInuse+before.StackInuse)
		b.ReportMetric(grown/1024/80, "KiB/end")
		b.ReportMetric(float64(spent.Microseconds())/40, "cpu-µs/handshake")
	}
}

// BenchmarkOverhead sends notes so far apart that each is acknowledged alone,
// and reports the bytes that one costs over its content, both ways, with the
// headers of UDP and IPv4. Package scale counts
// PacketOverhead+AckBytes for it.
func BenchmarkOverhead(b *testing.B) {
	const udpAndIP = 28
	ends := benchSite(b, 2)
	arrived := make(chan struct{}, 1)
	ends[1].HandleDatagrams("n", func(identity.Host, string, []byte) { arrived <- struct{}{} })
	data := make([]byte, 250)
	send := func() {
		_ = ends[0].SendDatagram(ends[1].Address(), "n", data)
		<-arrived
		time.Sleep(100 * time.Millisecond) // longer than an acknowledgment is held back
	}
	for range 10 { // the search for the largest packet ends meanwhile
		send()
	}
	before := ends[0].PacketStats()
	notes := uint64(0)
	for b.Loop() {
		send()
		notes++
	}
	after := ends[0].PacketStats()
	bytes := after.SentBytes + after.ReceivedBytes - before.SentBytes - before.ReceivedBytes
	packets := after.SentPackets + after.ReceivedPackets - before.SentPackets - before.ReceivedPackets
	perNote := float64(bytes+packets*udpAndIP) / float64(notes)
	b.ReportMetric(perNote-float64(len(data)+2), "overhead-B/note")
	b.ReportMetric(float64(packets)/float64(notes), "packets/note")
}
