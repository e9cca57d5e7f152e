package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["dark"] = darkCase }

// Times of a crash and of the caller.
const (
	backAfter   = 4500 * time.Millisecond     // for_s of srv_crash; "the sampler is back after some seconds"
	expireAfter = 3 * 1200 * time.Millisecond // entries are removed after three heartbeat intervals of silence
	askedEvery  = time.Second                 // the request comes again
	playedFor   = 50 * time.Second
	allowed     = 3 // retries later than contact_ms after the third crash
)

// crashServer is a server that a request crashes. It goes dark: it falls silent on all
// connections, as a machine that lost power, and is back as a new incarnation.
type crashServer struct {
	*Server
	silent bool

	mu    sync.Mutex
	down  chan struct{} // closed when it is back; nil while it runs
	conns map[net.Conn]bool
}

func (c *crashServer) start() error {
	listener, err := net.Listen("tcp", loopback(250)+":0")
	if err != nil {
		return err
	}
	c.address, c.born, c.conns = listener.Addr().String(), time.Now().UnixMilli(), map[net.Conn]bool{}
	server := &http.Server{Handler: http.HandlerFunc(c.handle), ConnState: func(conn net.Conn, state http.ConnState) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if state == http.StateNew {
			c.conns[conn] = true
		} else if state == http.StateClosed {
			delete(c.conns, conn)
		}
	}}
	go func() { _ = server.Serve(listener) }()
	c.register()
	return nil
}

func (c *crashServer) handle(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	down := c.down
	c.mu.Unlock()
	if down != nil {
		<-down
		panic(http.ErrAbortHandler)
	}
	if trouble && strings.HasPrefix(r.URL.Path, "/plain/fatal") && r.Header.Get("X-Expect-Instance") == c.Name {
		c.crash(r)
		panic(http.ErrAbortHandler)
	}
	c.serve(w, r)
}

// crash takes the server down and brings it back under its name, as a new incarnation.
func (c *crashServer) crash(r *http.Request) {
	down := make(chan struct{})
	c.mu.Lock()
	if c.down != nil {
		c.mu.Unlock()
		return
	}
	c.down = down
	c.mu.Unlock()
	run := c.Rec.begin(c.Server, r, r.Header.Get("X-Request-Id"), nil)
	c.Rec.logf("server %s crashes, silently: %t", c.Name, c.silent)
	if !c.silent {
		c.reset()
	}
	gone := time.AfterFunc(expireAfter, func() {
		c.Rec.logf("store: the entry of %s is removed", c.Name)
		c.Store.Remove("servers", c.Name)
	})
	time.AfterFunc(backAfter, func() {
		gone.Stop()
		c.reset()
		c.mu.Lock()
		c.down = nil
		c.born = time.Now().UnixMilli()
		c.mu.Unlock()
		close(down)
		c.register()
		c.Rec.end(run)
		c.Rec.logf("server %s is back", c.Name)
	})
	if c.silent {
		<-down
	}
}

// reset resets all connections.
func (c *crashServer) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// darkCase has a caller repeat a request that crashes each server that begins to run it.
func darkCase(rec *Record) ([]string, error) {
	site, err := newSite(rec)
	if err != nil {
		return nil, err
	}
	defer site.close()
	site.Store.Set("config", "main", config(3, "safe", 1500, map[string]any{"service": "quote-llm"}, []any{llm("quote-llm")}))
	for i := range 4 {
		server := &crashServer{silent: os.Getenv("SILENT") != "0", Server: &Server{
			Name: fmt.Sprintf("i-a%d", i), Service: "app", Zone: []string{"za", "zb"}[i%2], Slots: 6, Store: site.Store, Rec: rec,
			Work: func(string) time.Duration { return 25 * time.Millisecond },
		}}
		if err := server.start(); err != nil {
			return nil, err
		}
	}
	for i := range 4 {
		if err := site.newHost(fmt.Sprintf("edge-%d", i+1), []string{"za", "zb"}[i%2]).start(true); err != nil {
			return nil, err
		}
	}
	if err := awaitReady(15*time.Second, site.Hosts...); err != nil {
		return nil, err
	}
	time.Sleep(contact)
	var (
		group  sync.WaitGroup
		failed atomic.Int64
	)
	for end := time.Now().Add(playedFor); time.Now().Before(end); time.Sleep(askedEvery) {
		group.Go(func() {
			id, host := randomID(), site.Hosts[rand.IntN(len(site.Hosts))]
			a := call(host, http.MethodPost, "/plain/fatal", apiKey, id, map[string]string{"X-Deadline-Ms": "1500"}, []byte("the same body"), 2*time.Second)
			rec.logf("client: request %s at %s: %v", id, host.Name, a)
			if a.Status != http.StatusOK {
				failed.Add(1)
			}
		})
	}
	group.Wait()
	if !trouble {
		if failed.Load() > 0 {
			return nil, fmt.Errorf("%d requests were not answered with 200", failed.Load())
		}
		return nil, nil
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if len(rec.runs) < 3 {
		return nil, fmt.Errorf("only %d crashes", len(rec.runs))
	}
	since := rec.runs[2].began.Add(contact)
	later := 0
	for _, run := range rec.runs {
		if run.began.After(since) {
			later++
		}
	}
	rec.write("%d crashes, %d of them later than %v after the third", len(rec.runs), later, contact)
	if later > allowed {
		return []string{fmt.Sprintf("BUDGET: the request crashed %d servers, %d of them later than %v after the third crash; %d are allowed", len(rec.runs), later, contact, allowed)}, nil
	}
	return nil, nil
}
