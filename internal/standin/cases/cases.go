// Package cases loads scripted test cases from files of JSON with comments.
package cases

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/tailscale/hujson"
)

// Case is one file: its name without the extension, and its content.
type Case[T any] struct {
	Name string
	Data T
}

// Load reads every file that matches the pattern, ordered by name. It returns
// an error when no file matches, so that a test can't pass for want of cases.
func Load[T any](pattern string) ([]Case[T], error) {
	paths, err := filepath.Glob(pattern)
	if err != nil {
		return nil, err
	}
	if len(paths) == 0 {
		return nil, fmt.Errorf("no case matches %s", pattern)
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
