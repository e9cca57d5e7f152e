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

// Call is a kind of call. It is the step of a fault, and calls are counted by
// it.
type Call = fault.Step

// The calls.
const (
	Get      Call = "get"
	List     Call = "list"
	Watch    Call = "watch"
	Put      Call = "put"
	Delete   Call = "delete"
	Place    Call = "place"
	Servers  Call = "servers"
	Report   Call = "report"
	Hosts    Call = "hosts"
	Newest   Call = "newest"
	Download Call = "download"
)

// Catalog lists the faults of each call.
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

// The faults of every call, before and after it takes effect.
var (
	faultsBefore = []fault.Kind{fault.DropBefore, fault.Refuse, fault.Down, fault.Limit}
	faultsAfter  = []fault.Kind{fault.DropAfter, fault.Truncated, fault.Corrupt, fault.Slow}
)

// reply is the answer of a handler. A status other than 200 comes with a
// rest.Problem and says that nothing was done.
type reply struct {
	status int
	value  any
	raw    []byte
}

type handler func(r *http.Request) reply

func ok(value any) reply { return reply{status: http.StatusOK, value: value} }

func refuse(status int, problem rest.Problem) reply {
	return reply{status: status, value: problem}
}

func malformed(err error) reply {
	return refuse(http.StatusBadRequest, rest.Problem{Code: "malformed", Message: err.Error()})
}

// admit counts a call, applies cuts, outages, limits and faults, and answers.
func (p *Platform) admit(call Call, do handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.count(call)
		if p.isCut(r) {
			p.refuseCall()
			web.Drop()
		}
		if p.inOutage(w, r) || p.limited(w, call) || p.before(w, r, call) {
			return
		}
		p.after(w, r, call, do)
	})
}

func subject(r *http.Request) string {
	query := r.URL.Query()
	return query.Get("key") + query.Get("prefix") + query.Get("zone") + query.Get("model")
}

func (p *Platform) isCut(r *http.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut[r.Header.Get(rest.HeaderSource)]
}

// inOutage answers a call during an outage.
func (p *Platform) inOutage(w http.ResponseWriter, r *http.Request) bool {
	p.mu.Lock()
	kind := p.outage
	p.mu.Unlock()
	if kind == "" {
		return false
	}
	p.refuseCall()
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

// limited answers a call that exceeds its rate.
func (p *Platform) limited(w http.ResponseWriter, call Call) bool {
	bucket := p.bucket(call)
	now := p.now()
	if bucket.AllowN(now, 1) {
		return false
	}
	reservation := bucket.ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	reservation.CancelAt(now)
	web.Refuse(w, http.StatusTooManyRequests, rest.Problem{Code: "rate", RetryAfterMillis: wait.Milliseconds() + 1})
	return true
}

func (p *Platform) bucket(call Call) *rate.Limiter {
	switch call {
	case Put, Delete, Place, Report:
		return p.writes
	case Download:
		return p.loads
	}
	return p.reads
}

// before brings about the faults that keep a call from taking effect.
func (p *Platform) before(w http.ResponseWriter, r *http.Request, call Call) bool {
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

// after runs the call and brings about the faults of its answer.
func (p *Platform) after(w http.ResponseWriter, r *http.Request, call Call, do handler) {
	result := do(r)
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
	w.Header().Set("Content-Type", result.kind())
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(result.status)
	if rule.Kind == fault.Truncated {
		web.Cut(w, body)
	}
	_, _ = w.Write(body)
}

func (r reply) kind() string {
	if r.raw != nil {
		return "application/octet-stream"
	}
	return "application/json"
}

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

func (p *Platform) refuseCall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refused++
}

// Refused returns how many calls met an outage or a cut.
func (p *Platform) Refused() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused
}

// Calls returns how many calls of a kind have come, refused ones included.
func (p *Platform) Calls(call Call) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls[call]
}

// SetOutage starts an outage, or ends it for "". fault.Refuse says that nothing
// was done, fault.Down says nothing, fault.DropBefore drops connections, and
// fault.Delay leaves calls without an answer. Waiting watches end.
func (p *Platform) SetOutage(kind fault.Kind) {
	p.mu.Lock()
	p.outage = kind
	p.mu.Unlock()
	p.store.wake()
}

// Cut drops every call of a source, or serves it again.
func (p *Platform) Cut(source string, cut bool) {
	p.mu.Lock()
	p.cut[source] = cut
	p.mu.Unlock()
	p.store.wake()
}
