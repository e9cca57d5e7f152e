package claims

import (
	"context"

	"github.com/hyssopwall/hyssopwall/internal/entry/claim"
	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
	"github.com/hyssopwall/hyssopwall/internal/host/reach"
)

// peers implements claim.Peers with calls over the links.
type peers struct {
	caller reach.Caller
}

// Claim sends a claim request to the owner of a shard.
func (p peers) Claim(ctx context.Context, to view.Member, q claim.Request) (claim.Reply, error) {
	return reach.Call[claim.Request, claim.Reply](ctx, p.caller, to, claimKind, q)
}

// Finish tells the owner of a shard how an attempt ended.
func (p peers) Finish(ctx context.Context, to view.Member, q claim.Finish) error {
	_, err := reach.Call[claim.Finish, reach.None](ctx, p.caller, to, finishKind, q)
	return err
}

// Copy sends records to a host that keeps a copy of the shard.
func (p peers) Copy(ctx context.Context, to view.Member, q claim.Copy) (claim.CopyReply, error) {
	return reach.Call[claim.Copy, claim.CopyReply](ctx, p.caller, to, copyKind, q)
}

// fleet implements claim.Fleet with this host's view of the membership.
type fleet struct {
	caller     reach.Caller
	shardHosts func(shard string) []view.Member
}

// Alive reports whether a process is live.
func (f fleet) Alive(member view.Member) bool { return f.caller.Alive(member) }

// Hosts returns the hosts that may keep a shard, the preferred ones first.
func (f fleet) Hosts(shard string) []view.Member { return f.shardHosts(shard) }

// ConfirmedDead reports whether a process has certainly ended, because its host runs a
// later one.
func (f fleet) ConfirmedDead(member view.Member) bool {
	now, known := f.caller.Fleet.Member(member.Host)
	return known && now.Incarnation > member.Incarnation
}
