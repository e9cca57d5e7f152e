package compare

import (
	"math"
	"slices"
	"time"
)

// result sums a run up.
func (w *world) result() Result {
	res := Result{Share: math.Inf(1)}
	var served, offered [workspaces]float64
	var times [workspaces][]time.Duration
	inTime := 0
	window := time.Duration(w.site.Seconds)*time.Second - warmUp
	for _, r := range w.requests {
		if w.isServed(r) {
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
		if len(times[i]) > 0 && (i != flooder || w.load.Offered[i] < floodFactor) {
			res.P99 = max(res.P99, quantile(times[i], 0.99))
		}
	}
	for i, fair := range fairShares(total, offered[:]) {
		switch {
		case fair > 0:
			res.Share = min(res.Share, served[i]/fair)
		case offered[i] > 0:
			res.Share = 0
		}
	}
	res.Goodput = total / (w.capacity() * window.Seconds())
	res.InTime = ratio(inTime, res.Requests)
	res.Hits = ratio(w.hitTokens, w.seenTokens)
	res.Retries = ratio(w.repeats, w.failures)
	res.Sends = ratio(w.sends, len(w.requests))
	return res
}

// isServed says whether a request counts for throughput: its answer came in
// time and between the warm-up and the end of the load, whenever it arrived.
func (w *world) isServed(r *request) bool {
	return !r.answered.IsZero() && !r.answered.After(r.deadline) &&
		r.answered.Sub(w.start) >= warmUp && r.answered.Before(w.end())
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func quantile(times []time.Duration, q float64) time.Duration {
	slices.Sort(times)
	return times[min(len(times)-1, int(q*float64(len(times))))]
}

// fairShares divides a total among demands so that the least is as large as
// possible (max-min fairness with equal weights).
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
