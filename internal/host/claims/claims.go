// Package claims joins the claim protocol to a host: it carries its messages
// over the links between hosts, and makes requests that must not run twice run
// at most once, whichever host they reach.
package claims

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/hyssopwall/hyssopwall/internal/backend/service"
	"github.com/hyssopwall/hyssopwall/internal/entry/claim"
	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
	"github.com/hyssopwall/hyssopwall/internal/fleet/lease"
	"github.com/hyssopwall/hyssopwall/internal/fleet/link"
	"github.com/hyssopwall/hyssopwall/internal/fleet/view"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
	"github.com/hyssopwall/hyssopwall/internal/host/api"
	"github.com/hyssopwall/hyssopwall/internal/host/dispatch"
	"github.com/hyssopwall/hyssopwall/internal/host/reach"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
)

// Shards is the number of claim shards of a site. It is the same for every
// document, so that the shard of a key never changes.
const Shards = 64

// The kinds of calls between hosts.
const (
	claimKind  = "claim"
	finishKind = "claim.finish"
	copyKind   = "claim.copy"
)

// finishTimeout bounds the report of how an attempt ended.
const finishTimeout = 5 * time.Second

// Config is what the claims need from their host. Near returns the live hosts
// that may keep copies for this zone, this one included, in an order that
// depends on the key.
type Config struct {
	Zone   string
	Store  object.Store
	Caller reach.Caller
	Near   func(key string) []view.Member
}

// Claims claims requests, and keeps this host's part of the shards. Use New,
// then Run.
type Claims struct {
	config Config
	book   *view.Cache
	keeper *claim.Manager
	client *claim.Client
	shards []string
}

// New returns the claims of a host and answers other hosts' calls about them.
func New(config Config) *Claims {
	c := &Claims{config: config, book: &view.Cache{}}
	for i := range Shards {
		c.shards = append(c.shards, fmt.Sprintf("claims-%02d", i))
	}
	peers := peers{caller: config.Caller}
	c.keeper = &claim.Manager{
		Self: config.Caller.Self, Zone: config.Zone, Store: config.Store, Peers: peers,
		Clock: lease.BootClock{}, Fleet: fleet{caller: config.Caller, near: config.Near}, Views: c.book,
	}
	c.client = &claim.Client{Self: config.Caller.Self, Manager: c.keeper, Peers: peers, Views: c.book}
	c.serve()
	return c
}

// SetZones gives this host's zone its part of the shards. A shard keeps its
// owner when its home moves.
func (c *Claims) SetZones(zones []string) {
	sorted := slices.Sorted(slices.Values(zones))
	ring := rendezvous.New(sorted, xxhash.Sum64String)
	var names []string
	for _, shard := range c.shards {
		if ring.Lookup(shard) == c.config.Zone {
			names = append(names, shard)
		}
	}
	c.keeper.SetHomeShards(names)
}

// Run keeps the shards and follows their views until ctx ends.
func (c *Claims) Run(ctx context.Context) {
	watcher := &view.Watcher{Store: c.config.Store, OnView: c.keeper.MergeView}
	go watcher.Run(ctx)
	c.keeper.Run(ctx)
}

// HandOver gives this host's shards to their copies before a planned stop. It
// returns when that is done or ctx ends.
func (c *Claims) HandOver(ctx context.Context) { c.keeper.Release(ctx) }

// Ready reports whether the owner of every shard is known.
func (c *Claims) Ready() bool {
	for _, shard := range c.shards {
		if _, known := c.book.Find(shard); !known {
			return false
		}
	}
	return true
}

func (c *Claims) key(workspace, identity string) (claim.Key, string) {
	key := claim.Key{Workspace: workspace, ID: identity}
	return key, claim.ShardOf(key, c.shards)
}

// Begin claims a request for an attempt. It returns nil when the attempt may
// run it, the answer of its first run, or an *api.Error.
func (c *Claims) Begin(ctx context.Context, one dispatch.Claim) (*service.Answer, error) {
	key, shard := c.key(one.Workspace, one.IdempotencyKey)
	reply := c.client.Claim(ctx, claim.Request{
		Shard: shard, Key: key, Digest: one.Digest, Attempt: one.Attempt,
		Within: min(one.MaxDuration, claim.MaxWithin),
	})
	switch reply.Status {
	case claim.Granted:
		return nil, nil
	case claim.Done:
		return repeated(reply)
	case claim.Conflict:
		return nil, &api.Error{Code: api.Conflict, Message: "the idempotency key came with another request before", Ran: api.RanNo}
	case claim.Running:
		return nil, &api.Error{Code: api.Running, Message: "the same request is running", Ran: api.RanUnknown, RetrySafe: true, RetryAfter: time.Second}
	case claim.OutcomeUnknown:
		return nil, &api.Error{Code: api.OutcomeUnknown, Message: "the same request may have run before", Ran: api.RanUnknown}
	default:
		return nil, api.RefuseFor(api.Unreachable, "the hosts that decide about this idempotency key can't be reached; this attempt did not run", time.Second)
	}
}

// repeated returns the kept answer of a request that ran.
func repeated(reply claim.Reply) (*service.Answer, error) {
	ran := &api.Error{Code: api.AlreadyRan, Message: "the request ran; its answer is not kept", Ran: api.RanYes}
	if !reply.HasAnswer {
		return nil, ran
	}
	kept, err := wire.Decode[answer](reply.Answer)
	if err != nil {
		return nil, ran
	}
	return &kept.Answer, nil
}

// answer is a service's answer as it is kept.
type answer struct {
	Answer service.Answer `cbor:"1,keyasint"`
}

// Check accepts every answer.
func (answer) Check() error { return nil }

// Finish ends a claim whose request ran, with its answer. An answer that is
// too long is not kept.
func (c *Claims) Finish(ctx context.Context, one dispatch.Claim, result service.Answer) error {
	key, shard := c.key(one.Workspace, one.IdempotencyKey)
	finish := claim.Finish{Shard: shard, Key: key, Attempt: one.Attempt, Ran: true}
	data, err := wire.Encode(answer{Answer: result})
	if err == nil && len(data) <= claim.MaxAnswer {
		finish.Answer, finish.HasAnswer = data, true
	}
	return c.finish(ctx, finish)
}

// Release gives a claim back whose request certainly did not run.
func (c *Claims) Release(ctx context.Context, one dispatch.Claim) error {
	key, shard := c.key(one.Workspace, one.IdempotencyKey)
	return c.finish(ctx, claim.Finish{Shard: shard, Key: key, Attempt: one.Attempt})
}

func (c *Claims) finish(ctx context.Context, finish claim.Finish) error {
	ctx, stop := context.WithTimeout(ctx, finishTimeout)
	defer stop()
	return c.client.Finish(ctx, finish)
}

// serve answers the messages of other hosts.
func (c *Claims) serve() {
	link.Serve(c.config.Caller.Endpoint, claimKind, func(ctx context.Context, _ identity.Host, q claim.Request) (claim.Reply, error) {
		return c.keeper.Claim(ctx, q), nil
	})
	link.Serve(c.config.Caller.Endpoint, finishKind, func(ctx context.Context, _ identity.Host, q claim.Finish) (reach.None, error) {
		return reach.None{}, c.keeper.Finish(ctx, q)
	})
	link.Serve(c.config.Caller.Endpoint, copyKind, func(_ context.Context, _ identity.Host, q claim.Copy) (claim.CopyReply, error) {
		return c.keeper.Copy(q)
	})
}
