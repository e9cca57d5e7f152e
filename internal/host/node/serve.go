package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/billing/tally"
	"github.com/hyssopwall/hyssopwall/internal/entry/forward"
	"github.com/hyssopwall/hyssopwall/internal/entry/gate"
	"github.com/hyssopwall/hyssopwall/internal/entry/poison"
	"github.com/hyssopwall/hyssopwall/internal/fleet/peer"
	"github.com/hyssopwall/hyssopwall/internal/rollout/batch"
	"github.com/hyssopwall/hyssopwall/internal/site/policy"
)

// Times of connections. Callers may reuse a connection that was idle for a
// while; the configured bound replaces callerIdle once it is known.
const (
	callerIdle    = 20 * time.Second
	headerTimeout = 5 * time.Second
	peerIdle      = 60 * time.Second
)

// serve starts the servers for callers, the readiness check and other hosts.
func (n *Node) serve(l listeners, entry http.Handler) *http.Server {
	front := &http.Server{Handler: entry, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle}
	ready := &http.Server{Handler: http.HandlerFunc(n.answerReady), ReadHeaderTimeout: headerTimeout}
	internal := &http.Server{Handler: n.internal(), ReadHeaderTimeout: headerTimeout, IdleTimeout: peerIdle}
	go func() { _ = front.Serve(l.front) }() // ends with Shutdown
	go func() { _ = ready.Serve(l.ready) }() // ends with the process, as does the next
	go func() { _ = internal.Serve(l.internal) }()
	shown := &http.Server{Handler: http.HandlerFunc(n.showMetrics), ReadHeaderTimeout: headerTimeout}
	go func() { _ = shown.Serve(l.metrics) }()
	return front
}

func (n *Node) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// showMetrics writes the counters as text.
func (n *Node) showMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	n.Meter.Write(w)
}

// countsRequest asks a host for its counts of a window.
type countsRequest struct {
	Window int64 `cbor:"1,keyasint"`
}

type countsReply struct {
	Counts map[string]int `cbor:"1,keyasint,omitempty"`
}

type endRequest struct {
	ID string `cbor:"1,keyasint"`
}

type empty struct{}

type pingReply struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Healthy     bool   `cbor:"2,keyasint"`
	Holds       bool   `cbor:"3,keyasint"` // the duty
	Open        bool   `cbor:"4,keyasint"` // for new batches
}

// internal serves the calls of other hosts.
func (n *Node) internal() http.Handler {
	mux := http.NewServeMux()
	peer.Handle(mux, "ping", func(context.Context, empty) pingReply {
		_, holds := n.holder.Held(ControlDuty)
		healthy := n.age() < reachAge
		return pingReply{Incarnation: n.Incarnation, Healthy: healthy, Holds: holds, Open: healthy && n.Batches.AcceptsBatches()}
	})
	peer.Handle(mux, "counts", func(_ context.Context, r countsRequest) countsReply {
		return countsReply{Counts: n.Tally.Counts(r.Window)}
	})
	peer.Handle(mux, "read", n.Batches.ServeRead)
	peer.Handle(mux, "body", func(_ context.Context, r batch.BodyRequest) batch.BodyReply { return n.Batches.ServeBody(r) })
	peer.Handle(mux, "partials", n.Batches.ServePartials)
	peer.Handle(mux, "start", func(_ context.Context, r batch.StartRequest) empty {
		n.Batches.ServeStart(r)
		return empty{}
	})
	peer.Handle(mux, "end", func(_ context.Context, r endRequest) empty {
		n.Batches.ServeEnd(r.ID)
		return empty{}
	})
	peer.Handle(mux, "breaks", n.takeReport)
	peer.Handle(mux, "suspects", func(context.Context, empty) poison.Reports { return n.breaks.Reports(time.Now()) })
	peer.ServeMirrors(mux, n.mirrors)
	peer.ServeRelay(mux, n.direct, &n.health)
	return mux
}

// peers implements batch.Peers.
type peers struct {
	*peer.Directory
}

func (p peers) Read(ctx context.Context, host string, request batch.ReadRequest) (batch.ReadReply, error) {
	return peer.Call[batch.ReadReply](ctx, p.Directory, host, "read", request)
}

func (p peers) Body(ctx context.Context, host string, request batch.BodyRequest) (batch.BodyReply, error) {
	return peer.Call[batch.BodyReply](ctx, p.Directory, host, "body", request)
}

func (p peers) Partials(ctx context.Context, host string, request batch.PartialsRequest) (batch.PartialsReply, error) {
	return peer.Call[batch.PartialsReply](ctx, p.Directory, host, "partials", request)
}

func (p peers) End(ctx context.Context, host, id string) error {
	_, err := peer.Call[empty](ctx, p.Directory, host, "end", endRequest{ID: id})
	return err
}

func (p peers) Start(ctx context.Context, host string, request batch.StartRequest) error {
	_, err := peer.Call[empty](ctx, p.Directory, host, "start", request)
	return err
}

func (p peers) Ping(ctx context.Context, host string) (batch.HostStatus, error) {
	reply, err := peer.Call[pingReply](ctx, p.Directory, host, "ping", empty{})
	return batch.HostStatus{Incarnation: reply.Incarnation, Healthy: reply.Healthy, Open: reply.Open}, err
}

func (n *Node) askCounts(ctx context.Context, host string, window int64) (tally.Counts, error) {
	reply, err := peer.Call[countsReply](ctx, n.Directory, host, "counts", countsRequest{Window: window})
	return reply.Counts, err
}

func (n *Node) others() []string {
	var names []string
	for _, h := range n.Directory.Hosts() {
		if h.Name != n.Settings.Host {
			names = append(names, h.Name)
		}
	}
	return names
}

// scores implements batch.ScorerClient by a plain request along the route of the
// scorer's host and path.
type scores struct {
	*Node
}

// scoreTimeout bounds one call of a scorer; a repeat is cheaper than a longer
// wait.
const scoreTimeout = 1500 * time.Millisecond

// Score implements batch.ScorerClient.
func (s scores) Score(ctx context.Context, scorer batch.Scorer) (string, error) {
	p := s.Policy()
	if p == nil {
		return "", &AdmitError{Reason: NoPolicy}
	}
	route, ok := p.Route(scorer.Host, scorer.Target)
	if !ok {
		return "", &AdmitError{Reason: NoRoute, Version: p.Version}
	}
	most := max(1, route.Attempts)
	route.Attempts = 1 // each failure is counted by the caller
	answer, err := s.Forwarder.Do(ctx, route, forward.Request{
		ID: scorer.ID, Host: scorer.Host, Method: http.MethodPost, Target: scorer.Target,
		Body: scorer.Body, TimeLeft: scoreTimeout, Priority: -1,
	})
	switch {
	case err != nil:
		return "", err
	case answer.Status >= http.StatusInternalServerError:
		return "", &batch.FailedScoreError{Failures: 1, MaxAttempts: most}
	case answer.Status/100 != 2 || answer.Signature == "":
		return "", &forward.BrokenError{Reason: "scorer's answer has no signature"}
	}
	return answer.Signature, nil
}

// The reasons of an AdmitError.
const (
	NoPolicy    = "no configuration known"
	NoRoute     = "no route"
	BadKey      = "no valid key"
	StalePolicy = "configuration too old for keys"
)

// AdmitError says why a request was not let in. Version is that of the
// configuration that decided, Age its age.
type AdmitError struct {
	Reason  string
	Version uint64
	Age     time.Duration
}

func (e *AdmitError) Error() string { return "not admitted: " + e.Reason }

// Admit returns the route of a request and the workspace that its key belongs
// to, empty on an open route. The error is an *AdmitError.
func (n *Node) Admit(host, path, key string) (policy.Route, string, error) {
	p := n.Policy()
	if p == nil {
		return policy.Route{}, "", &AdmitError{Reason: NoPolicy}
	}
	fail := func(reason string) (policy.Route, string, error) {
		return policy.Route{}, "", &AdmitError{Reason: reason, Version: p.Version, Age: n.age()}
	}
	route, ok := p.Route(host, path)
	if !ok {
		return fail(NoRoute)
	}
	workspace, err := n.caller(route.Name, key)
	if err != nil {
		return fail(err.Error())
	}
	return route, workspace, nil
}

// Workspace returns the workspace of a key on any route of a host name. The
// error is an *AdmitError.
func (n *Node) Workspace(key string) (string, error) {
	p := n.Policy()
	if p == nil {
		return "", &AdmitError{Reason: NoPolicy}
	}
	workspace, err := n.caller("", key)
	if err != nil {
		return "", &AdmitError{Reason: err.Error(), Version: p.Version, Age: n.age()}
	}
	return workspace, nil
}

func (n *Node) caller(route, key string) (string, error) {
	caller, err := n.Gate.CheckRoute(route, key)
	if err != nil {
		return "", errors.New(BadKey)
	}
	now := time.Now()
	if n.Settings.RevocationLimit > 0 && n.Gate.CheckGrace(caller, n.cutOff(now), now) != nil {
		return "", errors.New(StalePolicy)
	}
	if caller == (gate.Caller{}) {
		return "", nil
	}
	return caller.Workspace, nil
}
