package demo

import "time"

// Spending is what the backend servers cost while the workload ran, in the
// site's currency.
type Spending struct {
	Servers            int     `json:"servers"`
	Total              float64 `json:"total"`
	PerThousandSamples float64 `json:"sample"` // for a thousand delivered samples
}

// spending prices every running backend server over the length of the
// workload.
func (r *running) spending(samples uint64) Spending {
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
