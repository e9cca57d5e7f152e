package trainer_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/standin/caller"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
	"github.com/hyssopwall/hyssopwall/internal/standin/trainer"
)

func TestTrainer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "trainer stand-in")
}

// deliveryCase holds the chunks that a service delivers for one group of two
// samples, and the counts that the trainer must report. A sample without a digest
// gets the correct one. The first Lost pulls get no response, and the next Astray
// pulls get a chunk for another cursor. If Status is set, pulls are refused with it.
type deliveryCase struct {
	Name   string
	Chunks []trainer.Chunk
	Lost   int
	Astray int
	Status int
	Want   map[string]int
}

// service returns a handler that delivers the chunk of a case after the cursor.
func service(test deliveryCase) http.Handler {
	var calls atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/steps" {
			_ = json.NewEncoder(w).Encode(trainer.OpenStepResponse{ID: "s-1"})
			return
		}
		if int(calls.Add(1)) <= test.Lost {
			panic(http.ErrAbortHandler)
		}
		if test.Status != 0 {
			w.WriteHeader(test.Status)
			_, _ = w.Write([]byte(`{"error":{"code":"canceled","ran":"no"}}`))
			return
		}
		var pull trainer.PullRequest
		if json.NewDecoder(r.Body).Decode(&pull) != nil || r.Header.Get("Authorization") != "Bearer key" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		for _, chunk := range test.Chunks {
			if chunk.Cursor > pull.Cursor {
				chunk.Previous = pull.Cursor
				if int(calls.Load()) <= test.Lost+test.Astray {
					chunk.Previous++
				}
				_ = json.NewEncoder(w).Encode(chunk)
				return
			}
		}
		_ = json.NewEncoder(w).Encode(trainer.Chunk{Previous: pull.Cursor, Cursor: pull.Cursor, Done: true})
	})
}

// nonzeroCounts returns the counts of a report that are not zero, by name.
func nonzeroCounts(report trainer.Report) map[string]int {
	counts := map[string]int{
		"whole":   report.Whole,
		"failed":  report.Failed,
		"late":    report.Late,
		"doubled": report.Doubled,
		"missing": report.Missing,
		"foreign": report.Foreign,
		"damaged": report.Damaged,
		"bare":    report.Unversioned,
		"stale":   report.Stale,
		"wrong":   report.Wrong,
		"lost":    report.Errors[caller.CodeLost],
		"skipped": report.Skipped,
	}
	for name, count := range counts {
		if count == 0 {
			delete(counts, name)
		}
	}
	return counts
}

var _ = Describe("Trainer", func() {
	It("detects each violation of the delivery guarantees", func(ctx SpecContext) {
		files, err := cases.Load[[]deliveryCase]("testdata/deliveries.hujson")
		Expect(err).NotTo(HaveOccurred())
		for _, test := range files[0].Data {
			By(test.Name)
			fillDigests(test.Chunks)
			Expect(nonzeroCounts(deliver(ctx, test))).To(Equal(test.Want))
		}
	}, SpecTimeout(20*time.Second))
})

// fillDigests sets the correct digest of each sample that has none.
func fillDigests(chunks []trainer.Chunk) {
	for _, chunk := range chunks {
		for i := range chunk.Samples {
			sum := sha256.Sum256([]byte(chunk.Samples[i].Text))
			if chunk.Samples[i].Digest == "" {
				chunk.Samples[i].Digest = hex.EncodeToString(sum[:])
			}
		}
	}
}

// deliver runs one step of a trainer against the service of a case.
func deliver(ctx context.Context, test deliveryCase) trainer.Report {
	server := httptest.NewServer(service(test))
	defer server.Close()
	t := trainer.New(trainer.Settings{
		Client: &caller.Client{Hosts: []string{server.URL}, Key: "key"},
		Bound:  1,
		Groups: []trainer.Group{{Prompt: "p", Samples: 2}},
		Newest: func() uint64 { return 5 },
		Check: func(_ trainer.Group, sample trainer.Sample) error {
			if sample.Text == "of another request" {
				return errors.New("crossed")
			}
			return nil
		},
	})
	t.Run(ctx, 1, 1)
	return t.Report()
}
