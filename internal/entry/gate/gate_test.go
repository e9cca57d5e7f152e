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

// grantCase is a gate.Grant with the key in plain text.
type grantCase struct {
	Workspace, ID, Key string
}

// tableCase describes a gate.Table.
type tableCase struct {
	Version uint64
	Grants  []grantCase
	Open    []string
	Grace   map[string]int // seconds
}

// step is one call on the gate and its expected results.
type step struct {
	Swap   *tableCase `json:"swap"`
	Check  string     `json:"check"`  // key
	Route  string     `json:"route"`  // route of the check
	Enter  string     `json:"enter"`  // key of a stream, which is checked and registered
	CutFor int        `json:"cutFor"` // seconds without updates
	Expire bool       `json:"expire"` // calls ExpireGrace

	Want  string   `json:"want"`  // workspace, or the reason of a refusal
	Ended []string `json:"ended"` // workspaces whose streams ended
	Note  string   `json:"note"`  // printed on failure
}

// digest returns the digest of a key as in a gate.Grant.
func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// build builds the table of a case.
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

	It("rejects tables in which two keys have the same digest", func() {
		_, err := gate.NewTable(gate.Rules{Grants: []gate.Grant{
			{Workspace: "a", KeyID: "1", Digest: digest("x")},
			{Workspace: "b", KeyID: "1", Digest: digest("x")},
		}})
		var wrong *gate.GrantError
		Expect(errors.As(err, &wrong)).To(BeTrue())
	})

	It("sends no part of the key to a backend server", func() {
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

// player runs steps against one gate and records the workspaces whose streams the
// last step ended.
type player struct {
	gate  gate.Gate
	ended []string
}

// play performs one step and returns the workspace of its caller, or the reason of a
// refusal.
func (p *player) play(s step, now time.Time) string {
	var cutOff time.Time
	if s.CutFor > 0 {
		cutOff = now.Add(-time.Duration(s.CutFor) * time.Second)
	}
	p.ended = nil
	switch {
	case s.Swap != nil:
		_, err := p.gate.Swap(build(*s.Swap))
		return reason(err)
	case s.Expire:
		p.gate.ExpireGrace(cutOff, now)
		return ""
	}
	caller, err := p.gate.CheckRoute(s.Route, s.Check+s.Enter)
	if err == nil {
		err = p.gate.CheckGrace(caller, cutOff, now)
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

// reason returns the reason of a refusal, "stale" for an old table, or "".
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
