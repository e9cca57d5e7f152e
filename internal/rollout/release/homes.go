package release

import (
	"cmp"
	"math"
	"slices"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
)

// Share is the weight of one of the models that share engines.
type Share struct {
	Model  string
	Weight float64
}

// shares weighs each model by the square root of the tokens that its steps need. A step
// takes as long as its longest generations, so that additional engines speed it up less
// than proportionally.
func (c *Coordinator) shares(models []string) []Share {
	shares := make([]Share, len(models))
	for i, model := range models {
		shares[i] = Share{Model: model, Weight: math.Sqrt(float64(max(1, c.Demand(model).Tokens)))}
	}
	return shares
}

// AssignHomes returns the home model of each engine, so that the number of engines per
// model is proportional to the shares. An engine keeps its old home, or else gets the
// model whose weights it holds, unless that model already has its number of engines: a
// change of home costs a load. Shares must not be empty if there are servers.
func AssignHomes(old map[string]string, servers []pool.Server, shares []Share) map[string]string {
	homes := make(map[string]string, len(servers))
	wanted := engineCounts(len(servers), shares)
	count := map[string]int{}
	var unassigned []pool.Server
	for _, s := range servers {
		home := old[s.Name]
		if _, known := wanted[home]; !known {
			home = homeFromVersions(s, shares)
		}
		if home == "" || count[home] >= wanted[home] {
			unassigned = append(unassigned, s)
			continue
		}
		homes[s.Name] = home
		count[home]++
	}
	for _, s := range unassigned {
		most := slices.MaxFunc(shares, func(a, b Share) int {
			return cmp.Compare(wanted[a.Model]-count[a.Model], wanted[b.Model]-count[b.Model])
		})
		homes[s.Name] = most.Model
		count[most.Model]++
	}
	return homes
}

// minEngines is the minimum number of engines of a model, so that one can fail or load
// while another serves.
const minEngines = 2

// engineCounts returns the number of engines of each model. Each model first gets
// minEngines, or an equal part if there are fewer; each remaining engine goes to the
// model that is furthest below its proportional share.
func engineCounts(n int, shares []Share) map[string]int {
	wanted := make(map[string]int, len(shares))
	total := 0.0
	for _, s := range shares {
		wanted[s.Model] = min(minEngines, n/len(shares))
		total += s.Weight
	}
	remaining := n
	for _, count := range wanted {
		remaining -= count
	}
	for ; remaining > 0; remaining-- {
		most := slices.MaxFunc(shares, func(a, b Share) int {
			return cmp.Compare(a.Weight/total*float64(n)-float64(wanted[a.Model]), b.Weight/total*float64(n)-float64(wanted[b.Model]))
		})
		wanted[most.Model]++
	}
	return wanted
}

// homeFromVersions returns the model of which the engine holds the highest version. It
// returns the empty string if no version is higher than 1: engines start with version 1,
// so that it does not show which model an engine had.
func homeFromVersions(s pool.Server, shares []Share) string {
	best, most := "", uint64(1)
	for _, share := range shares {
		if v := s.Versions[share.Model]; v > most {
			best, most = share.Model, v
		}
	}
	return best
}
