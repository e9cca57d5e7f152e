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

// processorTime returns the processor time of this process, the kernel's included.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// startZone starts the roster and the configuration of all hosts of a zone over QUIC on
// the loopback interface.
func startZone(b *testing.B, hosts int) ([]*link.Endpoint, []*roster.Runner) {
	RegisterTestingT(b)
	quiet := event.Log{Sink: func(event.Entry, []any) {}}
	authority, err := identity.CreateAuthority(time.Now(), time.Hour)
	Expect(err).NotTo(HaveOccurred())
	var endpoints []*link.Endpoint
	var seeds []roster.Hint
	for i := range hosts {
		pair, err := identity.Issue(authority, identity.Host{Name: fmt.Sprintf("z00-h%02d", i), Zone: "zone-00"}, time.Now(), time.Hour)
		Expect(err).NotTo(HaveOccurred())
		credentials, err := identity.ParseCredentials(pair, authority.Certificate)
		Expect(err).NotTo(HaveOccurred())
		source := identity.FixedSource(credentials, time.Now, quiet)
		e, err := link.Listen(link.Config{Address: "127.0.0.1:0", Identity: source, Log: quiet})
		Expect(err).NotTo(HaveOccurred())
		b.Cleanup(func() { _ = e.Close() })
		endpoints = append(endpoints, e)
		seeds = append(seeds, roster.Hint{Host: e.Host(), Address: e.Address()})
	}
	var runners []*roster.Runner
	for _, e := range endpoints {
		document := spread.Start(spread.Config{Endpoint: e, Log: quiet})
		runner := roster.Start(roster.Options{
			Endpoint: e, Seeds: seeds, Log: quiet, OnPeerVersion: document.ReportPeerVersion, OnRank: document.SetRank,
			Summarize: func() roster.SummariesUpdated {
				return roster.SummariesUpdated{Version: document.Version(), Body: make([]byte, 16), Zone: make([]byte, 16)} // as in the simulation
			},
		})
		b.Cleanup(func() { _ = runner.Close(); _ = document.Close() })
		runners = append(runners, runner)
	}
	return endpoints, runners
}

// BenchmarkZone runs the roster and the configuration of one zone of the full fleet over
// QUIC and reports the costs of a host: processor time with the kernel's, memory of the
// Go heap and stacks, bytes sent and received with the headers of UDP and IP, and
// packets sent. The counted metrics are those of the simulated network for the same
// zone, to check the constants of this package against.
func BenchmarkZone(b *testing.B) {
	const hosts, udpAndIP = 28, 28
	before := memoryInUse()
	endpoints, runners := startZone(b, hosts)
	fewestMembers := func() int {
		fewest := hosts
		for _, runner := range runners {
			fewest = min(fewest, len(runner.View().Hosts))
		}
		return fewest
	}
	Eventually(fewestMembers).WithTimeout(time.Minute).Should(Equal(hosts))
	time.Sleep(30 * time.Second) // until all hosts are connected and their path MTU discovery has ended
	traffic := func() (bytes, packets float64) {
		for _, e := range endpoints {
			w := e.PacketStats()
			bytes += float64(w.SentBytes + w.ReceivedBytes + udpAndIP*(w.SentPackets+w.ReceivedPackets))
			packets += float64(w.SentPackets)
		}
		return bytes, packets
	}
	bytes, packets := traffic()
	spent, start := processorTime(), time.Now()
	for b.Loop() {
		time.Sleep(time.Second)
	}
	share := 1 / time.Since(start).Seconds() / hosts
	moreBytes, morePackets := traffic()
	b.ReportMetric((processorTime()-spent).Seconds()*1e6*share, "cpu-µs/host-s")
	b.ReportMetric((moreBytes-bytes)*share, "B/s")
	b.ReportMetric((morePackets-packets)*share, "packets/s")
	b.ReportMetric(float64(memoryInUse()-before)/hosts/1024, "KiB/host")
	counted := scale.NewWarmedUp(scale.Config{Hosts: hosts, Zones: 1, Regions: 1, Seed: 1}).MeasureSteadyState(20 * time.Second)
	b.ReportMetric(counted.MeanBytes, "counted-B/s")
	b.ReportMetric(counted.MeanPackets, "counted-packets/s")
}
