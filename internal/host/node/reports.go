package node

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/fleet/peer"
)

// A host that sees a request to a server fail tells the other possible senders, since one that has
// no request there would not notice that the server starts again. When a zone is cut off, all hosts
// see many servers fail at once: the first failure is reported at once, later ones together, and
// one host of each other zone passes a report on to its zone.

const (
	// maxReportCalls is the number of calls a second that reports may take of a host. A site of
	// 390 hosts in 14 zones needs 41 for a report.
	maxReportCalls = 50
	// directReports is the number of receivers up to which a host calls each of them itself.
	directReports = 8
	// relayCandidates is the number of hosts of a zone that are tried to pass a report on.
	relayCandidates = 2
)

// failedServer is the message that requests to starts of servers have failed: this one and those in
// More. Forward asks the receiver to pass what is news to it on to the hosts of its zone.
type failedServer struct {
	Name    string         `cbor:"1,keyasint"`
	Boot    int64          `cbor:"2,keyasint"`
	More    []failedServer `cbor:"3,keyasint,omitempty"`
	Forward bool           `cbor:"4,keyasint,omitempty"`
}

// failureReports reports failures of servers. Its node has to be set.
type failureReports struct {
	node *Node

	mu      sync.Mutex
	pending map[failedServerKey]pool.Server
	sending bool // a goroutine is sending or waits to send
}

// failedServerKey identifies a start of a server.
type failedServerKey struct {
	name string
	boot int64
}

// add reports a failure to the other possible senders, in the background.
func (f *failureReports) add(server pool.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pending == nil {
		f.pending = map[failedServerKey]pool.Server{}
	}
	f.pending[failedServerKey{server.Name, server.Boot}] = server
	if !f.sending {
		f.sending = true
		go f.run()
	}
}

// run sends the pending reports until there are none, and pauses after each by the number of its
// calls.
func (f *failureReports) run() {
	for {
		f.mu.Lock()
		servers := make([]pool.Server, 0, len(f.pending))
		for _, server := range f.pending {
			servers = append(servers, server)
		}
		f.pending = nil
		f.sending = len(servers) > 0
		f.mu.Unlock()
		if len(servers) == 0 {
			return
		}
		calls := f.send(servers)
		sleep(f.node.ending, time.Duration(calls)*time.Second/maxReportCalls)
	}
}

// send sends one report and returns the number of its calls.
func (f *failureReports) send(servers []pool.Server) int {
	message := failedServer{Name: servers[0].Name, Boot: servers[0].Boot}
	for _, server := range servers[1:] {
		message.More = append(message.More, failedServer{Name: server.Name, Boot: server.Boot})
	}
	var receivers []string
	for _, server := range servers {
		receivers = append(receivers, f.node.otherSenders(server.Service)...)
	}
	slices.Sort(receivers)
	direct, relays := f.node.reportTree(slices.Compact(receivers))
	var group errgroup.Group
	group.SetLimit(maxParallelReports)
	for _, host := range direct {
		group.Go(func() error { f.call(host, message); return nil })
	}
	forwarded := message
	forwarded.Forward = true
	for _, candidates := range relays {
		group.Go(func() error {
			for _, host := range candidates {
				if f.call(host, forwarded) {
					break
				}
			}
			return nil
		})
	}
	_ = group.Wait() // no call returns an error
	return len(direct) + len(relays)
}

// call sends a report to a host and reports whether it has arrived. A host that misses it finds out
// by its own requests.
func (f *failureReports) call(host string, message failedServer) bool {
	ctx, cancel := context.WithTimeout(f.node.ending, reportTimeout)
	defer cancel()
	_, err := peer.Call[empty](ctx, f.node.Directory, host, "failed", message)
	return err == nil
}

// reportTree splits the receivers of a report into those that this host calls itself and, for each
// other zone with several of them, candidates to pass it on there.
func (n *Node) reportTree(receivers []string) (direct []string, relays [][]string) {
	if len(receivers) <= directReports {
		return receivers, nil
	}
	zones := map[string][]string{}
	for _, name := range receivers {
		host, _ := n.Directory.Find(name)
		zones[host.Zone] = append(zones[host.Zone], name)
	}
	silent := n.Directory.Silent(time.Now())
	for zone, names := range zones {
		if zone == n.Settings.Zone || len(names) <= relayCandidates {
			direct = append(direct, names...)
			continue
		}
		rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		slices.SortStableFunc(names, func(a, b string) int { // hosts that answer first
			return cmp.Compare(boolGauge(slices.Contains(silent, a)), boolGauge(slices.Contains(silent, b)))
		})
		relays = append(relays, names[:relayCandidates])
	}
	return direct, relays
}

// receive handles a report of another host.
func (f *failureReports) receive(_ context.Context, message failedServer) empty {
	var news []failedServer
	for _, server := range append([]failedServer{{Name: message.Name, Boot: message.Boot}}, message.More...) {
		if f.node.Pool.RecordBreak(server.Name, server.Boot) {
			news = append(news, server)
		}
	}
	if message.Forward && len(news) > 0 {
		go f.forward(news)
	}
	return empty{}
}

// forward passes failures on to the other hosts of this host's zone.
func (f *failureReports) forward(news []failedServer) {
	message := failedServer{Name: news[0].Name, Boot: news[0].Boot, More: news[1:]}
	var group errgroup.Group
	group.SetLimit(maxParallelReports)
	for _, host := range f.node.Directory.Hosts() {
		if host.Zone == f.node.Settings.Zone && host.Name != f.node.Settings.Host {
			group.Go(func() error { f.call(host.Name, message); return nil })
		}
	}
	_ = group.Wait() // no call returns an error
}
