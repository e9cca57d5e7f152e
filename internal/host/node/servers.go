package node

import (
	"context"
	"errors"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// relistGrace is how long servers that a new list lacks are kept after the
// store was away: entries that lapsed meanwhile are back within two seconds of
// its return.
const relistGrace = 2500 * time.Millisecond

// learnServers takes in a change of the platform's list of backend servers.
func (n *Node) learnServers(change object.Change) {
	if change.Complete {
		n.relist(change)
		return
	}
	for _, o := range change.Objects {
		n.learnServer(o)
	}
}

func (n *Node) learnServer(o object.Object) {
	name := o.Key[len(n.Platform.Keys.Servers):]
	if o.Deleted {
		n.Pool.Remove(name)
		n.Log.Emit(event.ServerGone, "server", name, "revision", o.Version)
		return
	}
	server, err := n.Platform.DecodeServer(name, o.Value)
	if err != nil {
		n.Pool.Remove(name)
		n.Log.Emit(event.ServerIgnored, "server", name, "revision", o.Version, "err", err.Error())
		return
	}
	n.Pool.Put(server)
	n.Log.Emit(event.ServerListed, "server", name, "service", server.Service, "draining", server.Draining,
		"boot", server.Boot, "versions", server.Versions, "revision", o.Version)
}

// MarkServerLeaving takes in that a backend server said in an answer that it leaves.
func (n *Node) MarkServerLeaving(server pool.Server) {
	if n.Pool.MarkLeaving(server) {
		n.Meter.Count("servers_leaving_total", "service", server.Service)
		n.Log.Emit(event.ServerLeaves, "server", server.Name, "service", server.Service, "boot", server.Boot)
	}
}

// relist replaces the list. Servers that it lacks stay for relistGrace.
func (n *Node) relist(change object.Change) {
	listed := make(map[string]bool, len(change.Objects))
	for _, o := range change.Objects {
		listed[o.Key[len(n.Platform.Keys.Servers):]] = true
		n.learnServer(o)
	}
	if !n.Pool.HasList() {
		n.Pool.Replace(n.Pool.Servers())
		return
	}
	for _, server := range n.Pool.Servers() {
		if !listed[server.Name] {
			n.removeLater(server)
		}
	}
}

// removeLater drops a server unless an entry of it comes within relistGrace.
func (n *Node) removeLater(server pool.Server) {
	time.AfterFunc(relistGrace, func() {
		ctx, cancel := context.WithTimeout(context.Background(), relistGrace)
		defer cancel()
		_, err := n.store.Get(ctx, n.Platform.Keys.Servers+server.Name)
		_, absent := errors.AsType[*object.NotFoundError](err)
		switch {
		case absent:
			n.Pool.Remove(server.Name)
			n.Log.Emit(event.ServerGone, "server", server.Name, "err", err.Error())
		case err != nil: // says nothing of the server
			n.removeLater(server)
		}
	})
}
