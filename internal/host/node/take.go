package node

import (
	"context"
	"math"
)

// Decoding waits until a batch that takes the given number of bytes may be decoded, and
// returns a function to call at the end. It returns false if the context ends first.
func (n *Node) Decoding(ctx context.Context, bytes int64) (end func(), ok bool) {
	if n.Intake.decoding == nil {
		return func() {}, true
	}
	weight := min(bytes, n.Intake.decodable)
	if n.Intake.decoding.Acquire(ctx, weight) != nil {
		return nil, false
	}
	return func() { n.Intake.decoding.Release(weight) }, true
}

// MaxDecoded returns the largest size of a decoded batch that this host takes.
func (n *Node) MaxDecoded() int64 {
	if n.Settings.MemoryBytes <= 0 {
		return math.MaxInt64
	}
	return n.Settings.MemoryBytes / decodedDivisor
}

// decodedDivisor gives the largest decoded batch as a part of the memory. A batch of the largest
// body has three quarters of its size; many empty items or headers multiply it.
const decodedDivisor = 3
