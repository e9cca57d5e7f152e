package rest

import (
	"errors"
	"io"
	"sync"
)

// A faulty server may send a response without end. The memory for responses is
// limited both per response and in total, so that faulty servers can't crowd out the
// responses of healthy ones.

// MemoryBudget limits the bytes of response bodies that are being read. Fields that are
// zero take DefaultPerResponse and DefaultTotal. It is safe for concurrent use.
type MemoryBudget struct {
	PerResponse int64 // of the largest body
	Total       int64 // of the buffers for all bodies, without the first freeBytes of each

	mu       sync.Mutex
	reserved int64 // bytes in use of Total
}

// Limits of a MemoryBudget and of its buffers, in bytes.
const (
	DefaultPerResponse = MaxResponseBytes
	DefaultTotal       = 4 * MaxResponseBytes
	// freeBytes of each response are not counted, so that small responses can be read
	// while large ones use up the budget.
	freeBytes = 64 << 10
	// firstBuffer is the initial buffer size for a response of unknown length.
	firstBuffer = 2 << 10
)

// ResponseTooLargeError says that reading a response was stopped because of its size.
type ResponseTooLargeError struct {
	Read         int64 // bytes read until then
	Limit        int64 // limit of one response
	TotalReached bool  // the total limit was reached, not that of one response
}

func (e *ResponseTooLargeError) Error() string {
	if e.TotalReached {
		return "answers take too many bytes"
	}
	return "answer is too large"
}

// ReadAll reads a response body of up to MaxResponseBytes.
func ReadAll(body io.Reader) ([]byte, error) {
	return new(MemoryBudget).ReadAll(body, -1)
}

func (b *MemoryBudget) perResponse() int64 {
	if b.PerResponse <= 0 {
		return DefaultPerResponse
	}
	return b.PerResponse
}

// reserve adds n bytes to those in use. It returns false, and adds none, if the total
// would exceed the limit.
func (b *MemoryBudget) reserve(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := b.Total
	if total <= 0 {
		total = DefaultTotal
	}
	if b.reserved+n > total {
		return false
	}
	b.reserved += n
	return true
}

func (b *MemoryBudget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved -= n
}

// ReadAll reads a response body. The length is that of the Content-Length header,
// negative if unknown. The error is a *ResponseTooLargeError or an error of the body.
func (b *MemoryBudget) ReadAll(body io.Reader, length int64) ([]byte, error) {
	limit := b.perResponse()
	if length > limit {
		return nil, &ResponseTooLargeError{Limit: limit}
	}
	size := int64(firstBuffer)
	if length >= 0 {
		size = min(length, freeBytes) + 1 // one more byte, to read io.EOF without growing
	}
	data := make([]byte, 0, size)
	reserved := int64(0)
	defer func() { b.release(reserved) }()
	for {
		if len(data) == cap(data) {
			grown := min(2*int64(cap(data)), limit+1)
			if more := grown - freeBytes - reserved; more > 0 {
				if !b.reserve(more) {
					return nil, &ResponseTooLargeError{Read: int64(len(data)), Limit: limit, TotalReached: true}
				}
				reserved += more
			}
			data = append(make([]byte, 0, grown), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > limit:
			return nil, &ResponseTooLargeError{Read: int64(len(data)), Limit: limit}
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}
