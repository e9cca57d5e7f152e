// Package weightstore defines the platform's store of model weights.
package weightstore

import "context"

// Release is a version of a model's weights. Versions count from 1.
type Release struct {
	Model           string `json:"model"`
	Version         uint64 `json:"version"`
	Bytes           uint64 `json:"bytes"`
	MaxDownloadRate uint64 `json:"rate"` // downloads per second that the store allows; zero counts as one
}

// Store returns releases. Errors are those of package object.
type Store interface {
	// Newest returns the newest release of a model.
	Newest(ctx context.Context, model string) (Release, error)
}
