package node

import (
	"context"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/backend/silence"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// followZones sets up the detection of silent zones, if the site has to tolerate the loss of a
// zone.
func (n *Node) followZones() {
	if n.Settings.ToleratedZones < 1 {
		return
	}
	n.zones = &silence.Watch{OnChange: n.applySilence}
	n.Batches.Zones, n.Forwarder.Zones = n.zones, n.zones
	n.Meter.Gauge("zones_silent", func() float64 { return float64(len(n.zones.SilentZones())) })
}

// applySilence passes the begin or the end of a zone's silence to the pool.
func (n *Node) applySilence(zone string, silent bool) {
	n.Pool.SetSilent(zone, silent)
	if silent {
		n.Meter.Count("zone_silences_total", "zone", zone)
		n.Log.Emit(event.ZoneSilent, "zone", zone)
		return
	}
	n.Log.Emit(event.ZoneAnswers, "zone", zone)
}

// watchZones checks for silent zones and probes one server of each of them every
// silence.ProbeInterval, until the context ends.
func (n *Node) watchZones(ctx context.Context) {
	if n.zones == nil {
		return
	}
	prober := zoneProber{probe: n.probeZone}
	runEvery(ctx, silence.CheckInterval, func() {
		n.zones.Check(time.Now(), n.Pool.ListedByZone())
		prober.run(ctx, time.Now(), n.zones.SilentZones(), n.Pool.Servers)
	})
}

// probeZone sends a health check to a server. Any answer ends the silence of its zone.
func (n *Node) probeZone(ctx context.Context, server pool.Server) {
	if n.Pool.IsEvacuated(server.Zone) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	if n.Platform.CheckHealth(ctx, server, n.healthPath(server.Service)) == nil {
		n.zones.Arrived(time.Now(), server.Zone)
	}
}

// zoneProber selects the servers of silent zones to probe. The servers of a zone take turns,
// since any of them may have crashed. A probe does not wait for the previous one, which may
// hang until its timeout although the zone answers again.
type zoneProber struct {
	probe  func(ctx context.Context, server pool.Server)
	probed map[string]time.Time // time of the latest probe by zone
	turn   int
}

// run starts the probes that are due.
func (p *zoneProber) run(ctx context.Context, now time.Time, silent []string, list func() []pool.Server) {
	if len(silent) == 0 {
		p.probed = nil
		return
	}
	if p.probed == nil {
		p.probed = map[string]time.Time{}
	}
	for _, zone := range silent {
		if now.Sub(p.probed[zone]) < silence.ProbeInterval {
			continue
		}
		p.probed[zone] = now
		var servers []pool.Server
		for _, server := range list() {
			if server.Zone == zone {
				servers = append(servers, server)
			}
		}
		if len(servers) == 0 {
			continue
		}
		p.turn++
		go p.probe(ctx, servers[p.turn%len(servers)])
	}
}
