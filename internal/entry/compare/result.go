package compare

import (
	"math"
	"slices"
	"time"
)

// result computes the measurements of a finished run.
func (sim *simulation) result() Result {
	res := Result{LeastFairShare: math.Inf(1)}
	var served, offered [workspaces]float64
	var times [workspaces][]time.Duration
	inTime := 0
	window := time.Duration(sim.site.Seconds)*time.Second - warmUp
	for _, r := range sim.requests {
		if sim.isServed(r) {
			served[r.workspace] += float64(r.tokens)
		}
		if !r.measured {
			continue
		}
		res.Requests++
		offered[r.workspace] += float64(r.tokens)
		if !r.refused.IsZero() {
			res.Refused++
		}
		if r.answered.IsZero() {
			continue
		}
		times[r.workspace] = append(times[r.workspace], r.answered.Sub(r.at))
		if !r.answered.After(r.deadline) {
			inTime++
		}
	}
	total := 0.0
	for i := range served {
		total += served[i]
		if len(times[i]) > 0 && (i != flooder || sim.load.Offered[i] < floodFactor) {
			res.P99 = max(res.P99, quantile(times[i], 0.99))
		}
	}
	for i, fair := range fairShares(total, offered[:]) {
		switch {
		case fair > 0:
			res.LeastFairShare = min(res.LeastFairShare, served[i]/fair)
		case offered[i] > 0:
			res.LeastFairShare = 0
		}
	}
	res.Goodput = total / (sim.capacity() * window.Seconds())
	res.InTime = ratio(inTime, res.Requests)
	res.CacheHitRatio = ratio(sim.cachedPromptTokens, sim.sharedPromptTokens)
	res.RetriesPerFailure = ratio(sim.retries, sim.failures)
	res.SendsPerRequest = ratio(sim.sends, len(sim.requests))
	return res
}

// isServed reports whether a request counts for throughput: it was answered within
// its deadline, and between the warm-up and the end of the load. Its arrival may
// lie before that.
func (sim *simulation) isServed(r *request) bool {
	return !r.answered.IsZero() && !r.answered.After(r.deadline) &&
		r.answered.Sub(sim.start) >= warmUp && r.answered.Before(sim.end())
}

// ratio returns part/whole, or zero if whole is zero.
func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// quantile sorts times and returns their q-quantile. Times must not be empty.
func quantile(times []time.Duration, q float64) time.Duration {
	slices.Sort(times)
	return times[min(len(times)-1, int(q*float64(len(times))))]
}

// fairShares divides a total among demands so that the smallest share is as large
// as possible (max-min fairness with equal weights).
func fairShares(total float64, demands []float64) []float64 {
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return int(demands[a] - demands[b]) })
	shares := make([]float64, len(demands))
	for place, i := range order {
		shares[i] = min(demands[i], total/float64(len(order)-place))
		total -= shares[i]
	}
	return shares
}
