package rest

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// BenchmarkDo measures one call over a reused loopback connection, including the server.
func BenchmarkDo(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("{}"))
	}))
	defer server.Close()
	caller := Caller{Base: server.URL, HTTP: NewClient()}
	for name, call := range map[string]Call{
		"get":  {Method: http.MethodGet, Path: "/"},
		"post": {Method: http.MethodPost, Path: "/", Body: make([]byte, 1024)},
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := caller.Do(b.Context(), call); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
