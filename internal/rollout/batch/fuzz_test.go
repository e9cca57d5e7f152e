package batch_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/rollout/batch"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// FuzzRecords applies arbitrary bytes as the stored record of a batch. None may cause a
// panic.
func FuzzRecords(f *testing.F) {
	valid, err := json.Marshal(batch.Record{Workspace: "w", Total: 3, Owner: "h", Epoch: 2})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte(`{"total":-1,"epoch":18446744073709551615}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		b := batch.Batches{Host: "h", Log: event.Log{Sink: func(event.Entry, []any) {}}, StoreReachable: func() bool { return true }}
		b.ApplyChange(object.Change{Batch: object.Batch{Objects: []object.Object{{Key: batch.RecordPrefix + "x", Version: 1, Value: raw}}}})
		_ = b.Demand("m")
	})
}

// FuzzMessages decodes arbitrary bytes as messages of other hosts and handles them. None may
// cause a panic.
func FuzzMessages(f *testing.F) {
	for _, message := range []any{
		batch.StartRequest{Batch: submission("one", "a1"), Record: batch.Record{Owner: "h"}},
		batch.ReadRequest{ID: "one", After: 3, Wait: time.Second},
		batch.CopyRequest{Batch: "one", Epoch: 1, Sequence: 1, First: true, Items: []batch.CopyItem{{ID: "a1", Partial: batch.Partial{Texts: []string{"x"}}}}},
		batch.PartialsReply{Partials: map[string]batch.Partial{"a1": {Texts: []string{"x"}, Versions: []uint64{5}}}},
	} {
		raw, err := cbor.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		b := batch.Batches{Host: "h", Log: event.Log{Sink: func(event.Entry, []any) {}}}
		var start batch.StartRequest
		if cbor.Unmarshal(raw, &start) == nil {
			b.ServeStart(start)
		}
		var read batch.ReadRequest
		if cbor.Unmarshal(raw, &read) == nil && read.Wait <= 0 {
			_ = b.ServeBody(batch.BodyRequest{ID: read.ID})
		}
		var copied batch.CopyRequest
		if cbor.Unmarshal(raw, &copied) == nil {
			_ = b.ServeCopy(copied)
		}
		var partials batch.PartialsRequest
		if cbor.Unmarshal(raw, &partials) == nil {
			_ = b.ServePartials(t.Context(), partials)
		}
	})
}
