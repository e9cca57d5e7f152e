package matrix_test

import (
	"os"
	"strings"
	"testing"
)

// siteDocument returns the site document that the matrix runs on.
func siteDocument() ([]byte, error) { return os.ReadFile("testdata/site.hujson") }

// Under -short, one cell in shortEvery runs.
const shortEvery = 6

// selected reports whether a cell runs under the flags -short and -cell.
func selected(serial int, c cell) bool {
	if testing.Short() && serial%shortEvery != 0 {
		return false
	}
	return strings.Contains(c.String(), *cellFilter)
}

// hasIdempotencyKey reports whether a request was sent with an idempotency key, and so
// must not run twice. Its name starts with the kind of work.
func hasIdempotencyKey(name string) bool { return strings.HasPrefix(name, "keyed ") }
