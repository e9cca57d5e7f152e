package matrix_test

import (
	"context"

	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/host/demo"
	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
)

// injection is a fault under way.
type injection struct {
	heal func()      // ends the fault
	done func() bool // the fault has really happened
}

// inject brings about the fault of a cell.
func inject(ctx context.Context, site *demo.Site, c cell) injection {
	switch c.At {
	case "engine":
		return script(site.Supplier.Pools[model].Engine.Faults, c)
	case "service":
		return script(site.Supplier.Pools[app].Service.Faults, c)
	case "platform":
		if c.Step == "all" {
			return outage(site, c)
		}
		return script(site.Platform.Faults(), c)
	case "host":
		return loseHost(ctx, site, c)
	default:
		return cutZone(site, c)
	}
}

func script(faults *fault.Script, c cell) injection {
	rule := c.rule()
	before := faults.Injected(rule.Step, rule.Kind)
	faults.Add(rule)
	return injection{
		heal: faults.Clear,
		done: func() bool { return faults.Injected(rule.Step, rule.Kind) > before },
	}
}

func outage(site *demo.Site, c cell) injection {
	before := site.Platform.Refused()
	site.Platform.SetOutage(fault.Kind(c.Kind))
	return injection{
		heal: func() { site.Platform.SetOutage("") },
		done: func() bool { return site.Platform.Refused() > before },
	}
}

// loseHost kills or stops one host while work goes on; it comes back when the
// cell heals.
func loseHost(ctx context.Context, site *demo.Site, c cell) injection {
	name := site.HostNames(zones[0])[0]
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		if c.Kind == "crash" {
			site.KillHost(name)
			return
		}
		_ = site.StopHost(ctx, name)
	}()
	return injection{
		heal: func() {
			<-gone
			Expect(site.StartHost(name, zones[0])).To(Succeed())
		},
		done: func() bool { return site.Host(name) == nil },
	}
}

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
		done: func() bool {
			_, dropped := site.Network.Counts()
			return dropped > before || site.Platform.Refused() > refused
		},
	}
}
