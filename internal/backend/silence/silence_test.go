package silence_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/backend/silence"
	"github.com/hyssopwall/hyssopwall/internal/standin/cases"
)

func TestSilence(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Silence Suite")
}

// span is a time from its first to before its second value, in milliseconds.
type span [2]int

func (s span) contains(ms int) bool { return s[0] <= ms && ms < s[1] }

// script is a run of one host whose streams deliver events. Times are in milliseconds.
type script struct {
	Guards  string         // the failure that the case guards against
	Listed  map[string]int // servers by zone
	Streams []struct {
		Zone   string
		Count  int  // servers with one stream each
		Gap    span // shortest and longest time between two events
		Pause  span // for all of them
		Queued bool // no event is ever delivered
	}
	Answers []struct {
		At   int
		Zone string
	}
	Frozen    []span // the host does not run
	Late      int    // further time between any two checks
	Until     int
	Declared  map[string]span // when each zone has to be declared silent; no other zone may be
	EndsAfter map[string]int  // when the silence of a zone has ended, at the latest
}

// source is a stream of a script.
type source struct {
	stream *silence.Stream
	zone   string
	gap    span
	pause  span
	queued bool
	next   int
}

var _ = Describe("a silent zone", func() {
	all, err := cases.Load[script]("testdata/*.hujson")
	if err != nil {
		panic(err)
	}
	for _, c := range all {
		It(c.Name+": "+c.Data.Guards, func() {
			for seed := range uint64(20) {
				declared, ended := run(c.Data, rand.New(rand.NewPCG(seed, 1)))
				for zone, at := range declared {
					Expect(c.Data.Declared).To(HaveKey(zone), "seed %d at %d", seed, at)
				}
				for zone, want := range c.Data.Declared {
					Expect(declared).To(HaveKey(zone), "seed %d", seed)
					Expect(want.contains(declared[zone])).To(BeTrue(), "seed %d: zone %s at %d", seed, zone, declared[zone])
				}
				for zone, latest := range c.Data.EndsAfter {
					Expect(ended[zone]).To(And(BeNumerically(">", 0), BeNumerically("<=", latest)), "seed %d", seed)
				}
			}
		})
	}

	// Guards against a stream that waits for its own timeout because it began between the
	// choice of its server and the declaration.
	It("interrupts the streams there once, also those that begin later", func() {
		start := time.Unix(1_800_000_000, 0)
		at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
		var w silence.Watch
		interrupts := 0
		var streams []*silence.Stream
		for _, server := range []string{"a1", "a2", "a3"} {
			streams = append(streams, w.Begin("a", server, func() { interrupts++ }))
		}
		for ms := 0; ms <= 600; ms += 50 {
			w.Arrived(at(ms), "b")
			if ms == 0 {
				for _, s := range streams {
					s.Event(at(0))
				}
			}
			w.Check(at(ms), map[string]int{"a": 3, "b": 3})
		}
		Expect(interrupts).To(Equal(3))
		Expect(streams[0].Err()).To(Equal(&silence.ZoneError{Zone: "a"}))
		w.Begin("a", "a4", func() { interrupts++ })
		Expect(interrupts).To(Equal(4))
		w.Check(at(650), map[string]int{"b": 3})
		Expect(w.SilentZones()).To(BeEmpty(), "a zone without servers can't be probed")
	})
})

// run plays a script and returns when each zone was first declared silent and when its
// silence ended.
func run(s script, random *rand.Rand) (declared, ended map[string]int) {
	start, now := time.Unix(1_800_000_000, 0), 0
	at := func() time.Time { return start.Add(time.Duration(now) * time.Millisecond) }
	declared, ended = map[string]int{}, map[string]int{}
	w := silence.Watch{OnChange: func(zone string, silent bool) {
		if _, known := declared[zone]; silent && !known {
			declared[zone] = now
		} else if !silent {
			ended[zone] = now
		}
	}}
	var sources []*source
	for _, streams := range s.Streams {
		for i := range streams.Count {
			src := &source{zone: streams.Zone, gap: streams.Gap, pause: streams.Pause, queued: streams.Queued}
			src.stream = w.Begin(src.zone, src.zone+string(rune('a'+i)), func() {})
			src.next = random.IntN(max(1, src.gap[1]))
			sources = append(sources, src)
		}
	}
	nextCheck := 0
	for now = 0; now < s.Until; now += 5 {
		frozen := false
		for _, f := range s.Frozen {
			frozen = frozen || f.contains(now)
		}
		if frozen {
			continue
		}
		// The check is first: after a stall the host has read nothing yet.
		if now >= nextCheck {
			w.Check(at(), s.Listed)
			nextCheck = now + int(silence.CheckInterval.Milliseconds()) + s.Late
		}
		for _, src := range sources {
			if src.queued || src.pause.contains(now) || now < src.next {
				continue
			}
			src.stream.Event(at())
			src.next = now + src.gap[0] + random.IntN(src.gap[1]-src.gap[0]+1)
		}
		for _, answer := range s.Answers {
			if answer.At == now {
				w.Arrived(at(), answer.Zone)
			}
		}
	}
	return declared, ended
}
