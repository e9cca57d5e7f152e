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

// market is the state of the simulated supply of backend servers.
type market struct {
	planner          reclaim.Planner
	streamPlanner    reclaim.StreamPlanner
	plannedAt        time.Time
	lastReclaim      []time.Time // last reclaim or refused spot order, by zone
	reclaimCount     int         // reclaims so far; each takes all spot servers of one zone
	lastServerNumber int         // for the names of servers
}

// supplyTick reclaims and removes servers, adds up their cost and, once per
// supplyInterval, orders or gives back servers to reach the numbers that the planner
// wants.
func (s *simulation) supplyTick() {
	s.reclaim()
	s.removeServers()
	for _, sm := range s.samplers {
		price := onDemandPrice
		if sm.class == supply.Spot {
			price = spotPrice
		}
		s.result.Cost += price * s.scenario.Tick.Hours()
	}
	if s.now.Sub(s.supply.plannedAt) < supplyInterval {
		return
	}
	s.supply.plannedAt = s.now
	for _, want := range s.supply.planner.Plan(s.now, s.supplyDemand(), s.zones()) {
		s.adjustServers(want)
	}
}

// supplyDemand returns the remaining work of the open steps.
func (s *simulation) supplyDemand() reclaim.Demand {
	full := s.scenario.Speed * float64(s.scenario.Slots) / (1 + s.scenario.Slowdown*float64(s.scenario.Slots-1))
	demand := reclaim.Demand{ServerRate: full, ServerSlots: s.scenario.Slots}
	for _, t := range s.trainers {
		if t.ledger != nil {
			samples, tokens := t.ledger.Remaining()
			demand.Steps = append(demand.Steps, reclaim.Step{Tokens: float64(tokens), Samples: samples, Deadline: t.opened.Add(s.scenario.StepGoal)})
		}
	}
	return demand
}

// zones returns the prices and the number of running servers of each zone. Servers
// that leave are not counted.
func (s *simulation) zones() []reclaim.Zone {
	zones := make([]reclaim.Zone, s.scenario.Zones)
	for i := range zones {
		zones[i] = reclaim.Zone{Name: fmt.Sprintf("z%02d", i), SpotPrice: spotPrice, OnDemandPrice: onDemandPrice, LastReclaim: s.supply.lastReclaim[i]}
		if s.scenario.Baseline == OnDemand {
			zones[i].SpotPrice = onDemandPrice
		}
	}
	for _, sm := range s.samplers {
		switch {
		case !sm.leaveAt.IsZero():
		case sm.class == supply.Spot && sm.isUp(s.now):
			zones[sm.zone].SpotRunning++
		case sm.isUp(s.now):
			zones[sm.zone].OnDemandRunning++
		}
	}
	return zones
}

// adjustServers orders or gives back servers of a class in a zone to reach the wanted
// number. Servers with the fewest streams are given back first, once their streams
// have finished, or after an hour.
func (s *simulation) adjustServers(want reclaim.Target) {
	var zone int
	if _, err := fmt.Sscanf(want.Zone, "z%02d", &zone); err != nil {
		panic(err) // the names come from zones
	}
	var have []*sampler
	for _, sm := range s.samplers {
		if sm.zone == zone && sm.class == want.Class && sm.leaveAt.IsZero() {
			have = append(have, sm)
		}
	}
	if want.Class == supply.Spot && want.Count > len(have) && s.refuses(zone) {
		s.supply.lastReclaim[zone] = s.now
		return
	}
	for range want.Count - len(have) {
		s.supply.lastServerNumber++
		name := fmt.Sprintf("s%05d", s.supply.lastServerNumber)
		s.samplers = append(s.samplers, newSampler(name, zone, want.Class, s.now.Add(startupTime), s.newest, s.scenario, s.random))
	}
	slices.SortStableFunc(have, func(a, b *sampler) int { return len(a.streams) - len(b.streams) })
	for i := range len(have) - want.Count {
		have[i].leaveAt = s.now.Add(time.Hour)
	}
}

// refuses reports whether the platform refuses orders of spot servers in a zone, as it
// does for refusalTime after a reclaim there.
func (s *simulation) refuses(zone int) bool {
	if s.supply.reclaimCount == 0 || (s.supply.reclaimCount-1)%s.scenario.Zones != zone {
		return false
	}
	return s.now.Sub(s.start)%reclaimPeriod < refusalTime
}

// reclaim gives a reclaim notice to the spot servers of one zone, once per
// reclaimPeriod.
func (s *simulation) reclaim() {
	if !s.scenario.Reclaims || int(s.now.Sub(s.start)/reclaimPeriod) <= s.supply.reclaimCount {
		return
	}
	zone := s.supply.reclaimCount % s.scenario.Zones
	s.supply.reclaimCount++
	s.supply.lastReclaim[zone] = s.now
	for _, sm := range s.samplers {
		if sm.zone == zone && sm.class == supply.Spot {
			sm.leaveAt = s.now.Add(noticeTime)
			s.result.Reclaimed++
			s.moveStreams(sm)
		}
	}
}

// moveStreams exports or restarts streams of a reclaimed server, or lets them finish, as
// the planner decides. The remaining time of a stream is estimated from MedianTokens. A
// stream that has as many tokens already counts as unable to finish within the notice.
func (s *simulation) moveStreams(sm *sampler) {
	var streams []reclaim.Stream
	for _, st := range sm.streams {
		rest := (float64(s.scenario.MedianTokens) - st.generated) / sm.tokenRate(len(sm.streams), s.scenario.Slowdown)
		if rest <= 0 {
			rest = noticeTime.Seconds() + 1
		}
		streams = append(streams, reclaim.Stream{
			ID: st.work.Attempt, Tokens: int(st.generated), Remaining: time.Duration(rest * float64(time.Second)), Idempotent: true,
		})
	}
	for _, action := range s.supply.streamPlanner.Plan(s.now, sm.leaveAt, streams) {
		st := s.streams[action.ID]
		switch action.Disposition {
		case reclaim.Export:
			s.export(st)
		case reclaim.Restart:
			s.remove(st)
			st.trainer.ledger.Fail(action.ID, errEngineLost, s.now)
		}
	}
}

// removeServers removes leaving servers at the end of their notice, or once they have
// no streams.
func (s *simulation) removeServers() {
	s.samplers = slices.DeleteFunc(s.samplers, func(sm *sampler) bool {
		if sm.leaveAt.IsZero() || (len(sm.streams) > 0 && s.now.Before(sm.leaveAt)) {
			return false
		}
		sm.removed = true
		s.failStreams(sm)
		return true
	})
}

// loadTick is the interval at which weight loads are planned during a roll-out.
const loadTick = 100 * time.Millisecond

// loadWeights finishes and starts loads of new weights. During a roll-out it plans
// every loadTick. After it, one plan per tick is enough to find the engines that
// crashed.
func (s *simulation) loadWeights() {
	end := s.now
	if !s.rolledOut {
		s.now = s.now.Add(loadTick - s.scenario.Tick)
	}
	for ; !s.now.After(end); s.now = s.now.Add(loadTick) {
		s.planLoads()
	}
	s.now = end
}

// planLoads finishes the loads that are due, records the end of a roll-out and starts
// the next loads.
func (s *simulation) planLoads() {
	var reports []weights.Engine
	byName := map[string]*sampler{}
	current := true
	for _, sm := range s.samplers {
		if !sm.isUp(s.now) || !sm.leaveAt.IsZero() {
			continue
		}
		s.finishLoad(sm)
		current = current && sm.version == s.newest
		reports = append(reports, sm.report())
		byName[sm.name] = sm
	}
	if current && !s.rolledOut {
		s.rolledOut = true
		s.result.RolloutTimes = append(s.result.RolloutTimes, s.now.Sub(s.released))
	}
	if s.scenario.Baseline == AllAtOnce {
		s.loadAllAtOnce(reports, byName)
		return
	}
	release := weightstore.Release{Model: "m", Version: s.newest, MaxDownloadRate: s.scenario.DownloadRate}
	for _, l := range s.planner.Plan(s.now, release, reports) {
		sm := byName[l.Engine]
		sm.target, sm.loadEnd = l.Version, s.now.Add(loadTime)
	}
}

// finishLoad completes a load that is due. A server that has just started has loaded
// the newest weights already.
func (s *simulation) finishLoad(sm *sampler) {
	if !sm.started {
		sm.started, sm.version = true, s.newest
	}
	if !sm.loadEnd.IsZero() && !s.now.Before(sm.loadEnd) {
		sm.swapWeights()
	}
}

// loadAllAtOnce starts the load of the newest weights on every engine at once. Each
// stops generating and waits until the weight store serves its download.
func (s *simulation) loadAllAtOnce(reports []weights.Engine, byName map[string]*sampler) {
	queue := 0
	for _, report := range reports {
		sm := byName[report.Name]
		if sm.version == s.newest || !sm.loadEnd.IsZero() {
			continue
		}
		queue++
		sm.target = s.newest
		sm.loadEnd = s.now.Add(loadTime + time.Duration(queue)*time.Second/time.Duration(s.scenario.DownloadRate))
	}
}
