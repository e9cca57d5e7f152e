package demo_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/hyssopwall/hyssopwall/examples"
	"github.com/hyssopwall/hyssopwall/internal/host/demo"
	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
	"github.com/hyssopwall/hyssopwall/internal/site/event"
	"github.com/hyssopwall/hyssopwall/internal/standin/caller"
)

// BenchmarkCall compares, in one run, calls to a service made directly, through its home
// host, and through another host of the zone. Through a host, two other hosts store the
// usage before the answer ends.
func BenchmarkCall(b *testing.B) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	site, err := demo.Start(ctx, demo.Options{
		Document: examples.Forge, HostsPerZone: 2,
		Servers: map[string]int{"quote-llm": 4, "orderbook-app": 4, "quote-scorer": 1},
		Scorers: map[string]bool{"quote-scorer": true},
		Log:     event.Log{Sink: func(event.Entry, []any) {}},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer site.Close()
	home, other := homeAndOther(site)
	for _, route := range []struct{ name, base, path string }{
		{"direct", directURL(site), "/status"},
		{"one host", home, "/v1/services/orderbook-app/status"},
		{"two hosts", other, "/v1/services/orderbook-app/status"},
	} {
		b.Run(route.name, func(b *testing.B) {
			client := &caller.Client{Hosts: []string{route.base}, Key: "demo-hcm-south-foremen"}
			for b.Loop() {
				if _, err := client.Do(b.Context(), rest.Call{Method: http.MethodPost, Path: route.path, Body: []byte("17")}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// homeAndOther returns the URLs of the home host of a backend server of the service and of
// another host in the same zone.
func homeAndOther(site *demo.Site) (home, other string) {
	for name, host := range site.Hosts() {
		for _, server := range host.Status().Servers {
			if server.Pool == "orderbook-app" {
				home = "http://" + host.Address()
				zone := name[:strings.LastIndexByte(name, '-')]
				for _, peer := range site.HostNames(zone) {
					if peer != name {
						other = "http://" + site.Host(peer).Address()
					}
				}
			}
		}
	}
	return home, other
}

// directURL returns the URL of a backend server of the service.
func directURL(site *demo.Site) string {
	for name, service := range site.Supplier.Services() {
		if strings.HasPrefix(name, "orderbook-app") {
			return service.URL()
		}
	}
	return ""
}
