package node

import (
	"context"
	"errors"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// relistGrace is how long servers that are missing from a new list are kept. Entries that
// expired during an outage of the store are back within two seconds of its end.
const relistGrace = 2500 * time.Millisecond

// applyServersChange applies a change of the platform's list of backend servers.
func (n *Node) applyServersChange(change object.Change) {
	defer n.recordGoneServers()
	if change.Complete {
		n.replaceServerList(change)
		return
	}
	for _, o := range change.Objects {
		n.applyServerEntry(o)
	}
}

// applyServerEntry puts one server into the pool, or removes it if its entry is deleted or
// invalid.
func (n *Node) applyServerEntry(o object.Object) {
	name := o.Key[len(n.Platform.Keys.Servers):]
	if o.Deleted {
		n.Pool.Remove(name)
		n.Log.Emit(event.ServerRemoved, "server", name, "revision", o.Version)
		return
	}
	server, err := n.Platform.DecodeServer(name, o.Value)
	if err != nil {
		n.Pool.Remove(name)
		n.Log.Emit(event.PlatformEntryIgnored, "server", name, "revision", o.Version, "err", err.Error())
		return
	}
	n.Pool.Put(server)
	n.Log.Emit(event.ServerListed, "server", name, "service", server.Service, "draining", server.Draining,
		"boot", server.Boot, "versions", server.Versions, "revision", o.Version)
}

// MarkServerLeaving records that a backend server said in a response that it is leaving. It
// gets no more requests until it has restarted.
func (n *Node) MarkServerLeaving(server pool.Server) {
	if n.Pool.MarkLeaving(server) {
		n.Meter.Count("servers_leaving_total", "service", server.Service)
		n.Log.Emit(event.ServerLeaving, "server", server.Name, "service", server.Service, "boot", server.Boot)
	}
}

// replaceServerList applies a complete list. Servers that are missing from it are removed
// after relistGrace, unless the store has an entry of them again.
func (n *Node) replaceServerList(change object.Change) {
	listed := make(map[string]bool, len(change.Objects))
	for _, o := range change.Objects {
		listed[o.Key[len(n.Platform.Keys.Servers):]] = true
		n.applyServerEntry(o)
	}
	if !n.Pool.HasList() { // the first list: Replace marks the pool as having one
		n.Pool.Replace(n.Pool.Servers())
		return
	}
	for _, server := range n.Pool.Servers() {
		if !listed[server.Name] {
			n.removeAfterGrace(server)
		}
	}
}

// removeAfterGrace removes a server unless the store has an entry of it after relistGrace. If
// the store can't be read then, the server is kept for another relistGrace.
func (n *Node) removeAfterGrace(server pool.Server) {
	time.AfterFunc(relistGrace, func() {
		ctx, cancel := context.WithTimeout(context.Background(), relistGrace)
		defer cancel()
		_, err := n.store.Get(ctx, n.Platform.Keys.Servers+server.Name)
		_, absent := errors.AsType[*object.NotFoundError](err)
		switch {
		case absent:
			n.Pool.Remove(server.Name)
			n.recordGoneServers()
			n.Log.Emit(event.ServerRemoved, "server", server.Name, "err", err.Error())
		case err != nil: // the store can't be read
			n.removeAfterGrace(server)
		}
	})
}
