package rest

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptrace"
	"os"
	"sync"
	"time"
)

// errSealed is returned by a write on a connection whose request was reported as not
// sent.
var errSealed = errors.New("connection is sealed")

// countedConn counts the writes that were begun on a connection. Once sealed it refuses
// further writes, so that a report that nothing was sent stays true.
type countedConn struct {
	net.Conn
	mu          sync.Mutex
	writes      int
	sealed      bool
	beforeWrite func() error        // called before the next write, then cleared; may be nil
	idle        *time.Timer         // closes the connection while it is idle; nil if none is set
	onIdleEnd   func(byServer bool) // see Caller.OnIdleEnd; may be nil
	head        headCheck           // of the response to the current request
	writing     int                 // writes under way
	written     *sync.Cond          // signals the end of a write; set while Read waits for it
	writeErr    error               // of the first write that failed
	reading     bool                // a read is under way
	closed      bool
	unsent      bool       // the connection is reused for a request of which nothing was written
	drained     *sync.Cond // signals that a read begins or the connection is closed; set while drain waits
}

// Read reads from the connection. net/http reads from idle connections too, and so notices their
// end. After a write that failed it does not return io.EOF, but a *CutError.
func (c *countedConn) Read(data []byte) (int, error) {
	c.beginRead()
	n, err := c.Conn.Read(data)
	if errors.Is(err, io.EOF) {
		if failed := c.writeFailure(); failed != nil {
			err = &CutError{Err: failed}
		}
	}
	if err != nil && !errors.Is(err, net.ErrClosed) { // else this end has closed it
		c.endIdle()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if n > 0 && c.unsent {
		return 0, &MalformedError{Reason: "sent before its request"}
	}
	if malformed := c.head.check(data[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

// beginRead records the begin of a read.
func (c *countedConn) beginRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	c.signalDrained()
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.signalDrained()
	c.mu.Unlock()
	return c.Conn.Close()
}

// signalDrained ends the wait of drain. The caller holds c.mu.
func (c *countedConn) signalDrained() {
	if c.drained != nil {
		c.drained.Broadcast()
	}
}

// drain waits until net/http has no bytes left that arrived after the response to the earlier
// request, and returns true. It would read them as the response to the next request, since it
// offers a connection for reuse before it looks for them. It returns false if there were such
// bytes, for which net/http closes the connection.
func (c *countedConn) drain() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drained = sync.NewCond(&c.mu)
	for !c.reading && !c.closed {
		c.drained.Wait()
	}
	c.drained = nil
	c.unsent = !c.closed
	return c.unsent
}

// CutError says that a connection ended while the request was still being written, so that
// the end of the connection is not the end of the response. Err is that of the write.
type CutError struct {
	Err error
}

func (e *CutError) Error() string { return "connection cut: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CutError) Unwrap() error { return e.Err }

// writeFailure returns the error of the write that failed because the other end reset the
// connection, nil if none did. The kernel reports a reset to one call only: if that is a
// write, the next read returns io.EOF. The write may not have returned yet; since the other
// end sends nothing more, it is interrupted.
func (c *countedConn) writeFailure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing > 0 {
		_ = c.SetWriteDeadline(time.Now()) // fails only if the connection is closed, which ends the write
		c.written = sync.NewCond(&c.mu)
		for c.writing > 0 {
			c.written.Wait()
		}
		c.written = nil
	}
	return c.writeErr
}

// endIdle calls onIdleEnd if the connection, which the server has ended, is idle.
func (c *countedConn) endIdle() {
	c.mu.Lock()
	onIdleEnd := c.onIdleEnd
	if c.idle == nil || c.sealed {
		onIdleEnd = nil
	}
	c.onIdleEnd = nil
	c.mu.Unlock()
	if onIdleEnd != nil {
		onIdleEnd(true)
	}
}

// closeAfter closes the connection unless it is used within the time that limit returns,
// which may have grown when that has passed. It calls onIdleEnd, which may be nil, when the
// connection ends before it is used.
func (c *countedConn) closeAfter(limit func() time.Duration, onIdleEnd func(byServer bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onIdleEnd = onIdleEnd
	if c.idle != nil {
		c.idle.Stop()
	}
	since, wait := time.Now(), limit()
	c.idle = time.AfterFunc(wait, func() { c.closeIdle(since, wait, limit) })
}

// closeIdle closes the connection, which has been idle since the given time, or waits again
// if the limit has grown from waited. It does nothing if the connection is in use.
func (c *countedConn) closeIdle(since time.Time, waited time.Duration, limit func() time.Duration) {
	if onIdleEnd := c.tryCloseIdle(since, waited, limit); onIdleEnd != nil {
		onIdleEnd(false)
	}
}

// tryCloseIdle is closeIdle. It returns the function to call if it has closed the connection.
func (c *countedConn) tryCloseIdle(since time.Time, waited time.Duration, limit func() time.Duration) (onIdleEnd func(byServer bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		return nil
	}
	if grown := limit(); grown > waited {
		c.idle = time.AfterFunc(time.Until(since.Add(grown)), func() { c.closeIdle(since, grown, limit) })
		return nil
	}
	c.sealed, c.closed = true, true
	c.signalDrained()
	_ = c.Conn.Close() // nobody uses the connection
	onIdleEnd, c.onIdleEnd = c.onIdleEnd, nil
	return onIdleEnd
}

// use stops the timer of closeAfter. A connection that it has closed stays sealed.
func (c *countedConn) use() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle != nil {
		c.idle.Stop()
		c.idle = nil
	}
}

func (c *countedConn) Write(data []byte) (int, error) {
	if err := c.beginWrite(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(data)
	c.endWrite(err)
	return n, err
}

// endWrite records the end of a write. A write that this end interrupted is no failure of the
// connection.
func (c *countedConn) endWrite(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr == nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.writeErr = err
	}
	c.writing--
	if c.written != nil {
		c.written.Broadcast()
	}
}

// beginWrite counts a write. It seals the connection and returns the error if beforeWrite
// fails.
func (c *countedConn) beginWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return errSealed
	}
	beforeWrite := c.beforeWrite
	c.beforeWrite = nil
	if beforeWrite != nil {
		if err := beforeWrite(); err != nil {
			c.sealed = true
			return err
		}
	}
	c.unsent = false
	c.writes++
	c.writing++
	return nil
}

// expectResponse prepares the check of the head of the response to the next request.
func (c *countedConn) expectResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.expect()
}

func (c *countedConn) setBeforeWrite(beforeWrite func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beforeWrite = beforeWrite
}

func (c *countedConn) writeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal seals the connection and returns the number of writes so far.
func (c *countedConn) seal() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// sealIfUnwritten seals the connection and returns true, or returns false if a write has
// begun since the number of writes was start.
func (c *countedConn) sealIfUnwritten(start int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != start {
		return false
	}
	c.sealed = true
	return true
}

// tracker follows one request through net/http. A connection serves one request at a
// time, so writes that begin while the request holds the connection belong to it.
type tracker struct {
	check     sendCheck
	maxIdle   func() time.Duration // see Caller.MaxIdle; may be nil
	onIdleEnd func(byServer bool)  // see Caller.OnIdleEnd; may be nil

	mu       sync.Mutex
	obtained bool // the request was given a connection
	reused   bool
	conn     *countedConn // nil if the client's connections are not countedConns
	start    int          // writes on conn before the request
}

// sendCheck runs a call's BeforeSend. After a failure it is not called again, and the
// error stays. Its lock is taken while that of a connection is held; it takes no other
// lock itself.
type sendCheck struct {
	beforeSend func() error // may be nil

	mu  sync.Mutex
	err error
}

// run calls beforeSend unless it has failed before.
func (s *sendCheck) run() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil && s.beforeSend != nil {
		if err := s.beforeSend(); err != nil {
			s.err = &NotPermittedError{Err: err}
		}
	}
	return s.err
}

// failure returns the error of beforeSend, nil if it has not failed.
func (s *sendCheck) failure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// trace returns a context that reports the request's connection to gotConn.
func (t *tracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn, PutIdleConn: t.putIdle})
}

// putIdle is called by net/http when the request's connection may be used again.
func (t *tracker) putIdle(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil && t.conn != nil && t.maxIdle != nil {
		t.conn.closeAfter(t.maxIdle, t.onIdleEnd)
	}
}

// gotConn is called by net/http before it writes the request to a connection. It seals a
// reused connection that is unusable, was idle for too long or holds bytes that are not the
// response to the request, so that the request fails unsent.
func (t *tracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.obtained, t.reused = true, info.Reused
	t.conn, _ = info.Conn.(*countedConn)
	if t.conn == nil {
		return
	}
	t.start = t.conn.writeCount()
	t.conn.setBeforeWrite(t.check.run)
	t.conn.expectResponse()
	stale := t.maxIdle != nil && info.IdleTime > t.maxIdle()
	if info.Reused && (stale || unusable(t.conn.Conn) || !t.conn.drain()) {
		t.start = t.conn.seal() // the request waits for this function to return
	}
	t.conn.use() // after drain, and so after putIdle of the earlier request
}

// sent reports whether a byte of the failed request may have been sent. It is false if
// no connection was obtained, or if nothing was written to it; the connection is then
// sealed.
func (t *tracker) sent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.obtained {
		return false
	}
	return t.conn == nil || !t.conn.sealIfUnwritten(t.start)
}

// usedBefore reports whether the request was given a connection of an earlier one.
func (t *tracker) usedBefore() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reused
}

// hasConn reports whether the request was given a connection. If it failed unsent despite
// that, its connection was already closed.
func (t *tracker) hasConn() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.obtained
}
