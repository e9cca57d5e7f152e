package usage_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/billing/usage"
	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// BenchmarkCommit measures one group commit of a host that serves 8 workspaces:
// sending the pending rows to both copies, with the messages encoded and decoded.
func BenchmarkCommit(b *testing.B) {
	const workspaces = 8
	alive := func(view.Member) bool { return true }
	counters := usage.Counters{Self: member(0)}
	copies := []*usage.Counters{{Self: member(1)}, {Self: member(2)}}
	b.ReportAllocs()
	bytes := 0
	for i := range b.N {
		counters.Add(strconv.Itoa(i%workspaces), usage.WindowAt(begin), one)
		for j := range copies {
			rows := counters.Pending(member(j+1), alive)
			data, err := wire.Encode(usage.Copy{From: counters.Self, Rows: rows})
			if err != nil {
				b.Fatal(err)
			}
			bytes += len(data)
			message, err := wire.Decode[usage.Copy](data)
			if err != nil {
				b.Fatal(err)
			}
			copies[j].Copy(message)
			counters.Acked(member(j+1), rows)
		}
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "bytes-sent/op")
}

// BenchmarkSeal measures sealing one window of 390 hosts and 8 workspaces, where
// three hosts hold each counter.
func BenchmarkSeal(b *testing.B) {
	held := usage.Totals{}
	for h := range 390 {
		for w := range 8 {
			id := usage.CounterID{Source: view.Member{Host: strconv.Itoa(h), Incarnation: 1}, Window: 0, Workspace: strconv.Itoa(w)}
			for range 3 {
				held.Merge([]usage.Row{{Counter: id, Total: one}})
			}
		}
	}
	b.ReportAllocs()
	for range b.N {
		ledger := usage.NewLedger(0)
		if sealed := ledger.Seal(held, nil, usage.WindowAt(begin.Add(time.Hour)), usage.MaxRows); len(sealed.Counted) != 390*8 {
			b.Fatal(len(sealed.Counted))
		}
	}
}
