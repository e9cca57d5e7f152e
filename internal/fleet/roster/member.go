// Package roster maintains the membership of an availability zone and
// distributes short summaries of hosts and zones to every host. Membership
// follows the SWIM protocol: probes, indirect probes, suspicion, and updates
// that are piggybacked on other packets. Only package scale and tests run it.
//
// Rules:
//
//  1. The packet that a host sends at step 0 of each cycle (rule 7) is also a
//     probe. Each host is thus probed once a second, and by a different host
//     every few seconds. If no acknowledgment arrives, the prober asks a few
//     other hosts to probe the target. If they get none either, it suspects
//     the target.
//  2. A suspect that does not refute the suspicion within the suspicion timeout
//     has failed. A host whose own probes fail allows more time, because the
//     fault may be its own.
//  3. Of two updates about a host the one with the higher incarnation wins; of
//     two with the same incarnation, the one with the worse status. Only the
//     host itself raises its incarnation, to refute an untrue update about it.
//  4. Updates are piggybacked on every packet within the zone, a bounded number
//     of times each. Hosts whose membership tables differ send each other the
//     whole table.
//  5. A host that returns after it failed or left counts as a member only after a
//     hold time, which doubles with each return.
//  6. The platform's host list only supplies addresses to probe; it makes no
//     host a member.
//  7. Summaries are sent once a second along binomial trees: at step k of the
//     cycle a host sends what it received before step k to the host 2^k places
//     further in the ring. The order of the ring changes every few seconds, so
//     that a broken link does not keep a host from the same summaries for long.
//  8. Members are ranked by age; the oldest one has rank 0. The bridge of a zone is
//     the member of rank 2, or the last one if there are fewer members. It
//     exchanges zone summaries with the bridges of the other zones in the same
//     way, every three seconds. Ranks 0 and 1 are spared because they already
//     watch the platform and serve its data to the zone. Within its zone the
//     bridge hands each zone summary to one other host, which is the root of its
//     tree there, so that the bridge does not send the trees of all zones itself.
//  9. A zone summary contains the names of its zone and bridge only now and then.
package roster

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
)

// Status is the status of a host in the membership table.
type Status uint8

// The statuses, from the best to the worst (rule 3).
const (
	Alive Status = iota
	Suspect
	Failed
	Left
)

func (s Status) String() string {
	names := [...]string{"alive", "suspect", "failed", "left"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Member is the entry of a host in the membership table of its zone. It is also
// the form in which hosts send updates about it.
type Member struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Address     string
	Incarnation uint32
	Status      Status
}

// ShortID returns the hash that stands for the name of a host or zone in
// summaries.
func ShortID(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Hint is a host that the platform's host list or the settings name. It is
// probed, but it is no member until it answers (rule 6).
type Hint struct {
	Host    identity.Host
	Address string
}
