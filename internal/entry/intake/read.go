package intake

import (
	"context"
	"errors"
	"io"
	"net"
	"time"
)

// Sizes of the parts in which a body is read, in bytes.
const (
	// FreeBytes of each body are not charged, so that small requests never wait for or are
	// refused because of large ones. The number of connections bounds their sum.
	FreeBytes = 16 << 10
	// SegmentBytes is charged before each further part of that size is read.
	SegmentBytes = 64 << 10
)

// RefusedError says that a request was refused before it was complete, so that it has not
// run. RetryAfter is the time after which the caller should come back.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string { return "refused: " + e.Reason }

// RetryAfter is that of a RefusedError. Memory is free again after about a window.
const RetryAfter = time.Second

// Acquire charges n bytes, and waits for them if necessary. The error is a *RefusedError or
// that of the context.
func (c *Claim) Acquire(ctx context.Context, n int64) error {
	if c.Grow(time.Now(), n) {
		return nil
	}
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		wake, reason := c.wait()
		if reason != "" {
			return &RefusedError{Reason: reason, RetryAfter: RetryAfter}
		}
		if wake == nil {
			return nil
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			for _, evicted := range c.budget.Tick(time.Now()) {
				evicted.Evict()
			}
		}
	}
}

// wait returns the channel that is closed at the end of the claim's wait, or nil if it doesn't
// wait, and the reason for which it was evicted.
func (c *Claim) wait() (wake <-chan struct{}, reason string) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.wants == 0 {
		return nil, c.reason
	}
	return c.wake, c.reason
}

// refusal returns a *RefusedError if the claim was evicted, else nil.
func (c *Claim) refusal() error {
	if _, reason := c.wait(); reason != "" {
		return &RefusedError{Reason: reason, RetryAfter: RetryAfter}
	}
	return nil
}

// TooLargeError says that a body is larger than allowed.
type TooLargeError struct {
	Limit int64
}

func (e *TooLargeError) Error() string { return "body is too large" }

// ReadBody reads a body of at most limit bytes and of the given length, which is negative if
// unknown, and returns it in parts. Only what has arrived takes memory. open returns the claim
// of the request; it is called with the length when the body exceeds FreeBytes. The error is a
// *RefusedError, a *TooLargeError or an error of the body.
func ReadBody(ctx context.Context, body io.Reader, length, limit int64, open func(length int64) *Claim) (net.Buffers, error) {
	if length > limit {
		return nil, &TooLargeError{Limit: limit}
	}
	if 0 <= length && length <= FreeBytes {
		data := make([]byte, length)
		_, err := io.ReadFull(body, data)
		return net.Buffers{data}, err
	}
	first, err := fill(body, make([]byte, 0, FreeBytes), nil)
	if err != nil {
		return nil, err
	}
	if len(first) < FreeBytes {
		return net.Buffers{first}, checkLength(int64(len(first)), length)
	}
	claim := open(length)
	parts, err := readCharged(ctx, body, first, length, limit, claim)
	if err != nil {
		claim.budget.recycle(parts[1:])
		return nil, err
	}
	return parts, nil
}

// readCharged reads the rest of a body in segments that are charged to a claim. It returns the
// parts that it has read also with an error.
func readCharged(ctx context.Context, body io.Reader, first []byte, length, limit int64, claim *Claim) (net.Buffers, error) {
	parts, total := net.Buffers{first}, int64(len(first))
	for {
		if err := claim.Acquire(ctx, SegmentBytes); err != nil {
			return parts, err
		}
		segment, err := fill(body, claim.budget.newSegment(), claim)
		parts = append(parts, segment)
		if err != nil {
			if refused := claim.refusal(); refused != nil {
				return parts, refused
			}
			return parts, err
		}
		total += int64(len(segment))
		if total > limit {
			return parts, &TooLargeError{Limit: limit}
		}
		if len(segment) < SegmentBytes || total == length {
			if err := checkLength(total, length); err != nil {
				return parts, err
			}
			if !claim.Complete() {
				return parts, claim.refusal()
			}
			return parts, nil
		}
	}
}

// newSegment returns an empty segment with a capacity of SegmentBytes.
func (b *Budget) newSegment() []byte {
	if segment, ok := b.segments.Get().(*[]byte); ok {
		return (*segment)[:0]
	}
	return make([]byte, 0, SegmentBytes)
}

// recycle keeps the segments of a body that was not read to its end for others. Those of a
// complete body are left to the garbage collector: a request may still be written from them
// when its response is complete.
func (b *Budget) recycle(segments net.Buffers) {
	for _, segment := range segments {
		b.segments.Put(&segment)
	}
}

// checkLength returns io.ErrUnexpectedEOF if a body doesn't have the announced length.
func checkLength(total, length int64) error {
	if length >= 0 && total != length {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// fill reads into data up to its capacity, less only at the end of the body. A claim, if there
// is one, learns of each read. The bytes that were read are returned with an error as well.
func fill(body io.Reader, data []byte, claim *Claim) ([]byte, error) {
	for len(data) < cap(data) {
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if claim != nil {
			claim.Deliver(int64(n))
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return data, err
		}
	}
	return data, nil
}
