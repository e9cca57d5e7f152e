package object_test

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
)

// fixedResponse responds to every request with the same status and body.
type fixedResponse struct {
	status int
	ran    string // value of rest.HeaderRan
	body   []byte
}

func (c fixedResponse) RoundTrip(request *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: c.status,
		Header:     http.Header{rest.HeaderRan: {c.ran}},
		Body:       io.NopCloser(bytes.NewReader(c.body)),
		Request:    request,
	}, nil
}

// FuzzPut responds to a write with arbitrary data. The write may count as without effect
// only if the status shows that, and as done only for a response about this write.
func FuzzPut(f *testing.F) {
	f.Add(200, "", []byte(`{"key":"a","version":8}`))
	f.Add(200, "", []byte(`{"key":"b","version":8}`))
	f.Add(200, "", []byte(`{"key":"a","version":7}`))
	f.Add(409, "", []byte(`{"code":"conflict","have":9}`))
	f.Add(429, "no", []byte(`{"after":99999999999999}`))
	f.Add(500, "", []byte(`null`))
	f.Add(503, "no", []byte(`{"code":[]}`))
	f.Add(302, "", []byte(``))
	f.Fuzz(func(t *testing.T, status int, ran string, body []byte) {
		if status < 200 || status > 599 {
			t.Skip()
		}
		fake := &http.Client{Transport: fixedResponse{status, ran, body}}
		client := &object.Client{Base: "http://127.0.0.1:1", HTTP: fake}
		stored, err := client.Put(t.Context(), "a", []byte("v"), 7)
		_, unknown := errors.AsType[*object.UnknownError](err)
		switch {
		case err == nil:
			if status/100 != 2 || stored.Key != "a" || stored.Version <= 7 {
				t.Fatalf("status %d and %v counted as done", status, stored)
			}
		case unknown:
		case status/100 == 2, status/100 == 3:
			t.Fatalf("status %d counted as without effect: %v", status, err)
		case status >= 500 && ran != "no":
			t.Fatalf("status %d counted as without effect: %v", status, err)
		}
	})
}

// FuzzWatch responds to a watch with arbitrary data. The objects that the client returns
// must be under the prefix and after the requested revision, so that no old state is
// returned.
func FuzzWatch(f *testing.F) {
	f.Add([]byte(`{"objects":[{"key":"a/x","version":8}],"revision":8}`))
	f.Add([]byte(`{"objects":[{"key":"b/x","version":8}],"revision":8}`))
	f.Add([]byte(`{"objects":[{"key":"a/x","version":7}],"revision":8}`))
	f.Add([]byte(`{"objects":[{"key":"a/x","version":9}],"revision":8}`))
	f.Add([]byte(`{"revision":3}`))
	f.Add([]byte(`{"objects":null,"revision":7}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		fake := &http.Client{Transport: fixedResponse{http.StatusOK, "", body}}
		client := &object.Client{Base: "http://127.0.0.1:1", HTTP: fake}
		batch, err := client.Watch(t.Context(), "a/", 7)
		if err != nil {
			if _, outage := errors.AsType[*object.OutageError](err); !outage {
				t.Fatalf("got %v", err)
			}
			return
		}
		for _, o := range batch.Objects {
			if !strings.HasPrefix(o.Key, "a/") || o.Version <= 7 || o.Version > batch.Revision {
				t.Fatalf("returned %v of revision %d", o, batch.Revision)
			}
		}
		if batch.Revision < 7 {
			t.Fatalf("returned the old revision %d", batch.Revision)
		}
	})
}
