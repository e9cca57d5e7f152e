package node

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/fleet/peer"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/standin/objects"
)

// Load: a zone is cut off, and each host sees many servers fail. Guards against reports that take
// 1,945 calls a second of each host of a site of 390, one to each other host for each failure.
var _ = It("reports failures of servers with few calls whatever the number of hosts", func() {
	n := New(Settings{Host: "z0-0", Zone: "z0", UsageWindow: time.Second}, memoryPlatform(&objects.Store{}), event.Log{Sink: func(event.Entry, []any) {}})
	var receivers []string
	for zone := range 14 {
		for i := range 28 {
			name, zoneName := fmt.Sprintf("z%d-%d", zone, i), fmt.Sprintf("z%d", zone)
			n.applyHostsChange(objectChange(peer.KeyPrefix+name, 1, peer.Host{Name: name, Zone: zoneName, Address: "127.0.0.1:1"}, 0))
			if name != n.Settings.Host {
				receivers = append(receivers, name)
			}
		}
	}
	direct, relays := n.reportTree(receivers)
	Expect(direct).To(HaveLen(27), "the hosts of the own zone")
	Expect(relays).To(HaveLen(13), "one for each other zone")
	Expect(len(direct) + len(relays)).To(BeNumerically("<=", maxReportCalls))
	for _, candidates := range relays {
		Expect(candidates).To(HaveLen(relayCandidates))
	}
	direct, relays = n.reportTree(receivers[:directReports])
	Expect(direct).To(HaveLen(directReports))
	Expect(relays).To(BeEmpty())
})
