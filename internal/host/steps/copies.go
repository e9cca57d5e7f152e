package steps

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
	"github.com/hyssopwall/hyssopwall/internal/fleet/link"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
	"github.com/hyssopwall/hyssopwall/internal/rollout/step"
)

// maxCopyBytes is the maximum total size of the copies that this host stores, unless a
// single copy is larger. saveHosts is the number of other hosts that a copy is saved to,
// and loadHosts the number of other hosts asked for one.
const (
	maxCopyBytes = 32 << 20
	saveHosts    = 2
	loadHosts    = 4
)

// copyTimeout is the timeout of one call to save or load a copy.
const copyTimeout = time.Second

// copyCall saves a copy, or requests one when Data is empty.
type copyCall struct {
	Key  string `cbor:"1,keyasint"`
	Data []byte `cbor:"2,keyasint,omitempty"`
}

// Check returns a *wire.FieldError for an empty key.
func (c copyCall) Check() error {
	if c.Key == "" {
		return &wire.FieldError{Type: "copyCall", Field: "Key", Reason: "is empty"}
	}
	return nil
}

// copyReply is the requested copy, empty if the host has none. It is also empty in answer
// to a save.
type copyReply struct {
	Data []byte `cbor:"1,keyasint,omitempty"`
}

// Check accepts every reply.
func (copyReply) Check() error { return nil }

// copyKind is the kind of a copyCall.
const copyKind = "step.copy"

// copies saves plans, chunks and the names of scoring services on this host and on others,
// and stores those of other hosts, in memory only. Samples whose copies are lost are
// generated again.
type copies struct {
	config Config

	mu    sync.Mutex
	held  map[string][]byte
	order []string // keys, in the order in which they were first saved
	bytes int
}

func newCopies(config Config) *copies {
	return &copies{config: config, held: make(map[string][]byte)}
}

// serve answers the copy calls of other hosts.
func (c *copies) serve() {
	link.Serve(c.config.Endpoint, copyKind, func(_ context.Context, _ identity.Host, call copyCall) (copyReply, error) {
		if len(call.Data) > 0 {
			c.put(call.Key, call.Data)
			return copyReply{}, nil
		}
		return copyReply{Data: c.get(call.Key)}, nil
	})
}

// put stores a copy. While the total exceeds maxCopyBytes, it evicts the copy whose key was
// saved first, unless that is the only one.
func (c *copies) put(key string, data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.held[key]; ok {
		c.bytes -= len(old)
	} else {
		c.order = append(c.order, key)
	}
	c.held[key] = data
	c.bytes += len(data)
	for c.bytes > maxCopyBytes && len(c.order) > 1 {
		oldest := c.order[0]
		c.order = c.order[1:]
		c.bytes -= len(c.held[oldest])
		delete(c.held, oldest)
	}
}

// get returns the copy that this host stores, nil for none.
func (c *copies) get(key string) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held[key]
}

// errNoCopy is returned when no other host saved a copy or had the requested one.
var errNoCopy = errors.New("no host holds the copy")

// Save stores data on this host and on up to saveHosts others. It returns an error if no
// other host saved it.
func (c *copies) Save(ctx context.Context, key string, data []byte) error {
	c.put(key, data)
	saved := 0
	for _, host := range c.config.Fleet.CopyHosts(key) {
		if saved == saveHosts {
			break
		}
		if _, err := c.call(ctx, host, copyCall{Key: key, Data: data}); err == nil {
			saved++
		}
	}
	if saved == 0 {
		return errNoCopy
	}
	return nil
}

// Load returns the data stored on this host, or otherwise on one of up to loadHosts
// others.
func (c *copies) Load(ctx context.Context, key string) ([]byte, error) {
	if data := c.get(key); data != nil {
		return data, nil
	}
	for i, host := range c.config.Fleet.CopyHosts(key) {
		if i == loadHosts {
			break
		}
		reply, err := c.call(ctx, host, copyCall{Key: key})
		if err == nil && len(reply.Data) > 0 {
			return reply.Data, nil
		}
	}
	return nil, errNoCopy
}

// call sends a copyCall to another host.
func (c *copies) call(ctx context.Context, host string, call copyCall) (copyReply, error) {
	address, ok := c.config.Fleet.Address(host)
	if !ok {
		return copyReply{}, errNoCopy
	}
	ctx, stop := context.WithTimeout(ctx, copyTimeout)
	defer stop()
	return link.Call[copyCall, copyReply](ctx, c.config.Endpoint, address, copyKind, call)
}

// scoreKey returns the key of the copy that holds the scoring service of a step.
func scoreKey(id step.ID) string { return id.Key() + "/score" }

// scoringService returns the name of the scoring service of a step that is being taken
// over, empty if the step has none or no copy of the name is found.
func (c *copies) scoringService(ctx context.Context, id step.ID) string {
	data, err := c.Load(ctx, scoreKey(id))
	if err != nil {
		return ""
	}
	return string(data)
}
