package rest

import (
	"errors"
	"io"
	"sync"
)

// A server in trouble may send bytes without end. What a process holds of answers
// is bounded for each answer and for all together, so that such servers can't
// crowd out the answers of sound ones.

// MemoryBudget bounds the bytes of answers that are read at once. The zero value
// allows DefaultEach and no more than DefaultAll. It is safe for concurrent use.
type MemoryBudget struct {
	PerResponse int64 // bytes of one answer
	Total       int64 // bytes of all answers beyond the first freeBytes of each

	mu   sync.Mutex
	held int64
}

// Bounds of an Allowance.
const (
	DefaultPerResponse = MaxResponseBytes
	DefaultTotal       = 4 * MaxResponseBytes
	// freeBytes of each answer are not counted, so that small answers are read
	// while large ones use all that is allowed.
	freeBytes = 64 << 10
	// firstBuffer is the size of the buffer for an answer of unknown length.
	firstBuffer = 2 << 10
)

// ResponseTooLargeError says that an answer was given up for its size. Read is the
// number of bytes that were taken of it.
type ResponseTooLargeError struct {
	Read         int64
	Limit        int64
	TotalReached bool // the bound of all answers was reached, not that of one
}

func (e *ResponseTooLargeError) Error() string {
	if e.TotalReached {
		return "answers take too many bytes"
	}
	return "answer is too large"
}

// ReadAll reads an answer's body up to MaxAnswer.
func ReadAll(body io.Reader) ([]byte, error) {
	return new(MemoryBudget).ReadAll(body, -1)
}

func (a *MemoryBudget) each() int64 {
	if a.PerResponse <= 0 {
		return DefaultPerResponse
	}
	return a.PerResponse
}

// take counts more bytes in; false when there is no room for them.
func (a *MemoryBudget) take(n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := a.Total
	if all <= 0 {
		all = DefaultTotal
	}
	if a.held+n > all {
		return false
	}
	a.held += n
	return true
}

func (a *MemoryBudget) give(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held -= n
}

// ReadAll reads an answer's body of a stated length, negative for unknown. The
// error is a *LargeAnswerError or that of the body.
func (a *MemoryBudget) ReadAll(body io.Reader, length int64) ([]byte, error) {
	each := a.each()
	if length > each {
		return nil, &ResponseTooLargeError{Limit: each}
	}
	size := int64(firstBuffer)
	if length >= 0 {
		size = min(length, freeBytes) + 1 // room for the end
	}
	data := make([]byte, 0, size)
	taken := int64(0)
	defer func() { a.give(taken) }()
	for {
		if len(data) == cap(data) {
			grown := min(2*int64(cap(data)), each+1)
			if over := grown - freeBytes - taken; over > 0 {
				if !a.take(over) {
					return nil, &ResponseTooLargeError{Read: int64(len(data)), Limit: each, TotalReached: true}
				}
				taken += over
			}
			data = append(make([]byte, 0, grown), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > each:
			return nil, &ResponseTooLargeError{Read: int64(len(data)), Limit: each}
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}
