package engine

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"strings"
	"testing"
)

// FuzzStream feeds arbitrary bytes to the decoder of response streams. A response is
// accepted as complete only if its digest matches; any other input must give a
// BrokenError.
func FuzzStream(f *testing.F) {
	sum := sha256.Sum256([]byte("a b "))
	last := `{"id":"r","done":true,"tokens":2,"digest":"` + hex.EncodeToString(sum[:]) + `"}`
	f.Add([]byte(`{"id":"r","text":"a b ","tokens":2,"versions":[1]}` + "\n" + last + "\n"))
	f.Add([]byte(`{"id":"r","text":"a b "}` + "\n" + last + last))
	f.Add([]byte(`{"id":"s"}`))
	f.Add([]byte(`{"id":"r","tokens":-1}`))
	f.Add([]byte(`{"id":"r","tokens":5}` + "\n" + `{"id":"r","tokens":5}`))
	f.Add([]byte("{\"id\":\"r\"}\nnull\n[]\n"))
	f.Add([]byte(last[:20]))
	f.Fuzz(func(t *testing.T, data []byte) {
		body := io.NopCloser(bytes.NewReader(data))
		s := newStream(Request{ID: "r", MaxTokens: 8}, body, func() {})
		defer func() { _ = s.Close() }()
		var text strings.Builder
		done := false
		for {
			event, err := s.Next()
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				if broken, ok := errors.AsType[*BrokenError](err); !ok || !broken.Sent || done {
					t.Fatalf("got %v after done %t", err, done)
				}
				return
			}
			if done || event.ID != "r" {
				t.Fatalf("got event %v after done %t", event, done)
			}
			text.WriteString(event.Text)
			if event.Done {
				done = true
				want := sha256.Sum256([]byte(text.String()))
				if event.Digest != hex.EncodeToString(want[:]) || event.Tokens > 8 {
					t.Fatalf("accepted %v as complete", event)
				}
			}
		}
		if !done {
			t.Fatal("ended without the last event")
		}
	})
}
