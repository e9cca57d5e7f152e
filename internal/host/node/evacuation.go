package node

import (
	"context"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

const (
	// evacuationsWatchWait is how long a watch of evacuations waits. No request may get to an
	// evacuated zone 5 s after the entry was written.
	evacuationsWatchWait = 1500 * time.Millisecond
	// evacuationsTimeout is how long a starting host sends nothing while it can't read the
	// evacuations. They bind hosts that can reach the store; a host that can't has to serve.
	evacuationsTimeout = 5 * time.Second
)

// applyEvacuationsChange applies a change of the evacuated zones. An entry whose key names no
// zone is ignored; the value of an entry says nothing.
func (n *Node) applyEvacuationsChange(change object.Change) {
	if change.Complete {
		n.evacuated = map[string]bool{}
	}
	for _, o := range change.Objects {
		zone := o.Key[len(n.Platform.Keys.Evacuations):]
		switch {
		case zone == "":
			n.Log.Emit(event.PlatformEntryIgnored, "entry", entryName(o), "revision", o.Version, "err", "names no zone")
		case o.Deleted:
			delete(n.evacuated, zone)
		default:
			n.evacuated[zone] = true
		}
	}
	zones := make([]string, 0, len(n.evacuated))
	for zone := range n.evacuated {
		zones = append(zones, zone)
	}
	n.setEvacuated(zones)
}

// setEvacuated sets the evacuated zones in the pool and logs the changes.
func (n *Node) setEvacuated(zones []string) {
	began, ended := n.Pool.SetEvacuated(zones)
	for _, zone := range began {
		n.Log.Emit(event.ZoneEvacuated, "zone", zone)
	}
	for _, zone := range ended {
		n.Log.Emit(event.ZoneReopened, "zone", zone)
	}
}

// endEvacuationsWait lets the host send after evacuationsTimeout although it could not read the
// evacuations.
func (n *Node) endEvacuationsWait(ctx context.Context) {
	sleep(ctx, evacuationsTimeout)
	if ctx.Err() == nil && n.Pool.EndEvacuationsWait() {
		n.Log.Emit(event.EvacuationsUnread, "ms", evacuationsTimeout.Milliseconds())
	}
}
