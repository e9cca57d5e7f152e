package spread_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopwall/hyssopwall/internal/fleet/identity"
	"github.com/hyssopwall/hyssopwall/internal/fleet/link"
	"github.com/hyssopwall/hyssopwall/internal/fleet/spread"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
)

// platform is a fake platform that holds the record and the documents, and wakes
// watches when the record changes.
type platform struct {
	object.Reader
	mu      sync.Mutex
	record  object.Object
	bodies  map[string][]byte
	changed chan struct{}
}

func newPlatform() *platform {
	return &platform{changed: make(chan struct{}), bodies: make(map[string][]byte)}
}

// set replaces the record by that of a document, stored in its own object too.
func (p *platform) set(accepted spread.Accepted) {
	value, err := wire.Encode(spread.NewRecord(accepted, spread.Accepted{}))
	Expect(err).NotTo(HaveOccurred())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bodies[spread.BodyKey(accepted.ID)] = accepted.Body
	p.record = object.Object{Key: spread.Key, Version: p.record.Version + 1, Value: value}
	close(p.changed)
	p.changed = make(chan struct{})
}

// batch returns the record and a channel that is closed when it changes.
func (p *platform) batch() (object.Batch, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.record.Version == 0 {
		return object.Batch{}, p.changed
	}
	return object.Batch{Objects: []object.Object{p.record}, Revision: p.record.Version}, p.changed
}

func (p *platform) Get(_ context.Context, key string) (object.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	body, ok := p.bodies[key]
	if !ok {
		return object.Object{}, &object.NotFoundError{Key: key}
	}
	return object.Object{Key: key, Version: 1, Value: body}, nil
}

func (p *platform) List(context.Context, string) (object.Batch, error) {
	batch, _ := p.batch()
	return batch, nil
}

func (p *platform) Watch(ctx context.Context, _ string, after uint64) (object.Batch, error) {
	for {
		batch, changed := p.batch()
		if batch.Revision > after {
			return batch, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return object.Batch{}, &object.OutageError{Err: ctx.Err()}
		}
	}
}

var _ = Describe("a Runner", func() {
	var authority identity.Pair
	quiet := event.Log{Sink: func(event.Entry, []any) {}}
	endpoint := func(name string) *link.Endpoint {
		pair, err := identity.Issue(authority, identity.Host{Name: name, Zone: "z1"}, time.Now(), time.Hour)
		Expect(err).NotTo(HaveOccurred())
		credentials, err := identity.ParseCredentials(pair, authority.Certificate)
		Expect(err).NotTo(HaveOccurred())
		e, err := link.Listen(link.Config{Address: "127.0.0.1:0", Identity: identity.FixedSource(credentials, time.Now, quiet), Log: quiet})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(e.Close)
		return e
	}
	start := func(config spread.Config) *spread.Runner {
		config.Log = quiet
		runner := spread.Start(config)
		DeferCleanup(runner.Close)
		return runner
	}
	BeforeEach(func() {
		var err error
		authority, err = identity.CreateAuthority(time.Now(), time.Hour)
		Expect(err).NotTo(HaveOccurred())
	})

	It("fetches changes from a watcher for a host that is cut off from the platform", func(ctx SpecContext) {
		platform := newPlatform()
		platform.set(document("1"))
		link1, link2 := endpoint("h1"), endpoint("h2")
		watcher := start(spread.Config{Endpoint: link1, Platform: platform})
		cut := start(spread.Config{Endpoint: link2})
		_, ready := cut.Current()
		Expect(ready).To(BeFalse())
		changes, cancel := cut.Subscribe()
		defer cancel()
		watcher.SetRank(0)
		for _, name := range []string{"1", "2", "3"} {
			platform.set(document(name))
			version := document(name).Version
			Eventually(ctx, watcher.Version).Should(Equal(version))
			cut.ReportPeerVersion(link1.Address(), version)
			Eventually(ctx, changes).Should(Receive(HaveField("Version", version)))
		}
	})

	It("reads a large document from its own object, and retries if it was replaced", func(ctx SpecContext) {
		platform := newPlatform()
		large := document("1")
		large.Body = make([]byte, 64<<10)
		platform.set(large)
		delete(platform.bodies, spread.BodyKey(large.ID))
		watcher := start(spread.Config{Endpoint: endpoint("h1"), Platform: platform})
		watcher.SetRank(1)
		next := document("2")
		next.Body = make([]byte, 65<<10)
		platform.set(next)
		Eventually(ctx, watcher.Version).Should(Equal(uint64(2)))
		current, _ := watcher.Current()
		Expect(current.Body).To(Equal(next.Body))
	})

	It("starts with the document in the data folder", func() {
		folder := spread.Folder{Path: GinkgoT().TempDir()}
		Expect(folder.Save(document("4"))).To(Succeed())
		runner := start(spread.Config{Endpoint: endpoint("h1"), Folder: folder})
		Expect(runner.Version()).To(Equal(uint64(4)))
	})
})
