package queue_test

import (
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hyssopwall/hyssopwall/internal/entry/queue"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
)

func TestQueue(t *testing.T) {
	RegisterFailHandler(Fail)
	Expect(flag.Set("rapid.seed", "1")).To(Succeed())
	Expect(flag.Set("rapid.nofailfile", "true")).To(Succeed())
	RunSpecs(t, "Queue Suite")
}

// step is one call of a queue with its expected results. The ID of an item is
// its workspace and the number of the item in it.
type step struct {
	At       int    // time in milliseconds
	Push     string // workspace of the items to push
	Count    int    // number of items, 1 if zero
	Tokens   int
	Priority int
	Deadline int    // time in milliseconds, zero for none
	Refused  string // expected reason of the refusal
	After    int    // least RetryAfter of the refusal in milliseconds

	Pop      int    // number of calls of Pop
	Block    string // workspace whose items are not accepted
	Want     string // expected IDs of the items popped, in order
	Settle   string // ID of an item popped before
	Complete bool
	Elapsed  int // milliseconds
	Used     int
	Sweep    bool
	Close    bool
	Shed     string // expected IDs of the items shed, in order
	Note     string // why the result is expected
}

// script is a test case.
type script struct {
	Config queue.Config
	Steps  []step
}

// player runs the steps of a script.
type player struct {
	q      *queue.Queue
	counts map[string]int // items pushed by workspace
	popped map[string]queue.Item
	shed   string // IDs of the items that the current step shed
}

func (p *player) play(s step) {
	now := time.UnixMilli(int64(s.At))
	p.shed = ""
	switch {
	case s.Push != "":
		p.push(now, s)
	case s.Pop > 0:
		Expect(p.pop(now, s)).To(Equal(s.Want), s.Note)
	case s.Settle != "":
		p.q.Settle(now, p.popped[s.Settle], queue.Result{Used: s.Used, Elapsed: time.Duration(s.Elapsed) * time.Millisecond, Complete: s.Complete})
	case s.Sweep:
		p.recordShed(p.q.Sweep(now))
	case s.Close:
		p.recordShed(p.q.Close())
	}
	Expect(p.shed).To(Equal(s.Shed), s.Note)
}

func (p *player) push(now time.Time, s step) {
	for range max(1, s.Count) {
		p.counts[s.Push]++
		item := queue.Item{
			ID: fmt.Sprintf("%s%d", s.Push, p.counts[s.Push]), Workspace: s.Push, Priority: s.Priority, Tokens: s.Tokens,
		}
		if s.Deadline > 0 {
			item.Deadline = time.UnixMilli(int64(s.Deadline))
		}
		shed, err := p.q.Push(now, item)
		p.recordShed(shed)
		var refused *queue.RefusedError
		if s.Refused == "" {
			Expect(err).NotTo(HaveOccurred(), s.Note)
			continue
		}
		Expect(errors.As(err, &refused)).To(BeTrue(), s.Note)
		Expect(refused.Reason).To(Equal(s.Refused), s.Note)
		Expect(refused.RetryAfter).To(BeNumerically(">=", max(1, s.After)*int(time.Millisecond)), s.Note)
	}
}

// pop returns the IDs that the calls of Pop returned.
func (p *player) pop(now time.Time, s step) string {
	got := ""
	for range s.Pop {
		item, ok, shed := p.q.Pop(now, func(item queue.Item) bool { return item.Workspace != s.Block })
		p.recordShed(shed)
		if ok {
			got += item.ID + " "
			p.popped[item.ID] = item
		}
	}
	return got
}

func (p *player) recordShed(shed []queue.Shed) {
	for _, s := range shed {
		Expect(s.Refusal.RetryAfter).To(BeNumerically(">", 0))
		p.shed += s.ID + " "
	}
}

var _ = Describe("the queue", func() {
	all, err := cases.Load[script]("testdata/*.hujson")
	It("has cases", func() { Expect(err).NotTo(HaveOccurred()) })
	for _, c := range all {
		It(c.Name, func() {
			p := player{q: queue.New(c.Data.Config), counts: map[string]int{}, popped: map[string]queue.Item{}}
			for _, s := range c.Data.Steps {
				p.play(s)
			}
		})
	}

	It("gives backlogged workspaces tokens in proportion to their weights", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			got, weights, largest := serveBacklog(t)
			for a := range got {
				for b := range got {
					// Deficit round robin is fair within a quantum and an item of each.
					diff := float64(got[a])/float64(weights[a]) - float64(got[b])/float64(weights[b])
					if diff > float64(2*queue.DefaultQuantum+2*largest) {
						t.Fatalf("%s got %d, %s got %d, weights %v", a, got[a], b, got[b], weights)
					}
				}
			}
		})
	})

	It("ignores answers of items without declared tokens in its estimates", func() {
		q := queue.New(queue.Config{InitialSpeed: 100})
		now := time.Unix(1000, 0)
		for range 100 {
			q.Settle(now, queue.Item{Workspace: "a"}, queue.Result{Used: 200, Elapsed: 10 * time.Second, Complete: true})
		}
		for _, workspace := range []string{"b", "c"} {
			_, err := q.Push(now, queue.Item{ID: workspace, Workspace: workspace, Tokens: 100, Deadline: now.Add(5 * time.Second)})
			Expect(err).NotTo(HaveOccurred())
		}
	})

	It("ends every item exactly once", func() {
		rapid.Check(GinkgoT(), checkEnds)
	})
})

// serveBacklog pops requests of three workspaces that always have some waiting
// and whose declared tokens are too low by a factor of their own. Pops that
// accept nothing come in between. It returns the tokens used by each workspace,
// the weights, and the most tokens that one request used.
func serveBacklog(t *rapid.T) (got, weights map[string]int, largest int) {
	names := []string{"a", "b", "c"}
	weights, got = map[string]int{}, map[string]int{}
	factor, size := map[string]int{}, map[string]int{}
	for _, name := range names {
		weights[name] = rapid.IntRange(1, 4).Draw(t, "weight")
		factor[name] = rapid.IntRange(1, 3).Draw(t, "factor")
		size[name] = rapid.IntRange(1, 800).Draw(t, "size")
		largest = max(largest, size[name]*factor[name])
	}
	q := queue.New(queue.Config{Weights: weights, Capacity: 1 << 20})
	now := time.Unix(0, 0)
	for i := range 600 {
		for _, name := range names {
			_, err := q.Push(now, queue.Item{ID: fmt.Sprint(i), Workspace: name, Tokens: size[name]})
			if err != nil {
				t.Fatal(err)
			}
		}
	}
	for range 500 {
		_, ok, _ := q.Pop(now, func(queue.Item) bool { return false })
		if ok {
			t.Fatal("Pop returned an item that was not accepted")
		}
		item, ok, _ := q.Pop(now, nil)
		if !ok {
			t.Fatal("the queue is empty before the end of the test")
		}
		used := item.Tokens * factor[item.Workspace]
		q.Settle(now, item, queue.Result{Used: used, Complete: true})
		got[item.Workspace] += used
	}
	return got, weights, largest
}

// checkEnds checks that every item pushed is refused, shed, popped or removed
// exactly once.
func checkEnds(t *rapid.T) {
	q := queue.New(queue.Config{Capacity: 20, InitialSpeed: 100, InitialRate: 500})
	ends := map[string]int{}
	end := func(shed []queue.Shed) {
		for _, s := range shed {
			ends[s.ID]++
		}
	}
	now := time.Unix(0, 0)
	pushed := rapid.IntRange(1, 120).Draw(t, "pushes")
	for i := range pushed {
		now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond)
		item := queue.Item{
			ID: fmt.Sprint(i), Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
			Tokens: rapid.IntRange(0, 900).Draw(t, "tokens"), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
			Deadline: now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "deadline")) * time.Millisecond),
		}
		shed, err := q.Push(now, item)
		end(shed)
		if err != nil {
			ends[item.ID]++
		}
		switch rapid.IntRange(0, 4).Draw(t, "then") {
		case 0:
			end(q.Sweep(now))
		case 1, 2:
			got, ok, shed := q.Pop(now, func(i queue.Item) bool { return i.Workspace != "b" })
			end(shed)
			if ok {
				ends[got.ID]++
				q.Settle(now, got, queue.Result{Used: got.Tokens / 2, Elapsed: time.Second, Complete: true})
			}
		case 3:
			if q.Remove(item.Workspace, item.ID) {
				ends[item.ID]++
			}
		}
	}
	end(q.Close())
	for i := range pushed {
		if ends[fmt.Sprint(i)] != 1 {
			t.Fatalf("item %d ended %d times", i, ends[fmt.Sprint(i)])
		}
	}
	if q.Load().Backlog != 0 {
		t.Fatal("an empty queue has a backlog")
	}
}
