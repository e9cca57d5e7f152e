package release_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/rollout/release"
	"github.com/hyssopwall/hyssopwall/internal/rollout/weights"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
)

func TestRelease(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Release Suite")
}

// homes is a case of models that share engines. Changes is the maximum number of engines
// that change their home, each of which costs a load.
type homes struct {
	Pattern string
	Shares  []release.Share
	Engines []engine
	Want    map[string]int
	Changes int
}

type engine struct {
	Name     string
	Home     string
	Versions map[string]uint64
}

var _ = Describe("the home models of engines", func() {
	all, err := cases.Load[homes]("testdata/homes-*.hujson")
	if err != nil {
		panic(err)
	}
	for _, c := range all {
		It(c.Name+": "+c.Data.Pattern, func() {
			old := map[string]string{}
			var servers []pool.Server
			for _, e := range c.Data.Engines {
				if e.Home != "" {
					old[e.Name] = e.Home
				}
				servers = append(servers, pool.Server{Name: e.Name, Versions: e.Versions})
			}
			got := release.AssignHomes(old, servers, c.Data.Shares)
			count, changes := map[string]int{}, 0
			for name, model := range got {
				count[model]++
				if old[name] != "" && old[name] != model {
					changes++
				}
			}
			Expect(count).To(Equal(c.Data.Want))
			Expect(changes).To(BeNumerically("<=", c.Data.Changes))
			Expect(release.AssignHomes(got, servers, c.Data.Shares)).To(Equal(got), "a second assignment changed a home")
		})
	}
})

// postponed is a case of loads that can be postponed.
type postponed struct {
	Pattern string
	Version uint64
	Lag     uint64
	Engines []weights.Engine
	Loading []string
	Want    []string
}

var _ = Describe("postponed loads", func() {
	all, err := cases.Load[postponed]("testdata/postponed-*.hujson")
	if err != nil {
		panic(err)
	}
	for _, c := range all {
		It(c.Name+": "+c.Data.Pattern, func() {
			loading := func(name string) bool {
				for _, l := range c.Data.Loading {
					if l == name {
						return true
					}
				}
				return false
			}
			got := release.PostponedEngines(c.Data.Version, c.Data.Lag, loading, c.Data.Engines)
			Expect(got).To(ConsistOf(c.Data.Want))
		})
	}
})
