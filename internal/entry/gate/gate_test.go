package gate_test

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/entry/gate"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
)

func TestGate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Gate Suite")
}

// grantCase gives keys in plain text, which only a test may do.
type grantCase struct {
	Workspace, ID, Key string
}

type tableCase struct {
	Version uint64
	Grants  []grantCase
	Open    []string
	Grace   map[string]int // seconds
}

// step is one call and what it must give.
type step struct {
	Swap   *tableCase `json:"swap"`
	Check  string     `json:"check"`
	Route  string     `json:"route"`
	Enter  string     `json:"enter"`
	CutFor int        `json:"cutFor"` // seconds without news
	Expire bool       `json:"expire"`

	Want  string   `json:"want"`  // workspace, or the reason of a refusal
	Ended []string `json:"ended"` // workspaces whose streams ended
	Note  string   `json:"note"`
}

func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func build(c tableCase) *gate.Table {
	rules := gate.Rules{Version: c.Version, OpenRoutes: c.Open, Grace: map[string]time.Duration{}}
	for _, g := range c.Grants {
		rules.Grants = append(rules.Grants, gate.Grant{Workspace: g.Workspace, KeyID: g.ID, Digest: digest(g.Key)})
	}
	for workspace, seconds := range c.Grace {
		rules.Grace[workspace] = time.Duration(seconds) * time.Second
	}
	table, err := gate.NewTable(rules)
	Expect(err).NotTo(HaveOccurred())
	return table
}

var _ = Describe("the gate", func() {
	now := time.Unix(1000, 0)
	all, err := cases.Load[[]step]("testdata/*.hujson")
	It("has cases", func() { Expect(err).NotTo(HaveOccurred()) })
	for _, c := range all {
		It(c.Name, func() {
			var p player
			for i, s := range c.Data {
				Expect(p.play(s, now)).To(Equal(s.Want), "step %d: %s", i, s.Note)
				Expect(p.ended).To(ConsistOf(s.Ended), "step %d: %s", i, s.Note)
			}
		})
	}

	It("refuses tables in which a digest names two keys", func() {
		_, err := gate.NewTable(gate.Rules{Grants: []gate.Grant{
			{Workspace: "a", KeyID: "1", Digest: digest("x")},
			{Workspace: "b", KeyID: "1", Digest: digest("x")},
		}})
		var wrong *gate.GrantError
		Expect(errors.As(err, &wrong)).To(BeTrue())
	})

	It("passes nothing of the key on to a backend server", func() {
		const key = "sk-secret"
		header := http.Header{
			"Authorization": {"Bearer " + key}, "Cookie": {"a=b"}, "X-Api-Key": {"other"}, "api-key": {"x"},
			"X-Custom": {"fine", "holds " + key}, "Accept": {"*/*"},
		}
		Expect(gate.KeyFromHeader(header)).To(Equal(key))
		clean := gate.StripHeader(header, key)
		Expect(clean).To(Equal(http.Header{"X-Custom": {"fine"}, "Accept": {"*/*"}}))
		path, ok := gate.StripPath("/v1/x?API_KEY=1&a=b&c=%73k-secret&token=t", key)
		Expect(ok).To(BeTrue())
		Expect(path).To(Equal("/v1/x?a=b"))
		_, ok = gate.StripPath("/v1/%73k-secret", key)
		Expect(ok).To(BeFalse())
		Expect(gate.BodyContains([]byte(`{"k":"`+key+`"}`), key)).To(BeTrue())
		Expect(strings.Contains((&gate.RefusedError{Reason: "unknown"}).Error(), key)).To(BeFalse())
	})
})

// player runs steps against one gate and collects the workspaces whose streams
// it ended.
type player struct {
	gate  gate.Gate
	ended []string
}

func (p *player) play(s step, now time.Time) string {
	var cut time.Time
	if s.CutFor > 0 {
		cut = now.Add(-time.Duration(s.CutFor) * time.Second)
	}
	p.ended = nil
	switch {
	case s.Swap != nil:
		_, err := p.gate.Swap(build(*s.Swap))
		return reason(err)
	case s.Expire:
		p.gate.ExpireGrace(cut, now)
		return ""
	}
	caller, err := p.gate.CheckRoute(s.Route, s.Check+s.Enter)
	if err == nil {
		err = p.gate.CheckGrace(caller, cut, now)
	}
	if err != nil {
		return reason(err)
	}
	if s.Enter != "" {
		_, err := p.gate.RegisterStream(caller, func() { p.ended = append(p.ended, caller.Workspace) })
		Expect(err).NotTo(HaveOccurred())
	}
	return caller.Workspace
}

func reason(err error) string {
	var refused *gate.RefusedError
	var stale *gate.StaleError
	switch {
	case errors.As(err, &refused):
		return refused.Reason
	case errors.As(err, &stale):
		return "stale"
	}
	return ""
}
