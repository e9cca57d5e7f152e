package scale_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
	"github.com/hyssopwall/hyssopwall/internal/fleet/link"
	"github.com/hyssopwall/hyssopwall/internal/fleet/roster"
	"github.com/hyssopwall/hyssopwall/internal/fleet/scale"
	"github.com/hyssopwall/hyssopwall/internal/fleet/spread"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

func processor() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// startZone runs the duties of a whole zone over QUIC on loopback.
func startZone(b *testing.B, hosts int) ([]*link.Endpoint, []*roster.Runner) {
	RegisterTestingT(b)
	quiet := event.Log{Sink: func(event.Entry, []any) {}}
	authority, err := identity.CreateAuthority(time.Now(), time.Hour)
	Expect(err).NotTo(HaveOccurred())
	var ends []*link.Endpoint
	var seeds []roster.Hint
	for i := range hosts {
		pair, err := identity.Issue(authority, identity.Host{Name: fmt.Sprintf("z00-h%02d", i), Zone: "zone-00"}, time.Now(), time.Hour)
		Expect(err).NotTo(HaveOccurred())
		material, err := identity.ParseCredentials(pair, authority.Certificate)
		Expect(err).NotTo(HaveOccurred())
		source := identity.FixedSource(material, time.Now, quiet)
		e, err := link.Listen(link.Config{Address: "127.0.0.1:0", Identity: source, Log: quiet})
		Expect(err).NotTo(HaveOccurred())
		b.Cleanup(func() { _ = e.Close() })
		ends = append(ends, e)
		seeds = append(seeds, roster.Hint{Host: e.Host(), Address: e.Address()})
	}
	var duties []*roster.Runner
	for _, e := range ends {
		document := spread.Start(spread.Config{Endpoint: e, Log: quiet})
		duty := roster.Start(roster.Options{
			Endpoint: e, Seeds: seeds, Log: quiet, OnPeerVersion: document.ReportPeerVersion, OnRank: document.SetRank,
			Summarize: func() roster.SummariesUpdated {
				return roster.SummariesUpdated{Version: document.Version(), Body: make([]byte, 16), Zone: make([]byte, 16)}
			},
		})
		b.Cleanup(func() { _ = duty.Close(); _ = document.Close() })
		duties = append(duties, duty)
	}
	return ends, duties
}

// BenchmarkZone runs the real duties of one zone of the full fleet over QUIC
// and reports what a host costs: processor time with the kernel's, memory of
// the Go heap and stacks, and bytes and packets both ways with the headers of
// UDP and IP. The last line is what the network in memory counts for the same
// zone, as a check of the constants of this package.
func BenchmarkZone(b *testing.B) {
	const hosts, udpAndIP = 28, 28
	before := live()
	ends, duties := startZone(b, hosts)
	met := func() int {
		least := hosts
		for _, duty := range duties {
			least = min(least, len(duty.View().Hosts))
		}
		return least
	}
	Eventually(met).WithTimeout(time.Minute).Should(Equal(hosts))
	time.Sleep(30 * time.Second) // until each has met each and largest packets were searched
	wire := func() (bytes, packets float64) {
		for _, e := range ends {
			w := e.PacketStats()
			bytes += float64(w.SentBytes + w.ReceivedBytes + udpAndIP*(w.SentPackets+w.ReceivedPackets))
			packets += float64(w.SentPackets)
		}
		return bytes, packets
	}
	bytes, packets := wire()
	spent, start := processor(), time.Now()
	for b.Loop() {
		time.Sleep(time.Second)
	}
	share := 1 / time.Since(start).Seconds() / hosts
	moreBytes, morePackets := wire()
	b.ReportMetric((processor()-spent).Seconds()*1e6*share, "cpu-µs/host-s")
	b.ReportMetric((moreBytes-bytes)*share, "B/s")
	b.ReportMetric((morePackets-packets)*share, "packets/s")
	b.ReportMetric(float64(live()-before)/hosts/1024, "KiB/host")
	counted := scale.NewWarmedUp(scale.Config{Hosts: hosts, Zones: 1, Regions: 1, Seed: 1}).MeasureSteadyState(20 * time.Second)
	b.ReportMetric(counted.MeanBytes, "counted-B/s")
	b.ReportMetric(counted.MeanPackets, "counted-packets/s")
}
