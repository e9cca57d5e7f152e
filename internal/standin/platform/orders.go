package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
	"github.com/hyssopwall/hyssopwall/internal/platform/supply"
	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
)

// Server is a backend server run by the platform.
type Server = supply.Server

// Order sets the number of servers of a zone, pool and class.
type Order = supply.Order

// group identifies the servers whose number an order sets.
type group struct {
	zone  string
	pool  string
	class supply.Class
}

// supplyState holds the servers and the orders. Orders are idempotent by ID and fenced
// by epoch. Platform.mu guards it.
type supplyState struct {
	servers  []Server
	orders   map[string]Order // accepted orders by ID
	placed   []Order          // accepted orders in order of arrival
	epoch    uint64           // greatest epoch of an accepted order
	stale    int              // accepted orders with a stale epoch
	capacity map[group]int
	serial   int // number of the last server started, part of its name
}

// place accepts an order. A repeated order has no further effect; a different order with a
// known ID is refused. A stale epoch is refused unless an IgnoreFencing fault is due, whose
// subject is the zone of the order.
func (p *Platform) place(r *http.Request) reply {
	var order Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		return malformed(err)
	}
	if err := order.Check(); err != nil {
		return malformed(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known, repeat := p.supply.orders[order.ID]
	if repeat && known != order {
		return refuse(http.StatusConflict, rest.Problem{Code: "order", Have: known.Epoch, Message: "another order has this ID"})
	}
	if repeat {
		return ok(rest.None{})
	}
	if order.Epoch < p.supply.epoch {
		if _, ignored := p.settings.Faults.Take(Place, order.Zone, fault.IgnoreFencing); !ignored {
			return refuse(http.StatusConflict, rest.Problem{Code: "fenced", Have: p.supply.epoch})
		}
		p.supply.stale++
	}
	p.accept(order)
	return ok(rest.None{})
}

// accept records an order and resizes its group.
func (p *Platform) accept(order Order) {
	if p.supply.orders == nil {
		p.supply.orders = make(map[string]Order)
	}
	p.supply.orders[order.ID] = order
	p.supply.placed = append(p.supply.placed, order)
	p.supply.epoch = max(p.supply.epoch, order.Epoch)
	p.resize(group{order.Zone, order.Pool, order.Class}, order.Count)
}

// resize starts or stops servers until the group has count of them, or its capacity if
// that is smaller. Leaving servers don't count, and the newest servers are stopped.
func (p *Platform) resize(g group, count int) {
	if limit, set := p.supply.capacity[g]; set {
		count = min(count, limit)
	}
	have := p.members(g)
	for range count - len(have) {
		p.start(g)
	}
	for _, name := range have[min(count, len(have)):] {
		p.stop(name)
	}
}

// members returns the names of a group's servers that are not leaving.
func (p *Platform) members(g group) []string {
	names := []string{}
	for _, server := range p.supply.servers {
		if (group{server.Zone, server.Pool, server.Class}) == g && !server.Leaving {
			names = append(names, server.Name)
		}
	}
	return names
}

// start adds a server to a group. A Starter that fails leaves the group one short.
func (p *Platform) start(g group) {
	p.supply.serial++
	server := Server{
		Name:  fmt.Sprintf("%s-%s-%s-%d", g.pool, g.zone, g.class, p.supply.serial),
		Zone:  g.zone,
		Pool:  g.pool,
		Class: g.class,
	}
	if p.settings.Starter != nil {
		address, err := p.settings.Starter.Start(server)
		if err != nil {
			return
		}
		server.Address = address
	}
	p.supply.servers = append(p.supply.servers, server)
}

// stop removes a server and stops it.
func (p *Platform) stop(name string) {
	p.supply.servers = slices.DeleteFunc(p.supply.servers, func(s Server) bool { return s.Name == name })
	if p.settings.Starter != nil {
		p.settings.Starter.Stop(name)
	}
}

// servers returns the servers of a zone, or all if no zone is given.
func (p *Platform) servers(r *http.Request) reply {
	zone := r.URL.Query().Get("zone")
	p.mu.Lock()
	defer p.mu.Unlock()
	matching := []Server{}
	for _, server := range p.supply.servers {
		if zone == "" || server.Zone == zone {
			matching = append(matching, server)
		}
	}
	return ok(matching)
}

// AddServer adds a server that is already running.
func (p *Platform) AddServer(server Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.supply.servers = append(p.supply.servers, server)
}

// SetCapacity limits the number of servers with this zone, pool and class. It applies to
// later orders and stops no running server.
func (p *Platform) SetCapacity(zone, pool string, class supply.Class, count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.supply.capacity == nil {
		p.supply.capacity = make(map[group]int)
	}
	p.supply.capacity[group{zone, pool, class}] = count
}

// Reclaim marks the spot servers of a zone as leaving and returns their names.
// Tick stops them when the notice ends.
func (p *Platform) Reclaim(zone string, notice time.Duration) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	until := p.now().Add(notice)
	names := []string{}
	for i := range p.supply.servers {
		server := &p.supply.servers[i]
		if server.Zone == zone && server.Class == supply.Spot && !server.Leaving {
			server.Leaving = true
			server.NoticeEnd = until
			names = append(names, server.Name)
		}
	}
	return names
}

// Tick stops the servers whose reclaim notice has ended.
func (p *Platform) Tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	due := []string{}
	for _, server := range p.supply.servers {
		if server.Leaving && !server.NoticeEnd.After(now) {
			due = append(due, server.Name)
		}
	}
	for _, name := range due {
		p.stop(name)
	}
}

// Orders returns the accepted orders, without repeats.
func (p *Platform) Orders() []Order {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.supply.placed)
}

// StaleOrders returns the number of orders with a stale epoch that were accepted because
// of a fault.
func (p *Platform) StaleOrders() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.supply.stale
}

// Running returns the running servers, including leaving ones.
func (p *Platform) Running() []Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.supply.servers)
}
