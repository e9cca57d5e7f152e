package claim

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
)

// Bounds of the client.
const (
	// ClientMaxCalls is how many members one claim asks at most.
	ClientMaxCalls = 4
	// ClientBackoff is the pause after a host that did not answer.
	ClientBackoff = 100 * time.Millisecond
)

// ShardOf returns the shard of a key among the shards of a site. Every host
// must use the same list in the same order.
func ShardOf(key Key, shards []string) string {
	hash := xxhash.Sum64String(key.Workspace + "\x00" + key.ID)
	return shards[hash%uint64(len(shards))]
}

// Client claims requests from whichever host owns their shard.
type Client struct {
	Self    view.Member
	Manager *Manager // this host's own
	Peers   Peers
	Book    *view.Cache
}

// Claim asks the owner, and the other members for a newer view when the owner
// has none. A reply other than New, Done or Outcome allows the caller to say
// that this attempt did not run the request. A lost reply is asked for again
// with the same attempt.
func (c *Client) Claim(ctx context.Context, request Request) Reply {
	reply := Reply{Status: Moved}
	for try := range ClientMaxCalls {
		v, ok := c.Book.Find(request.Shard)
		if !ok {
			return reply
		}
		reply = c.ask(ctx, v.Members()[try%len(v.Members())], request)
		if reply.View != nil && c.Book.Merge(*reply.View) {
			reply = c.ask(ctx, reply.View.Owner, request)
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

func (c *Client) ask(ctx context.Context, owner view.Member, request Request) Reply {
	if owner == c.Self {
		return c.Manager.Claim(ctx, request)
	}
	reply, err := c.Peers.Claim(ctx, owner, request)
	if err != nil {
		return Reply{Status: Busy}
	}
	return reply
}

// Finish tells the owner how an attempt ended. It is repeated until an owner
// took it or the context ends; without it the claim becomes Outcome.
func (c *Client) Finish(ctx context.Context, finish Finish) error {
	for {
		err := c.tell(ctx, finish)
		if err == nil {
			return nil
		}
		if !sleep(ctx, ClientBackoff) {
			return err
		}
	}
}

func (c *Client) tell(ctx context.Context, finish Finish) error {
	owner, ok := c.owner(finish.Shard)
	if !ok {
		return &MovedError{Shard: finish.Shard}
	}
	if owner == c.Self {
		return c.Manager.Finish(ctx, finish)
	}
	return c.Peers.Finish(ctx, owner, finish)
}

func (c *Client) owner(shard string) (view.Member, bool) {
	v, ok := c.Book.Find(shard)
	return v.Owner, ok
}

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
