// Package roster decides which hosts are members of an availability zone, and
// brings short summaries of hosts and zones to every host.
//
// Rules:
//
//  1. The packet of step 0 of each cycle (rule 7) is a probe, so that each host
//     is probed once a second, by another one every few seconds. Without an
//     answer the prober asks a few others to probe; without one from them
//     either, it suspects the host.
//  2. A suspect that does not object within the suspicion time has failed. A
//     host that can't reach others itself allows more time.
//  3. Of two statements on a host the one of the higher incarnation holds, and
//     of equal incarnations the worse one. Only the host itself raises its
//     incarnation, when it hears something untrue of itself.
//  4. Statements ride on every packet within the zone, a bounded number of
//     times each. Hosts whose tables differ send each other the whole table.
//  5. A host that returns after a failure counts as a member only after a hold
//     that doubles with each return.
//  6. The platform's host list only names hosts to probe.
//  7. Summaries travel once a second along binomial trees: at step k of the
//     cycle a host sends what it received before step k to the host 2^k places
//     on. The order of the places changes every few seconds, so that no broken
//     link keeps a host from the same summaries for long.
//  8. The bridge, the member of rank 2 or else the last, exchanges zone summaries with the
//     bridges of the other zones in the same way, every three seconds. (Ranks 0 and 1 watch the platform and serve what they
//     read to the zone, which is load enough.) Within
//     its zone it gives each of them to one other host, which starts the tree
//     there, so that the bridge does not carry the trees of all zones.
//  9. A zone summary names its zone and bridge in full now and then only.
package roster

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
)

// Status is what a host is held to be.
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

// Member is a host of the zone.
type Member struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Address     string
	Incarnation uint32
	Status      Status
}

// ShortID is the short form of a host's name in summaries.
func ShortID(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Hint is a host that the platform or the settings name.
type Hint struct {
	Host    identity.Host
	Address string
}
