package claim

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
)

// Limits of a Client.
const (
	// ClientMaxRounds is the largest number of rounds of a claim. A round calls one
	// member and, if it replies with a newer view, that view's owner.
	ClientMaxRounds = 4
	// ClientBackoff is the pause between rounds of a claim and between attempts
	// to report its end.
	ClientBackoff = 100 * time.Millisecond
)

// ShardOf returns the shard of a key among the shards of a site. Every host
// must use the same list in the same order.
func ShardOf(key Key, shards []string) string {
	hash := xxhash.Sum64String(key.Workspace + "\x00" + key.ID)
	return shards[hash%uint64(len(shards))]
}

// Client claims requests at the host that owns their shard.
type Client struct {
	Self    view.Member
	Manager *Manager // of this host
	Peers   Peers
	Views   *view.Cache
}

// Claim asks the owner of the shard and, if it gets no decision there, the other
// members, which may know a newer view. Every call is for the same attempt, so a
// claim whose reply was lost is granted again. After a reply other than Granted,
// Done or OutcomeUnknown the caller may report that this attempt did not run the
// request.
func (c *Client) Claim(ctx context.Context, request Request) Reply {
	reply := Reply{Status: Moved}
	for round := range ClientMaxRounds {
		v, ok := c.Views.Find(request.Shard)
		if !ok {
			return reply
		}
		reply = c.claimAt(ctx, v.Members()[round%len(v.Members())], request)
		if reply.View != nil && c.Views.Merge(*reply.View) {
			reply = c.claimAt(ctx, reply.View.Owner, request)
		}
		if reply.Status != Moved && reply.Status != Busy {
			return reply
		}
		if !sleep(ctx, ClientBackoff) {
			break
		}
	}
	return reply
}

// claimAt sends the request to one member. A lost reply counts as Busy.
func (c *Client) claimAt(ctx context.Context, member view.Member, request Request) Reply {
	if member == c.Self {
		return c.Manager.Claim(ctx, request)
	}
	reply, err := c.Peers.Claim(ctx, member, request)
	if err != nil {
		return Reply{Status: Busy}
	}
	return reply
}

// Finish reports to the owner how an attempt ended. It retries until an owner has
// accepted the report or the context ends; without it the claim becomes
// OutcomeUnknown.
func (c *Client) Finish(ctx context.Context, finish Finish) error {
	for {
		err := c.finishOnce(ctx, finish)
		if err == nil {
			return nil
		}
		if !sleep(ctx, ClientBackoff) {
			return err
		}
	}
}

// finishOnce reports to the owner in the newest view known.
func (c *Client) finishOnce(ctx context.Context, finish Finish) error {
	owner, ok := c.owner(finish.Shard)
	if !ok {
		return &MovedError{Shard: finish.Shard}
	}
	if owner == c.Self {
		return c.Manager.Finish(ctx, finish)
	}
	return c.Peers.Finish(ctx, owner, finish)
}

// owner returns the owner of a shard in the newest view known.
func (c *Client) owner(shard string) (view.Member, bool) {
	v, ok := c.Views.Find(shard)
	return v.Owner, ok
}

// sleep returns false if the context ends before the wait does.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
