package step

import (
	"context"
	"errors"
	"fmt"
)

// SupersededError says that a later pull of the trainer named another cursor.
type SupersededError struct {
	ID     ID
	Cursor uint64
}

func (e *SupersededError) Error() string {
	return fmt.Sprintf("pull of step %s from cursor %d superseded by a later one", e.ID.Key(), e.Cursor)
}

type pullCall struct {
	request Request
	ctx     context.Context
	reply   chan pullReply
}

type pullReply struct {
	chunk Chunk
	err   error
}

func (p *pullCall) apply(o *Owner) {
	var kept []*pullCall
	for _, earlier := range o.pulls {
		if earlier.request.Cursor == p.request.Cursor {
			kept = append(kept, earlier)
			continue
		}
		earlier.reply <- pullReply{err: &SupersededError{ID: o.id, Cursor: earlier.request.Cursor}}
	}
	kept = append(kept, p)
	o.pulls = kept
	o.dirty = true
}

// serve answers the waiting pulls that can be answered now. A caller that has
// gone away gets no chunk, though its reply always has room.
func (o *Owner) servePulls() {
	var kept []*pullCall
	for _, p := range o.pulls {
		if p.ctx.Err() != nil {
			p.reply <- pullReply{err: p.ctx.Err()}
			continue
		}
		answer, err := o.ledger.Pull(p.request, o.config.Clock.Now())
		var unknown *UnknownCursorError
		switch {
		case errors.As(err, &unknown):
			o.verifyCursor(p, unknown)
		case err != nil:
			p.reply <- pullReply{err: err}
		case answer.Chunk != nil:
			p.reply <- pullReply{chunk: *answer.Chunk}
		default:
			kept = append(kept, p)
		}
	}
	o.pulls = kept
}

// doubt answers a pull from a cursor that the owner does not know. A later
// owner may have committed it, so that the platform is asked before the
// trainer is sent back to the start of its step.
func (o *Owner) verifyCursor(p *pullCall, unknown *UnknownCursorError) {
	epoch := o.ledger.state.Epoch
	o.workers.Add(1)
	go func() {
		defer o.workers.Done()
		fenced, err := verify(p.ctx, o.config.Store, o.id, epoch)
		switch {
		case fenced != nil:
			_ = o.send(o.ctx, writeResult{fenced: fenced})
			p.reply <- pullReply{err: fenced}
		case err != nil:
			p.reply <- pullReply{err: err}
		default:
			p.reply <- pullReply{err: unknown}
		}
	}()
}

// Pull waits for the chunk that follows the cursor of the request. A chunk
// without samples and with Whole set says that the trainer holds the whole
// step. Errors: *FencedError, *ClosedError, *CanceledError, *CursorError,
// *SupersededError, and that of ctx.
func (o *Owner) Pull(ctx context.Context, request Request) (Chunk, error) {
	p := &pullCall{request: request, ctx: ctx, reply: make(chan pullReply, 1)}
	if err := o.send(ctx, p); err != nil {
		return Chunk{}, err
	}
	select {
	case reply := <-p.reply:
		return reply.chunk, reply.err
	case <-ctx.Done():
		return Chunk{}, ctx.Err()
	case <-o.done:
		return Chunk{}, o.closeError()
	}
}

type snapshotCall struct {
	reply chan Status
}

func (l snapshotCall) apply(o *Owner) {
	status := o.ledger.Status()
	status.Stats.ProgressDropped = o.dropped.Load()
	l.reply <- status
}

// Snapshot returns the state of the step.
func (o *Owner) Snapshot(ctx context.Context) (Status, error) {
	l := snapshotCall{reply: make(chan Status, 1)}
	if err := o.send(ctx, l); err != nil {
		return Status{}, err
	}
	select {
	case status := <-l.reply:
		return status, nil
	case <-ctx.Done():
		return Status{}, ctx.Err()
	case <-o.done:
		return Status{}, o.closeError()
	}
}

type cancelCall struct {
	reply chan struct{}
}

func (c cancelCall) apply(o *Owner) {
	o.ledger.Cancel()
	o.cancelCalls = append(o.cancelCalls, c)
}

// acknowledge answers the calls of Cancel once the platform holds the end.
func (o *Owner) answerCancels() {
	if !o.ledger.Status().Canceled {
		return
	}
	for _, c := range o.cancelCalls {
		close(c.reply)
	}
	o.cancelCalls = nil
}

// Cancel ends the step: no chunk is committed after the one in progress, and
// later pulls get a *CanceledError. It returns once the platform holds the end,
// so that every later owner knows of it. A *FencedError says that another owner
// has the step and does not know of the end.
func (o *Owner) Cancel(ctx context.Context) error {
	c := cancelCall{reply: make(chan struct{})}
	if err := o.send(ctx, c); err != nil {
		return err
	}
	select {
	case <-c.reply:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-o.done:
	}
	select {
	case <-c.reply: // acknowledged just before the owner ended
		return nil
	default:
		return o.closeError()
	}
}
