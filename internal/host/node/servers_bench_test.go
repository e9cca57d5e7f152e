package node

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/journal"
	"github.com/hyssopwall/hyssopwall/internal/standin/objects"
)

// Load: a site of 3,000 servers that all load new weights every four seconds, which each host
// follows: the time, without decoding, for the change of one server.
func BenchmarkServersChange(b *testing.B) {
	logWriter := journal.New(io.Discard, "host", "h")
	defer logWriter.Close()
	platform := memoryPlatform(&objects.Store{})
	platform.DecodeServer = func(name string, _ []byte) (pool.Server, error) {
		return pool.Server{Name: name, Service: "s", Address: "10.0.0.1:1", Slots: 6, Versions: map[string]uint64{"m": 4}}, nil
	}
	n := New(Settings{Host: "h", UsageWindow: time.Second}, platform, logWriter.Log())
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		key := fmt.Sprintf("%sserver-%d", platform.Keys.Servers, i%3000)
		n.applyServersChange(object.Change{Batch: object.Batch{Objects: []object.Object{{Key: key, Version: uint64(i)}}}})
	}
}
