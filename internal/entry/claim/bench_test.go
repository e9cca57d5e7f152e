package claim_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/entry/claim"
	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
)

// BenchmarkGrant measures the work of the owner and of both copies for one new
// claim, with the messages encoded and decoded.
func BenchmarkGrant(b *testing.B) {
	owner := view.Member{Host: "a", Incarnation: 1}
	v := view.First("s", "z", owner)
	v.Copies = []view.Member{{Host: "b", Incarnation: 1}, {Host: "c", Incarnation: 1}}
	v.Version = 1
	table := claim.Table{Self: owner, Shard: "s", MaxRows: 1 << 30}
	copies := []*claim.Table{{Self: v.Copies[0], Shard: "s"}, {Self: v.Copies[1], Shard: "s"}}
	table.Adopt(v)
	b.ReportAllocs()
	bytes := 0
	for i := range b.N {
		now := time.Duration(i) * time.Second
		if i%claim.DefaultMaxRows == 0 {
			table.Expire(now)
		}
		r := request(strconv.Itoa(i), "attempt")
		_, pending := table.Claim(r, now)
		data, err := wire.Encode(pending.Copy)
		if err != nil {
			b.Fatal(err)
		}
		bytes += len(pending.To) * len(data)
		for j, to := range pending.To {
			message, err := wire.Decode[claim.Copy](data)
			if err != nil || !copies[j].Copy(message, now).Stored {
				b.Fatal("not stored", err)
			}
			table.MarkStored(r.Key, r.Attempt, to)
		}
		if reply, _ := table.Claim(r, now); reply.Status != claim.Granted {
			b.Fatal(reply.Status)
		}
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "bytes-sent/op")
}
