package object_test

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
)

// canned answers every request with the same status and body.
type canned struct {
	status int
	ran    string
	body   []byte
}

func (c canned) RoundTrip(request *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: c.status,
		Header:     http.Header{rest.HeaderRan: {c.ran}},
		Body:       io.NopCloser(bytes.NewReader(c.body)),
		Request:    request,
	}, nil
}

// FuzzPut answers a write with anything. A write counts as without effect only
// for a status that says so, and as done only for an answer about this write.
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
		fake := &http.Client{Transport: canned{status, ran, body}}
		client := &object.Client{Base: "http://127.0.0.1:1", HTTP: fake}
		stored, err := client.Put(t.Context(), "a", []byte("v"), 7)
		_, unknown := errors.AsType[*object.UnknownError](err)
		switch {
		case err == nil:
			if status/100 != 2 || stored.Key != "a" || stored.Version <= 7 {
				t.Fatalf("took status %d and %v as done", status, stored)
			}
		case unknown:
		case status/100 == 2, status/100 == 3:
			t.Fatalf("took status %d as without effect: %v", status, err)
		case status >= 500 && ran != "no":
			t.Fatalf("took status %d as without effect: %v", status, err)
		}
	})
}
