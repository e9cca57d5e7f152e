package platform

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"golang.org/x/time/rate"

	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
	"github.com/hyssopwall/hyssopwall/internal/standin/web"
)

// Call is a kind of call. Fault rules select calls by kind, and calls are counted
// per kind.
type Call = fault.Step

// The kinds of calls.
const (
	Get      Call = "get"
	List     Call = "list"
	Watch    Call = "watch"
	Put      Call = "put"
	Delete   Call = "delete"
	Place    Call = "place"    // an order of backend servers
	Servers  Call = "servers"  // the list of backend servers
	Report   Call = "report"   // a usage report
	Hosts    Call = "hosts"    // the host list
	Newest   Call = "newest"   // the newest weights version of a model
	Download Call = "download" // the weights of a version
)

// Catalog returns the faults that can be injected into each kind of call.
func Catalog() fault.Catalog {
	catalog := fault.Catalog{}
	for _, call := range []Call{Get, List, Watch, Put, Delete, Place, Servers, Report, Hosts, Newest, Download} {
		catalog[call] = slices.Concat([]fault.Kind{fault.Delay}, faultsBefore, faultsAfter)
	}
	for _, call := range []Call{Get, List, Hosts, Newest} {
		catalog[call] = append(catalog[call], fault.Stale)
	}
	for _, call := range []Call{Put, Delete} {
		catalog[call] = append(catalog[call], fault.Doubled)
	}
	catalog[Place] = append(catalog[Place], fault.IgnoreFencing)
	return catalog
}

// The faults that apply to every call, injected before or after it takes effect.
var (
	faultsBefore = []fault.Kind{fault.DropBefore, fault.Refuse, fault.Down, fault.Limit}
	faultsAfter  = []fault.Kind{fault.DropAfter, fault.Truncated, fault.Corrupt, fault.Slow}
)

// reply is the response of a handler. A status other than 200 has a rest.Problem
// as its value and means that the call had no effect. A raw body, if any, is sent in place
// of the value.
type reply struct {
	status int
	value  any
	raw    []byte
}

// handler executes a call that admit let through.
type handler func(r *http.Request) reply

func ok(value any) reply { return reply{status: http.StatusOK, value: value} }

func refuse(status int, problem rest.Problem) reply {
	return reply{status: status, value: problem}
}

func malformed(err error) reply {
	return refuse(http.StatusBadRequest, rest.Problem{Code: "malformed", Message: err.Error()})
}

// admit wraps a handler: it counts the call, applies cuts, outages, rate limits and
// faults, and writes the response.
func (p *Platform) admit(call Call, run handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.count(call)
		if p.isCut(r) {
			p.countRefused()
			web.Drop()
		}
		if p.inOutage(w, r) || p.limited(w, call) || p.injectBefore(w, r, call) {
			return
		}
		p.respond(w, r, call, run)
	})
}

// subject returns the text that fault rules match against: the key, prefix, zone or
// model in the query of a call. It is empty for a call without a query, such as Place.
func subject(r *http.Request) string {
	query := r.URL.Query()
	return query.Get("key") + query.Get("prefix") + query.Get("zone") + query.Get("model")
}

// isCut reports whether the source of a call is cut off.
func (p *Platform) isCut(r *http.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut[r.Header.Get(rest.HeaderSource)]
}

// inOutage reports whether there is an outage, and answers the call if so.
func (p *Platform) inOutage(w http.ResponseWriter, r *http.Request) bool {
	p.mu.Lock()
	kind := p.outage
	p.mu.Unlock()
	if kind == "" {
		return false
	}
	p.countRefused()
	switch kind {
	case fault.DropBefore:
		web.Drop()
	case fault.Delay:
		select {
		case <-r.Context().Done():
		case <-p.done:
		}
		web.Drop()
	case fault.Refuse:
		web.Refuse(w, http.StatusServiceUnavailable, rest.Problem{Code: "outage"})
	default:
		web.Fail(w, http.StatusServiceUnavailable, rest.Problem{Code: "outage"})
	}
	return true
}

// limited reports whether a call exceeds its rate limit, and answers it if so.
func (p *Platform) limited(w http.ResponseWriter, call Call) bool {
	limiter := p.limiter(call)
	now := p.now()
	if limiter.AllowN(now, 1) {
		return false
	}
	reservation := limiter.ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	reservation.CancelAt(now)
	web.Refuse(w, http.StatusTooManyRequests, rest.Problem{Code: "rate", RetryAfterMillis: wait.Milliseconds() + 1})
	return true
}

// limiter returns the rate limiter of a kind of call.
func (p *Platform) limiter(call Call) *rate.Limiter {
	switch call {
	case Put, Delete, Place, Report:
		return p.writes
	case Download:
		return p.loads
	}
	return p.reads
}

// injectBefore injects delays and the faults that keep a call from taking effect. It
// reports whether it answered the call.
func (p *Platform) injectBefore(w http.ResponseWriter, r *http.Request, call Call) bool {
	script, subject := p.settings.Faults, subject(r)
	if rule, due := script.Take(call, subject, fault.Delay); due {
		rule.Wait(r.Context())
	}
	rule, due := script.Take(call, subject, faultsBefore...)
	if !due {
		return false
	}
	switch rule.Kind {
	case fault.DropBefore:
		web.Drop()
	case fault.Refuse:
		web.Refuse(w, http.StatusServiceUnavailable, rest.Problem{Code: "refused"})
	case fault.Limit:
		web.Refuse(w, http.StatusTooManyRequests, rest.Problem{Code: "rate", RetryAfterMillis: rule.Delay.Milliseconds()})
	default:
		web.Fail(w, http.StatusServiceUnavailable, rest.Problem{Code: "down"})
	}
	return true
}

// respond runs the call and writes its response, with any fault injected into it.
func (p *Platform) respond(w http.ResponseWriter, r *http.Request, call Call, run handler) {
	result := run(r)
	rule, _ := p.settings.Faults.Take(call, subject(r), faultsAfter...)
	switch rule.Kind {
	case fault.DropAfter:
		web.Drop()
	case fault.Slow:
		rule.Wait(r.Context())
	}
	body, err := result.bytes()
	if err != nil {
		web.Fail(w, http.StatusInternalServerError, rest.Problem{Code: "encode"})
		return
	}
	if rule.Kind == fault.Corrupt {
		body = append([]byte{'#'}, body...)
	}
	if result.status != http.StatusOK {
		w.Header().Set(rest.HeaderRan, "no")
	}
	w.Header().Set("Content-Type", result.contentType())
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(result.status)
	if rule.Kind == fault.Truncated {
		web.Cut(w, body)
	}
	_, _ = w.Write(body)
}

// contentType returns the value of the Content-Type header.
func (r reply) contentType() string {
	if r.raw != nil {
		return "application/octet-stream"
	}
	return "application/json"
}

// bytes returns the body of the response.
func (r reply) bytes() ([]byte, error) {
	if r.raw != nil {
		return r.raw, nil
	}
	return json.Marshal(r.value)
}

func (p *Platform) count(call Call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[call]++
}

func (p *Platform) countRefused() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refused++
}

// Refused returns the number of calls rejected by an outage or a cut.
func (p *Platform) Refused() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused
}

// Calls returns the number of calls of a kind received, including rejected ones.
func (p *Platform) Calls(call Call) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls[call]
}

// SetOutage starts an outage, or ends it if kind is "". fault.Refuse rejects calls and
// states that they had no effect, fault.Down fails them without that statement,
// fault.DropBefore drops their connections, and fault.Delay leaves them unanswered.
// Pending watches are interrupted.
func (p *Platform) SetOutage(kind fault.Kind) {
	p.mu.Lock()
	p.outage = kind
	p.mu.Unlock()
	p.store.wake()
}

// Cut drops every call of a source if cut is set, and serves the source again if not.
// Pending watches of a source that is cut off are interrupted.
func (p *Platform) Cut(source string, cut bool) {
	p.mu.Lock()
	p.cut[source] = cut
	p.mu.Unlock()
	p.store.wake()
}
