package spread_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hyssopwall/hyssopwall/internal/fleet/spread"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
)

func TestSpread(t *testing.T) {
	RegisterFailHandler(Fail)
	EnforceDefaultTimeoutsWhenUsingContexts()
	SetDefaultEventuallyTimeout(30 * time.Second)
	RunSpecs(t, "Spread Suite")
}

// line is one event of a script, Seconds after the last one, with the actions that
// have to follow and, if set, whether the host is ready then.
type line struct {
	Seconds     int
	Tick        bool
	PeerVersion *struct {
		From    string
		Version uint64
	}
	Read   string
	Whole  *struct{ From, Document string }
	Empty  *struct{ From string }
	Deltas *struct {
		From      string
		After, To uint64
	}
	Rank  *int
	Want  []string
	Ready *bool
}

// document returns the document of version 7 for "7", and another document of the
// same version for "7x".
func document(name string) spread.Accepted {
	number, err := strconv.ParseUint(strings.TrimSuffix(name, "x"), 10, 64)
	Expect(err).NotTo(HaveOccurred())
	body := fmt.Sprintf("{head %t %s body %d tail}", strings.HasSuffix(name, "x"), strings.Repeat("-", int(number%5)), number)
	return spread.Accepted{Version: number, By: "op", ID: name, Body: []byte(body)}
}

// event returns the event of the line.
func (l line) event() spread.Event {
	switch {
	case l.PeerVersion != nil:
		return spread.PeerVersion{Address: l.PeerVersion.From, Version: l.PeerVersion.Version}
	case l.Read != "":
		return spread.DocumentRead{Accepted: document(l.Read)}
	case l.Whole != nil:
		whole := document(l.Whole.Document)
		return spread.Fetched{Address: l.Whole.From, Reply: spread.Reply{Whole: &whole}}
	case l.Empty != nil:
		return spread.Fetched{Address: l.Empty.From}
	case l.Deltas != nil:
		peer := &spread.State{}
		for version := l.Deltas.After; version <= l.Deltas.To; version++ {
			peer.Step(spread.DocumentRead{Accepted: document(strconv.FormatUint(version, 10))}, time.Time{})
		}
		reply := peer.Answer(spread.Request{Have: l.Deltas.After})
		Expect(reply.Deltas).NotTo(BeEmpty())
		return spread.Fetched{Address: l.Deltas.From, Reply: reply}
	case l.Rank != nil:
		return spread.RankChanged{Rank: *l.Rank}
	default:
		return spread.Tick{}
	}
}

// texts returns the actions in the form in which scripts name them.
func texts(actions []spread.Action) []string {
	all := []string{}
	for _, action := range actions {
		switch a := action.(type) {
		case spread.Fetch:
			all = append(all, fmt.Sprintf("fetch %s after %d", a.Address, a.Have))
		case spread.Watch:
			all = append(all, fmt.Sprintf("watch %t", a.On))
		case spread.Apply:
			all = append(all, fmt.Sprintf("apply %d", a.Accepted.Version))
		case spread.Diverged:
			all = append(all, fmt.Sprintf("diverged %d", a.Version))
		}
	}
	return all
}

var _ = Describe("a host's configuration", func() {
	all, err := cases.Load[map[string][]line]("testdata/step.hujson")
	if err != nil {
		panic(err)
	}
	for name, script := range all[0].Data {
		It(name, func() {
			state, now := &spread.State{}, time.Unix(0, 0)
			for i, l := range script {
				now = now.Add(time.Duration(l.Seconds) * time.Second)
				Expect(texts(state.Step(l.event(), now))).To(Equal(l.Want), "line %d", i)
				if l.Ready != nil {
					Expect(state.Ready()).To(Equal(*l.Ready), "line %d", i)
				}
			}
		})
	}

	It("never reverts and converges in spite of lost messages and stale or repeated reads", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const newest = 9
			hosts := [3]spread.State{}
			applied := [3]uint64{}
			now := time.Unix(0, 0)
			step := func(host int, e spread.Event) []spread.Action {
				actions := hosts[host].Step(e, now)
				for _, action := range actions {
					if a, ok := action.(spread.Apply); ok {
						if a.Accepted.Version <= applied[host] {
							t.Fatalf("host %d went from %d to %d", host, applied[host], a.Accepted.Version)
						}
						applied[host] = a.Accepted.Version
					}
				}
				return actions
			}
			exchange := func(from, to int, lost bool) {
				actions := step(to, spread.PeerVersion{Address: strconv.Itoa(from), Version: hosts[from].Accepted.Version})
				for len(actions) > 0 && !lost {
					fetch, ok := actions[len(actions)-1].(spread.Fetch)
					if !ok {
						return
					}
					peer, _ := strconv.Atoi(fetch.Address)
					reply := hosts[peer].Answer(spread.Request{Have: fetch.Have})
					actions = step(to, spread.Fetched{Address: fetch.Address, Reply: reply})
				}
			}
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "wait")) * time.Second)
				host := rapid.IntRange(0, 2).Draw(t, "host")
				if rapid.Bool().Draw(t, "read") {
					step(host, spread.DocumentRead{Accepted: document(strconv.Itoa(rapid.IntRange(1, newest).Draw(t, "version")))})
					continue
				}
				exchange(rapid.IntRange(0, 2).Draw(t, "peer"), host, rapid.Bool().Draw(t, "lost"))
			}
			step(0, spread.DocumentRead{Accepted: document(strconv.Itoa(newest))})
			for range 4 {
				now = now.Add(3 * time.Second)
				exchange(0, 1, false)
				exchange(1, 2, false)
			}
			for host := range hosts {
				if applied[host] != newest {
					t.Fatalf("host %d ended at %d", host, applied[host])
				}
			}
		})
	})
})
