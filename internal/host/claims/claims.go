// Package claims runs the claim protocol on a host: it sends the protocol's messages
// over the links between hosts, and ensures that a request that must not run twice runs
// at most once, whichever host receives it.
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

// ShardCount is the number of claim shards of a site. It is a constant rather than a
// setting of the document, so that the shard of a key never changes.
const ShardCount = 64

// The kinds of calls between hosts.
const (
	claimKind  = "claim"
	finishKind = "claim.finish"
	copyKind   = "claim.copy"
)

// finishTimeout limits the call that reports how an attempt ended.
const finishTimeout = 5 * time.Second

// Config is the configuration of the claims of a host. ShardHosts returns the live
// hosts that may keep copies of a shard of this zone, this host included, in an order
// that depends on the shard's name. Hosts of other zones are among them only if this
// host is the only one of its zone.
type Config struct {
	Zone       string
	Store      object.Store
	Caller     reach.Caller
	ShardHosts func(shard string) []view.Member
}

// Claims claims requests, and keeps the claim shards that belong to this host. Use New,
// then Run.
type Claims struct {
	config  Config
	views   *view.Cache
	manager *claim.Manager
	client  *claim.Client
	shards  []string
}

// New returns the claims of a host and starts to answer other hosts' calls about them.
func New(config Config) *Claims {
	c := &Claims{config: config, views: &view.Cache{}}
	for i := range ShardCount {
		c.shards = append(c.shards, fmt.Sprintf("claims-%02d", i))
	}
	peers := peers{caller: config.Caller}
	c.manager = &claim.Manager{
		Self: config.Caller.Self, Zone: config.Zone, Store: config.Store, Peers: peers,
		Clock: lease.BootClock{}, Fleet: fleet{caller: config.Caller, shardHosts: config.ShardHosts}, Views: c.views,
	}
	c.client = &claim.Client{Self: config.Caller.Self, Manager: c.manager, Peers: peers, Views: c.views}
	c.serve()
	return c
}

// SetZones distributes the shards over the zones by rendezvous hashing and makes this
// host manage those whose home is its own zone. A shard keeps its owner when its home zone
// changes.
func (c *Claims) SetZones(zones []string) {
	sorted := slices.Sorted(slices.Values(zones))
	ring := rendezvous.New(sorted, xxhash.Sum64String)
	var names []string
	for _, shard := range c.shards {
		if ring.Lookup(shard) == c.config.Zone {
			names = append(names, shard)
		}
	}
	c.manager.SetHomeShards(names)
}

// Run manages the shards and watches their views until ctx ends.
func (c *Claims) Run(ctx context.Context) {
	watcher := &view.Watcher{Store: c.config.Store, OnView: c.manager.MergeView}
	go watcher.Run(ctx)
	c.manager.Run(ctx)
}

// HandOver hands this host's shards over to hosts with copies before a planned stop. It
// returns when that is done or ctx ends.
func (c *Claims) HandOver(ctx context.Context) { c.manager.Release(ctx) }

// Ready reports whether the owner of every shard is known.
func (c *Claims) Ready() bool {
	for _, shard := range c.shards {
		if _, known := c.views.Find(shard); !known {
			return false
		}
	}
	return true
}

// keyAndShard returns the claim key of a request and the shard that it belongs to.
func (c *Claims) keyAndShard(workspace, idempotencyKey string) (claim.Key, string) {
	key := claim.Key{Workspace: workspace, ID: idempotencyKey}
	return key, claim.ShardOf(key, c.shards)
}

// Begin claims a request for an attempt. It returns nil and no error if the attempt may
// run the request, the stored answer if the request has run, and an *api.Error
// otherwise.
func (c *Claims) Begin(ctx context.Context, claimed dispatch.Claim) (*service.Response, error) {
	key, shard := c.keyAndShard(claimed.Workspace, claimed.IdempotencyKey)
	reply := c.client.Claim(ctx, claim.Request{
		Shard: shard, Key: key, Digest: claimed.Digest, Attempt: claimed.Attempt,
		Within: min(claimed.MaxDuration, claim.MaxWithin),
	})
	switch reply.Status {
	case claim.Granted:
		return nil, nil
	case claim.Done:
		return storedAnswer(reply)
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

// storedAnswer returns the stored answer of a request that ran, and an *api.Error if
// there is none.
func storedAnswer(reply claim.Reply) (*service.Response, error) {
	ran := &api.Error{Code: api.AlreadyRan, Message: "the request ran; its answer is not kept", Ran: api.RanYes}
	if !reply.HasAnswer {
		return nil, ran
	}
	stored, err := wire.Decode[answer](reply.Answer)
	if err != nil {
		return nil, ran
	}
	return &stored.Answer, nil
}

// answer is a service's answer in the stored form.
type answer struct {
	Answer service.Response `cbor:"1,keyasint"`
}

// Check accepts every answer.
func (answer) Check() error { return nil }

// Finish ends the claim of a request that ran and stores its answer. An answer longer
// than claim.MaxAnswer is not stored. After an error, which means that the owner of the
// shard didn't confirm it in time, the outcome of the claim may become unknown.
func (c *Claims) Finish(ctx context.Context, claimed dispatch.Claim, result service.Response) error {
	key, shard := c.keyAndShard(claimed.Workspace, claimed.IdempotencyKey)
	finish := claim.Finish{Shard: shard, Key: key, Attempt: claimed.Attempt, Ran: true}
	data, err := wire.Encode(answer{Answer: result})
	if err == nil && len(data) <= claim.MaxAnswer {
		finish.Answer, finish.HasAnswer = data, true
	}
	return c.finish(ctx, finish)
}

// Release releases the claim of a request that certainly did not run, so that it can
// be claimed again.
func (c *Claims) Release(ctx context.Context, claimed dispatch.Claim) error {
	key, shard := c.keyAndShard(claimed.Workspace, claimed.IdempotencyKey)
	return c.finish(ctx, claim.Finish{Shard: shard, Key: key, Attempt: claimed.Attempt})
}

// finish reports the end of an attempt to the owner of the shard.
func (c *Claims) finish(ctx context.Context, finish claim.Finish) error {
	ctx, stop := context.WithTimeout(ctx, finishTimeout)
	defer stop()
	return c.client.Finish(ctx, finish)
}

// serve answers the calls of other hosts.
func (c *Claims) serve() {
	link.Serve(c.config.Caller.Endpoint, claimKind, func(ctx context.Context, _ identity.Host, q claim.Request) (claim.Reply, error) {
		return c.manager.Claim(ctx, q), nil
	})
	link.Serve(c.config.Caller.Endpoint, finishKind, func(ctx context.Context, _ identity.Host, q claim.Finish) (reach.None, error) {
		return reach.None{}, c.manager.Finish(ctx, q)
	})
	link.Serve(c.config.Caller.Endpoint, copyKind, func(_ context.Context, _ identity.Host, q claim.Copy) (claim.CopyReply, error) {
		return c.manager.Copy(q)
	})
}
