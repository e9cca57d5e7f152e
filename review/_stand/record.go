package main

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// Record writes record.txt and keeps what the backend servers saw.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	runs  []*Run
	byID  map[string][]*Run
	quiet bool // runs are kept, but not written one by one
}

// Run is one request that a backend server began to run.
type Run struct {
	number         int
	id, server     string
	tenant         string
	bodySum        string
	bodyBytes      int
	began, ended   time.Time
	done, finished bool // finished: with its last byte
}

func newRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, began: time.Now(), byID: map[string][]*Run{}}, nil
}

func (r *Record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *Record) write(format string, args ...any) {
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

func sum(body []byte) string { return fmt.Sprintf("%x", sha256.Sum256(body))[:12] }

func (r *Record) begin(s *Server, request *http.Request, id string, body []byte) *Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := &Run{number: len(r.runs) + 1, id: id, server: s.Name, tenant: request.Header.Get("X-Tenant"), bodySum: sum(body), bodyBytes: len(body), began: time.Now()}
	r.runs = append(r.runs, run)
	r.byID[id] = append(r.byID[id], run)
	if !r.quiet {
		r.write("run %d: %s %s of %s begins at %s (%s), body %s", run.number, request.Method, request.URL.Path, id, s.Name, s.Service, run.bodySum)
	}
	return run
}

func (r *Record) finish(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.finished = true
}

func (r *Record) end(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.done, run.ended = true, time.Now()
	if !r.quiet {
		r.write("run %d of %s at %s ends, complete: %t", run.number, run.id, run.server, run.finished)
	}
}

// of returns the runs of a request or item.
func (r *Record) of(id string) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Run
	for _, run := range r.byID[id] {
		found = append(found, *run)
	}
	return found
}

// running returns the number of requests that the servers work on.
func (r *Record) running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, run := range r.runs {
		if !run.done {
			n++
		}
	}
	return n
}
