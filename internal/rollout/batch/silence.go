package batch

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/backend/pool"
	"github.com/hyssopwall/hyssopwall/internal/backend/silence"
	"github.com/hyssopwall/hyssopwall/internal/entry/forward"
)

// startStream starts a generation that ends with a *silence.ZoneError when the server's zone
// is declared silent. The generation then continues from its text in another zone, without a
// failure of the item or of the server.
func (b *Batches) startStream(ctx context.Context, server pool.Server, request forward.Request) (Stream, error) {
	if b.Zones == nil {
		return b.Engine.Generate(ctx, server, request)
	}
	ctx, cancel := context.WithCancel(ctx)
	watched := b.Zones.Begin(server.Zone, server.Name, cancel)
	stream, err := b.Engine.Generate(ctx, server, request)
	answered := isError[*FailedRunError](err) || forward.IsAnswer(err)
	if answered {
		b.Zones.Arrived(time.Now(), server.Zone)
	}
	if err == nil {
		return &zoneStream{Stream: stream, watched: watched, cancel: cancel}, nil
	}
	defer cancel()
	defer watched.End()
	if answered {
		return nil, err
	}
	if silent := watched.Err(); silent != nil {
		return nil, silent
	}
	return nil, err
}

// zoneStream reports the events of a stream to a silence.Watch.
type zoneStream struct {
	Stream
	watched *silence.Stream
	cancel  func()
}

// Next implements Stream.
func (s *zoneStream) Next() (Event, error) {
	next, err := s.Stream.Next()
	switch {
	case err == nil && next.Number == 0:
		return next, nil // from the head of the response, which startStream has reported
	case err == nil || errors.Is(err, io.EOF):
		s.watched.Event(time.Now())
		return next, err
	}
	if silent := s.watched.Err(); silent != nil {
		return Event{}, silent
	}
	return next, err
}

// Close implements Stream.
func (s *zoneStream) Close() {
	s.watched.End()
	s.Stream.Close()
	s.cancel()
}
