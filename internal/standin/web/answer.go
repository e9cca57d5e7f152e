package web

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
)

// MaxBody is the largest request body that a stand-in reads, in bytes.
const MaxBody = 8 << 20

// JSON writes a value as the complete response.
func JSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// Refuse writes an error response which states that the request had no effect. Its
// Retry-After header is that of Fail.
func Refuse(w http.ResponseWriter, status int, problem rest.Problem) {
	w.Header().Set(rest.HeaderRan, "no")
	Fail(w, status, problem)
}

// Fail writes an error response that leaves open whether the request had an effect. Its
// Retry-After header is the wait of the problem, rounded up to seconds; a wait of zero
// sets none.
func Fail(w http.ResponseWriter, status int, problem rest.Problem) {
	if problem.RetryAfterMillis > 0 {
		wait := time.Duration(problem.RetryAfterMillis) * time.Millisecond
		seconds := (wait + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	JSON(w, status, problem)
}

// Read decodes a JSON body into value. If that fails, it refuses the request and
// returns false.
func Read[T any](w http.ResponseWriter, r *http.Request, value *T) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBody))
	if err := decoder.Decode(value); err != nil {
		Refuse(w, http.StatusBadRequest, rest.Problem{Code: "malformed", Message: err.Error()})
		return false
	}
	return true
}
