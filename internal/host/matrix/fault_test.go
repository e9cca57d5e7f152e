package matrix_test

import (
	"context"

	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/host/demo"
	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
)

// injection is a fault in effect.
type injection struct {
	heal     func()      // ends the fault
	happened func() bool // reports whether the fault has really happened
}

// inject starts the fault of a cell.
func inject(ctx context.Context, site *demo.Site, c cell) injection {
	switch c.At {
	case "engine":
		return addRule(site.Supplier.Pools[model].Engine.Faults, c)
	case "service":
		return addRule(site.Supplier.Pools[app].Service.Faults, c)
	case "platform":
		if c.Step == "all" {
			return startOutage(site, c)
		}
		return addRule(site.Platform.Faults(), c)
	case "host":
		return removeHost(ctx, site, c)
	default:
		return cutZone(site, c)
	}
}

// addRule injects a fault by adding a rule to a fault script.
func addRule(faults *fault.Script, c cell) injection {
	rule := c.rule()
	before := faults.Injected(rule.Step, rule.Kind)
	faults.Add(rule)
	return injection{
		heal:     faults.Clear,
		happened: func() bool { return faults.Injected(rule.Step, rule.Kind) > before },
	}
}

// startOutage starts a platform outage of the kind that the cell names.
func startOutage(site *demo.Site, c cell) injection {
	before := site.Platform.Refused()
	site.Platform.SetOutage(fault.Kind(c.Kind))
	return injection{
		heal:     func() { site.Platform.SetOutage("") },
		happened: func() bool { return site.Platform.Refused() > before },
	}
}

// removeHost kills or stops one host while requests run. Healing starts it again.
func removeHost(ctx context.Context, site *demo.Site, c cell) injection {
	name := site.HostNames(zones[0])[0]
	removed := make(chan struct{})
	go func() {
		defer close(removed)
		if c.Kind == "crash" {
			site.KillHost(name)
			return
		}
		_ = site.StopHost(ctx, name)
	}()
	return injection{
		heal: func() {
			<-removed
			Expect(site.StartHost(name, zones[0])).To(Succeed())
		},
		happened: func() bool { return site.Host(name) == nil },
	}
}

// cutZone cuts a zone off from the other zones, from the platform, or from both, as the
// step of the cell says.
func cutZone(site *demo.Site, c cell) injection {
	zone := zones[1]
	set := func(cut bool) {
		if c.Step != "zones" {
			site.CutPlatform(zone, cut)
		}
		if c.Step != "platform" {
			site.CutZone(zone, cut)
		}
	}
	_, before := site.Network.Counts()
	refused := site.Platform.Refused()
	set(true)
	return injection{
		heal: func() { set(false) },
		happened: func() bool {
			_, dropped := site.Network.Counts()
			return dropped > before || site.Platform.Refused() > refused
		},
	}
}
