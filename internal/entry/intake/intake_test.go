package intake_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/entry/intake"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
)

func TestIntake(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Intake Suite")
}

// script is a sequence of steps on a budget. Sizes are in KiB, times in milliseconds.
type script struct {
	Pattern string
	Shared  int64
	Steps   []step
}

// step is one step: the claim Claim is opened, grows by Grow, delivers Deliver, is complete, or
// is closed. Force is a growth that evicts others at once. Evicted, in order, are the claims
// that a tick or Force evicts. Granted says whether the growth is granted at once.
type step struct {
	At       int64
	Claim    string
	Key      string
	Open     int64 // what the claim will deliver, negative if unknown
	Grow     int64
	Granted  bool
	Force    int64
	Deliver  int64
	Complete bool
	Close    bool
	Tick     bool
	Evicted  []string
	Used     *int64 // expected after the step
}

// limits are those of scripts, with the given sizes in KiB.
func limits(shared int64) intake.Limits {
	return intake.Limits{Shared: shared << 10, MinRate: 8 << 10, Window: time.Second, Patience: 500 * time.Millisecond, MaxWait: 5 * time.Second}
}

// play plays a script and checks each step.
func (s script) play() {
	budget, names, claims := &intake.Budget{}, map[*intake.Claim]string{}, map[string]*intake.Claim{}
	budget.SetLimits(limits(s.Shared))
	start := time.Unix(1000, 0)
	for i, step := range s.Steps {
		now := start.Add(time.Duration(step.At) * time.Millisecond)
		note := fmt.Sprintf("step %d at %d ms", i+1, step.At)
		if step.Open != 0 {
			c := budget.Open(now, intake.Caller{Key: step.Key, Address: "a"}, step.Open<<10, func() {})
			claims[step.Claim], names[c] = c, step.Claim
		}
		var evicted []string
		collect := func(found []*intake.Claim) {
			for _, c := range found {
				evicted = append(evicted, names[c])
			}
		}
		if c := claims[step.Claim]; c != nil {
			if step.Grow > 0 {
				Expect(c.Grow(now, step.Grow<<10)).To(Equal(step.Granted), note)
			}
			c.Deliver(step.Deliver << 10)
			if step.Force > 0 {
				collect(c.Force(now, step.Force<<10))
			}
			if step.Complete {
				Expect(c.Complete()).To(BeTrue(), note)
			}
			if step.Close {
				c.Close(now)
			}
		}
		if step.Tick {
			collect(budget.Tick(now))
		}
		Expect(evicted).To(Equal(step.Evicted), note)
		if step.Used != nil {
			Expect(budget.Used()).To(Equal(*step.Used<<10), note)
		}
	}
}

var _ = Describe("a budget", func() {
	all, err := cases.Load[script]("testdata/*.hujson")
	if err != nil {
		panic(err)
	}
	for _, c := range all {
		It(c.Name+": "+c.Data.Pattern, c.Data.play)
	}

	// Guards against bytes that stay charged, and against more than the shared part and one
	// reserve, whatever callers do.
	It("keeps its bounds and ends empty over random sequences", func() {
		for seed := range uint64(50) {
			random := rand.New(rand.NewPCG(seed, 1))
			budget, now := &intake.Budget{}, time.Unix(1000, 0)
			budget.SetLimits(limits(1024))
			const largest = 512 << 10
			open, charged := []*intake.Claim{}, map[*intake.Claim]int64{}
			for range 2000 {
				now = now.Add(time.Duration(random.IntN(60)) * time.Millisecond)
				switch at := random.IntN(len(open) + 1); {
				case at == len(open) && len(open) < 40:
					open = append(open, budget.Open(now, intake.Caller{Key: fmt.Sprint(random.IntN(3))}, largest, func() {}))
				case at == len(open) || random.IntN(8) == 0:
					at = min(at, len(open)-1)
					open[at].Close(now)
					delete(charged, open[at])
					open = slices.Delete(open, at, at+1)
				case charged[open[at]] < largest:
					open[at].Deliver(64 << 10)
					open[at].Grow(now, 64<<10)
					charged[open[at]] += 64 << 10
				}
				for _, c := range budget.Tick(now) {
					c.Close(now)
					delete(charged, c)
					open = slices.DeleteFunc(open, func(other *intake.Claim) bool { return other == c })
				}
				Expect(budget.Used()).To(BeNumerically("<=", 1024<<10+largest+64<<10), "seed %d", seed)
			}
			for _, c := range open {
				c.Close(now)
				c.Close(now) // has no effect
			}
			Expect(budget.Used()).To(BeZero(), "seed %d", seed)
		}
	})
})

// chunked hides the length of a reader, and gives it in small pieces.
type chunked struct{ io.Reader }

func (c chunked) Read(into []byte) (int, error) { return c.Reader.Read(into[:min(len(into), 1000)]) }

var _ = Describe("reading a body", func() {
	read := func(body []byte, length, limit int64, shared int64) ([]byte, *intake.Budget, error) {
		budget := &intake.Budget{}
		budget.SetLimits(limits(shared))
		data, err := intake.ReadBody(context.Background(), chunked{bytes.NewReader(body)}, length, limit, func(need int64) *intake.Claim {
			return budget.Open(time.Now(), intake.Caller{}, need, func() {})
		})
		return slices.Concat(data...), budget, err
	}

	It("returns bodies of all sizes, with and without a length", func() {
		for _, size := range []int{0, 1, intake.FreeBytes - 1, intake.FreeBytes, intake.FreeBytes + 1, intake.FreeBytes + intake.SegmentBytes, 1 << 20} {
			body := bytes.Repeat([]byte("abc"), size/3+1)[:size]
			for _, length := range []int64{int64(size), -1} {
				data, budget, err := read(body, length, 1<<20, 4096)
				Expect(err).NotTo(HaveOccurred())
				Expect(bytes.Equal(data, body)).To(BeTrue(), "size %d", size)
				if size < intake.FreeBytes {
					Expect(budget.Used()).To(BeZero(), "small bodies are not charged")
				}
			}
		}
	})

	It("refuses a body above the limit, and a short one", func() {
		var tooLarge *intake.TooLargeError
		_, _, err := read(make([]byte, 1<<20), -1, 100_000, 4096)
		Expect(errors.As(err, &tooLarge)).To(BeTrue())
		_, _, err = read(nil, 100_001, 100_000, 4096)
		Expect(errors.As(err, &tooLarge)).To(BeTrue())
		_, _, err = read([]byte("x"), 2, 100, 4096)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		_, _, err = read(make([]byte, 50_000), 60_000, 100_000, 4096)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})

	// Guards against a chunked body that counts as of the largest size, so that more others are
	// refused for it than it needs.
	It("refuses as few others for a chunked body as it has bytes", func(ctx SpecContext) {
		budget, evicted := &intake.Budget{}, 0
		budget.SetLimits(limits(200))
		open := func(need int64) (c *intake.Claim) {
			c = budget.Open(time.Now(), intake.Caller{}, need<<10, func() {
				evicted++
				c.Close(time.Now())
			})
			return c
		}
		reserved, waiting := open(400), []*intake.Claim{open(150), open(150)}
		for _, c := range waiting {
			Expect(c.Grow(time.Now(), 100<<10)).To(BeTrue())
		}
		Expect(reserved.Grow(time.Now(), 100<<10)).To(BeTrue())
		for _, c := range waiting {
			Expect(c.Grow(time.Now(), 50<<10)).To(BeFalse())
		}
		data := bytes.Repeat([]byte("x"), 70<<10)
		got, err := intake.ReadBody(ctx, chunked{bytes.NewReader(data)}, -1, 120<<10, func(need int64) *intake.Claim {
			return budget.Open(time.Now(), intake.Caller{}, need, func() {})
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(slices.Concat(got...)).To(Equal(data))
		Expect(evicted).To(Equal(1))
	}, SpecTimeout(10*time.Second))

	// Guards against a segment of a body that broke off and is used again in two others, or in
	// one that is still being sent.
	It("keeps bodies apart while others break off", func(ctx SpecContext) {
		budget := &intake.Budget{}
		budget.SetLimits(limits(4096))
		read := func(body []byte, length int) (net.Buffers, error) {
			var claim *intake.Claim
			defer func() { claim.Close(time.Now()) }()
			return intake.ReadBody(ctx, chunked{bytes.NewReader(body)}, int64(length), 1<<20, func(need int64) *intake.Claim {
				claim = budget.Open(time.Now(), intake.Caller{}, need, func() {})
				return claim
			})
		}
		var readers sync.WaitGroup
		for reader := range byte(8) {
			readers.Go(func() {
				defer GinkgoRecover()
				body := bytes.Repeat([]byte{reader}, 200<<10)
				for range 30 {
					whole, err := read(body, len(body))
					Expect(err).NotTo(HaveOccurred())
					_, err = read(body, len(body)+1)
					Expect(err).To(MatchError(io.ErrUnexpectedEOF))
					Expect(bytes.Equal(slices.Concat(whole...), body)).To(BeTrue())
				}
			})
		}
		readers.Wait()
	}, SpecTimeout(20*time.Second))

	It("lets the largest body use the reserve", func() {
		data, _, err := read(make([]byte, 1<<20), -1, 1<<20, 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(data).To(HaveLen(1 << 20))
	})
})

var _ = Describe("connections", func() {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var connections *intake.Connections
	receive := func(c *intake.Connection, now time.Time, n int) bool {
		within, _ := c.Receive(now, make([]byte, n))
		return within
	}
	BeforeEach(func() {
		connections = &intake.Connections{}
		connections.SetLimits(intake.ConnectionLimits{Max: 3, HeadBytes: 16 << 10, HeadTimeout: time.Second, IdleTimeout: 5 * time.Second})
	})

	It("are closed when idle the longest, never one with a request under way", func() {
		busy, _ := connections.Add(at(0), nil)
		busy.Begin()
		busy.Arrive()
		idle, _ := connections.Add(at(10), nil)
		_, _ = connections.Add(at(20), nil)
		_, closed := connections.Add(at(30), nil)
		Expect(closed).To(BeIdenticalTo(idle))
		Expect(connections.Count()).To(Equal(3))
	})

	It("are refused when all have requests under way", func() {
		for range 3 {
			c, _ := connections.Add(at(0), nil)
			c.Begin()
			c.Arrive()
		}
		added, closed := connections.Add(at(1), nil)
		Expect(closed).To(BeIdenticalTo(added))
	})

	// Guards against callers who take all connections with bodies that never end.
	It("are closed while a body doesn't go on", func() {
		stalled, _ := connections.Add(at(0), nil)
		stalled.Begin()
		receive(stalled, at(10), 100)
		sending, _ := connections.Add(at(0), nil)
		sending.Begin()
		receive(sending, at(20), 100)
		_, _ = connections.Add(at(15), nil)
		_, closed := connections.Add(at(30), nil)
		Expect(closed).To(BeIdenticalTo(stalled))
	})

	It("expire by their head and idle times", func() {
		c, _ := connections.Add(at(0), nil)
		Expect(connections.Expired(at(900))).To(BeEmpty())
		Expect(connections.Expired(at(1100))).To(HaveKeyWithValue(c, intake.ReasonHeadTime))
		c.Begin()
		Expect(connections.Expired(at(60_000))).To(BeEmpty())
		c.End(at(60_000))
		Expect(connections.Expired(at(64_000))).To(BeEmpty())
		Expect(connections.Expired(at(65_100))).To(HaveKeyWithValue(c, intake.ReasonIdle))
		receive(c, at(64_000), 10)
		Expect(connections.Expired(at(65_100))).To(HaveKeyWithValue(c, intake.ReasonHeadTime))
	})

	It("end when a head is too large, but not by a body", func() {
		c, _ := connections.Add(at(0), nil)
		Expect(receive(c, at(1), 16<<10)).To(BeTrue())
		Expect(receive(c, at(1), 8<<10)).To(BeFalse())
		c.Begin()
		Expect(receive(c, at(1), 1<<20)).To(BeTrue())
	})

	// Guards against heads and small bodies that take the memory of the host together, each of
	// them within its limit.
	It("are closed when their heads take too much memory, the largest first", func() {
		connections.SetLimits(intake.ConnectionLimits{HeadBytes: 16 << 10, Unbudgeted: 100_000})
		idle, _ := connections.Add(at(0), nil)
		small, _ := connections.Add(at(1), nil)
		receive(small, at(1), 500)
		complete, _ := connections.Add(at(2), nil)
		receive(complete, at(2), 10_000)
		complete.Begin()
		complete.Arrive()
		large, _ := connections.Add(at(3), nil)
		receive(large, at(3), 9_000)
		fields, _ := connections.Add(at(4), nil)
		_, evicted := fields.Receive(at(4), bytes.Repeat([]byte("a:\r\n"), 500))
		Expect(evicted).To(Equal([]*intake.Connection{fields}), "lines count more than their bytes")
		another, _ := connections.Add(at(5), nil)
		_, evicted = another.Receive(at(5), make([]byte, 15_000))
		Expect(evicted).To(Equal([]*intake.Connection{another}))
		Expect(large.Hold(0)).To(BeEmpty())
		Expect(small.Hold(80_000)).To(Equal([]*intake.Connection{small}), "a body counts as well")
		Expect(idle.Hold(10)).To(BeEmpty())
		Expect(connections.Count()).To(Equal(3))
	})

	It("are told to refuse a complete request only if it has more than its share", func() {
		connections.SetLimits(intake.ConnectionLimits{HeadBytes: 16 << 10, Unbudgeted: 100_000})
		large, _ := connections.Add(at(0), nil)
		receive(large, at(0), 16_000)
		large.Begin()
		large.Arrive()
		Expect(large.TakesTooMuch()).To(BeFalse(), "memory suffices")
		another, _ := connections.Add(at(0), nil)
		receive(another, at(0), 10_000)
		another.Begin()
		another.Arrive()
		another.Hold(40_000)
		ordinary, _ := connections.Add(at(0), nil)
		receive(ordinary, at(0), 300)
		ordinary.Begin()
		ordinary.Arrive()
		Expect(ordinary.TakesTooMuch()).To(BeFalse())
		Expect(another.TakesTooMuch()).To(BeTrue())
		another.End(at(1))
		Expect(large.TakesTooMuch()).To(BeFalse(), "memory is free again")
	})

	It("count as pipelining only when a head was sent before the response", func() {
		c, _ := connections.Add(at(0), nil)
		receive(c, at(0), 200)
		Expect(c.Begin()).To(BeFalse())
		c.End(at(1))
		receive(c, at(2), 200)
		Expect(c.Begin()).To(BeFalse())
		c.End(at(3))
		Expect(c.Begin()).To(BeTrue())
	})
})

var _ = Describe("turns", func() {
	It("go to the caller with the fewest requests under way, and are refused after a wait", func(ctx SpecContext) {
		turns := &intake.Turns{}
		turns.SetMax(2)
		greedy, modest := intake.Caller{Key: "g", Address: "1"}, intake.Caller{Key: "m", Address: "2"}
		Expect(turns.Enter(ctx, greedy)).To(Succeed())
		Expect(turns.Enter(ctx, greedy)).To(Succeed())
		order := make(chan string, 2)
		enter := func(name string, caller intake.Caller) {
			go func() {
				if turns.Enter(ctx, caller) == nil {
					order <- name
				}
			}()
			time.Sleep(20 * time.Millisecond) // until it waits
		}
		enter("greedy", greedy)
		enter("modest", modest)
		turns.Leave(greedy)
		Eventually(order).Should(Receive(Equal("modest")))
		var refused *intake.RefusedError
		Expect(errors.As(turns.Enter(ctx, modest), &refused)).To(BeTrue())
		Expect(strings.Contains(refused.Error(), intake.ReasonRequests)).To(BeTrue())
	})
})
