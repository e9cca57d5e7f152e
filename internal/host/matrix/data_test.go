package matrix_test

import (
	"os"
	"strings"
	"testing"
)

func document() ([]byte, error) { return os.ReadFile("testdata/site.hujson") }

// shortEvery is the part of the cells that runs under -short.
const shortEvery = 6

func chosen(serial int, c cell) bool {
	if testing.Short() && serial%shortEvery != 0 {
		return false
	}
	return strings.Contains(c.String(), *only)
}

// keyed reports whether a request's name is that of one that must not run
// twice.
func keyed(name string) bool { return strings.HasPrefix(name, "keyed ") }
