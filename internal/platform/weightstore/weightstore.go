// Package weightstore defines the platform's store of model weights.
package weightstore

import "context"

// Release is the newest set of weights of a model. Version counts from 1.
type Release struct {
	Model           string `json:"model"`
	Version         uint64 `json:"version"`
	Bytes           uint64 `json:"bytes"`
	MaxDownloadRate uint64 `json:"rate"` // downloads per second that the store allows
}

// Store reads releases. Errors are those of package object.
type Store interface {
	Newest(ctx context.Context, model string) (Release, error)
}
