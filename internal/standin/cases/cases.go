// Package cases loads test cases from JSON files with comments.
package cases

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/tailscale/hujson"
)

// Case is a test case file: its name without the extension, and its decoded content.
type Case[T any] struct {
	Name string
	Data T
}

// Load reads all files that match the pattern, in order of name. It returns an error if
// no file matches, so that a test can't pass because it has no cases.
func Load[T any](pattern string) ([]Case[T], error) {
	paths, err := filepath.Glob(pattern)
	if err != nil {
		return nil, err
	}
	if len(paths) == 0 {
		return nil, fmt.Errorf("no test case file matches %q", pattern)
	}
	all := make([]Case[T], 0, len(paths))
	for _, path := range paths {
		data, err := read[T](path)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
		all = append(all, Case[T]{Name: name, Data: data})
	}
	return all, nil
}

// read decodes a file and rejects fields that T does not have.
func read[T any](path string) (T, error) {
	var data T
	raw, err := os.ReadFile(path) //nolint:gosec // test data named by the test itself
	if err != nil {
		return data, err
	}
	standard, err := hujson.Standardize(raw)
	if err != nil {
		return data, err
	}
	decoder := json.NewDecoder(strings.NewReader(string(standard)))
	decoder.DisallowUnknownFields()
	err = decoder.Decode(&data)
	return data, err
}
