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

// The bounds of the copies that this host keeps for others: their bytes, and
// the number of hosts that each is saved at and asked for.
const (
	copyBytes = 32 << 20
	copyHosts = 2
	loadHosts = 4
)

// copyTimeout bounds one call about a copy.
const copyTimeout = time.Second

// copyCall saves a copy, or asks for one when Data is empty.
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

// copyReply is the copy asked for, empty when it is not held.
type copyReply struct {
	Data []byte `cbor:"1,keyasint,omitempty"`
}

// Check accepts every reply.
func (copyReply) Check() error { return nil }

const copyKind = "step.copy"

// copies saves plans and chunks at other hosts, and keeps those of others. It
// is soft state: what it loses is generated again.
type copies struct {
	config Config

	mu    sync.Mutex
	held  map[string][]byte
	order []string // oldest first
	bytes int
}

func newCopies(config Config) *copies {
	return &copies{config: config, held: make(map[string][]byte)}
}

func (c *copies) serve() {
	link.Serve(c.config.Endpoint, copyKind, func(_ context.Context, _ identity.Host, call copyCall) (copyReply, error) {
		if len(call.Data) > 0 {
			c.put(call.Key, call.Data)
			return copyReply{}, nil
		}
		return copyReply{Data: c.get(call.Key)}, nil
	})
}

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
	for c.bytes > copyBytes && len(c.order) > 1 {
		oldest := c.order[0]
		c.order = c.order[1:]
		c.bytes -= len(c.held[oldest])
		delete(c.held, oldest)
	}
}

func (c *copies) get(key string) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held[key]
}

// errNoCopy is the cause when no asked host holds a copy.
var errNoCopy = errors.New("no host holds the copy")

// Save keeps data here and at up to copyHosts other hosts. It returns an error
// when no other host took it.
func (c *copies) Save(ctx context.Context, key string, data []byte) error {
	c.put(key, data)
	saved := 0
	for _, mate := range c.config.Fleet.CopyHosts(key) {
		if saved == copyHosts {
			break
		}
		if _, err := c.call(ctx, mate, copyCall{Key: key, Data: data}); err == nil {
			saved++
		}
	}
	if saved == 0 {
		return errNoCopy
	}
	return nil
}

// Load returns the data from this host or from another that holds it.
func (c *copies) Load(ctx context.Context, key string) ([]byte, error) {
	if data := c.get(key); data != nil {
		return data, nil
	}
	for i, mate := range c.config.Fleet.CopyHosts(key) {
		if i == loadHosts {
			break
		}
		reply, err := c.call(ctx, mate, copyCall{Key: key})
		if err == nil && len(reply.Data) > 0 {
			return reply.Data, nil
		}
	}
	return nil, errNoCopy
}

func (c *copies) call(ctx context.Context, host string, call copyCall) (copyReply, error) {
	address, ok := c.config.Fleet.Address(host)
	if !ok {
		return copyReply{}, errNoCopy
	}
	ctx, stop := context.WithTimeout(ctx, copyTimeout)
	defer stop()
	return link.Call[copyCall, copyReply](ctx, c.config.Endpoint, address, copyKind, call)
}

func scoreKey(id step.ID) string { return id.Key() + "/score" }

// score returns the scoring service of a step that is taken over.
func (c *copies) score(ctx context.Context, id step.ID) string {
	data, err := c.Load(ctx, scoreKey(id))
	if err != nil {
		return ""
	}
	return string(data)
}
