package demo

import "time"

// Spending is the cost of the backend servers for the duration of the workload, in the
// site's currency.
type Spending struct {
	Servers            int     `json:"servers"`
	Total              float64 `json:"total"`
	PerThousandSamples float64 `json:"sample"` // cost of 1000 delivered samples
}

// spending prices every backend server that runs at the end for the full length of the
// workload.
func (r *demoRun) spending(samples uint64) Spending {
	hours := (time.Duration(r.settings.Seconds) * time.Second).Hours()
	prices := make(map[string]float64)
	for _, price := range r.site.Document.Prices {
		prices[price.Class] = price.PerHour
	}
	var sum Spending
	for _, server := range r.site.Platform.Running() {
		sum.Servers++
		sum.Total += prices[string(server.Class)] * hours
	}
	if samples > 0 {
		sum.PerThousandSamples = sum.Total / float64(samples) * 1000
	}
	return sum
}
