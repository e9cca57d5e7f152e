package compare

import (
	"fmt"
	"slices"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/platform/supply"
	"github.com/hyssopwall/hyssopwall/internal/platform/weightstore"
	"github.com/hyssopwall/hyssopwall/internal/rollout/reclaim"
	"github.com/hyssopwall/hyssopwall/internal/rollout/weights"
)

// market orders backend servers and takes spot servers back.
type market struct {
	planner   reclaim.Planner
	mover     reclaim.StreamPlanner
	planned   time.Time
	reclaimed []time.Time // by zone
	taken     int         // reclaims so far
	named     int
}

func (s *site) supplyTick() {
	s.reclaim()
	s.retire()
	for _, on := range s.samplers {
		price := demandPrice
		if on.class == supply.Spot {
			price = spotPrice
		}
		s.result.Cost += price * s.c.Tick.Hours()
	}
	if s.now.Sub(s.supply.planned) < supplyInterval {
		return
	}
	s.supply.planned = s.now
	for _, want := range s.supply.planner.Plan(s.now, s.demand(), s.zones()) {
		s.order(want)
	}
}

func (s *site) demand() reclaim.Demand {
	full := s.c.Speed * float64(s.c.Slots) / (1 + s.c.Drag*float64(s.c.Slots-1))
	demand := reclaim.Demand{ServerRate: full, ServerSlots: s.c.Slots}
	for _, t := range s.trainers {
		if t.ledger != nil {
			samples, tokens := t.ledger.Remaining()
			demand.Steps = append(demand.Steps, reclaim.Step{Tokens: float64(tokens), Samples: samples, Deadline: t.opened.Add(s.c.Goal)})
		}
	}
	return demand
}

func (s *site) zones() []reclaim.Zone {
	zones := make([]reclaim.Zone, s.c.Zones)
	for i := range zones {
		zones[i] = reclaim.Zone{Name: fmt.Sprintf("z%02d", i), SpotPrice: spotPrice, OnDemandPrice: demandPrice, LastReclaim: s.supply.reclaimed[i]}
		if s.c.Baseline == OnDemand {
			zones[i].SpotPrice = demandPrice
		}
	}
	for _, on := range s.samplers {
		switch {
		case !on.until.IsZero():
		case on.class == supply.Spot && on.works(s.now):
			zones[on.zone].SpotRunning++
		case on.works(s.now):
			zones[on.zone].OnDemandRunning++
		}
	}
	return zones
}

// order brings a zone's servers of a class to the wanted number. A server that
// is given back finishes its streams first.
func (s *site) order(want reclaim.Target) {
	var zone int
	if _, err := fmt.Sscanf(want.Zone, "z%02d", &zone); err != nil {
		panic(err) // the model names its zones itself
	}
	var have []*sampler
	for _, on := range s.samplers {
		if on.zone == zone && on.class == want.Class && on.until.IsZero() {
			have = append(have, on)
		}
	}
	if want.Class == supply.Spot && want.Count > len(have) && s.refuses(zone) {
		s.supply.reclaimed[zone] = s.now
		return
	}
	for range want.Count - len(have) {
		s.supply.named++
		name := fmt.Sprintf("s%05d", s.supply.named)
		s.samplers = append(s.samplers, newSampler(name, zone, want.Class, s.now.Add(startTime), s.newest, s.c, s.random))
	}
	slices.SortStableFunc(have, func(a, b *sampler) int { return len(a.streams) - len(b.streams) })
	for i := range len(have) - want.Count {
		have[i].until = s.now.Add(time.Hour)
	}
}

// refuses reports whether the platform has no spot servers in a zone, for a
// while after it took them back.
func (s *site) refuses(zone int) bool {
	if s.supply.taken == 0 || (s.supply.taken-1)%s.c.Zones != zone {
		return false
	}
	return s.now.Sub(s.start)%reclaimPeriod < refusal
}

// reclaim gives notice to the spot servers of one zone now and then.
func (s *site) reclaim() {
	if !s.c.Reclaims || int(s.now.Sub(s.start)/reclaimPeriod) <= s.supply.taken {
		return
	}
	zone := s.supply.taken % s.c.Zones
	s.supply.taken++
	s.supply.reclaimed[zone] = s.now
	for _, on := range s.samplers {
		if on.zone == zone && on.class == supply.Spot {
			on.until = s.now.Add(notice)
			s.result.Reclaimed++
			s.react(on)
		}
	}
}

// react moves the streams off a server that is reclaimed.
func (s *site) react(on *sampler) {
	var streams []reclaim.Stream
	for _, st := range on.streams {
		rest := (float64(s.c.Mean) - st.done) / on.pace(len(on.streams), s.c.Drag)
		if rest <= 0 {
			rest = notice.Seconds() + 1
		}
		streams = append(streams, reclaim.Stream{
			ID: st.work.Attempt, Tokens: int(st.done), Remaining: time.Duration(rest * float64(time.Second)), Idempotent: true,
		})
	}
	for _, action := range s.supply.mover.Plan(s.now, on.until, streams) {
		st := s.streams[action.ID]
		switch action.Disposition {
		case reclaim.Export:
			s.export(st)
		case reclaim.Restart:
			s.remove(st)
			st.trainer.ledger.Fail(action.ID, errLost, s.now)
		}
	}
}

// retire removes servers at the end of their notice, or once empty.
func (s *site) retire() {
	s.samplers = slices.DeleteFunc(s.samplers, func(on *sampler) bool {
		if on.until.IsZero() || (len(on.streams) > 0 && s.now.Before(on.until)) {
			return false
		}
		on.gone = true
		s.lose(on)
		return true
	})
}

// loadTick is the interval at which the weight duty plans.
const loadTick = 100 * time.Millisecond

// load ends and starts the loads of new weights. Once a roll-out is over, one
// look in each tick finds the engines that crashed in it.
func (s *site) load() {
	end := s.now
	if !s.rolled {
		s.now = s.now.Add(loadTick - s.c.Tick)
	}
	for ; !s.now.After(end); s.now = s.now.Add(loadTick) {
		s.loadOnce()
	}
	s.now = end
}

func (s *site) loadOnce() {
	var reports []weights.Engine
	byName := map[string]*sampler{}
	current := true
	for _, on := range s.samplers {
		if !on.works(s.now) || !on.until.IsZero() {
			continue
		}
		s.settle(on)
		current = current && on.version == s.newest
		reports = append(reports, on.report())
		byName[on.name] = on
	}
	if current && !s.rolled {
		s.rolled = true
		s.result.Rolls = append(s.result.Rolls, s.now.Sub(s.released))
	}
	if s.c.Baseline == AllAtOnce {
		s.loadAll(reports, byName)
		return
	}
	release := weightstore.Release{Model: "m", Version: s.newest, MaxDownloadRate: s.c.Rate}
	for _, l := range s.planner.Plan(s.now, release, reports) {
		on := byName[l.Engine]
		on.target, on.loading = l.Version, s.now.Add(loadTime)
	}
}

// settle ends a load that is due. A server that starts loads the newest
// weights before it works.
func (s *site) settle(on *sampler) {
	if !on.started {
		on.started, on.version = true, s.newest
	}
	if !on.loading.IsZero() && !s.now.Before(on.loading) {
		on.swap()
	}
}

// loadAll tells every engine at once. Each stops and waits for its turn at the
// weight store.
func (s *site) loadAll(reports []weights.Engine, byName map[string]*sampler) {
	queue := 0
	for _, report := range reports {
		on := byName[report.Name]
		if on.version == s.newest || !on.loading.IsZero() {
			continue
		}
		queue++
		on.target = s.newest
		on.loading = s.now.Add(loadTime + time.Duration(queue)*time.Second/time.Duration(s.c.Rate))
	}
}
