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

// BenchmarkCall compares a call to a plain service made directly, through its
// home host, and through another host of the zone, in one run. Through a host,
// the usage is stored by two other hosts before the answer ends.
func BenchmarkCall(b *testing.B) {
	ctx, stop := context.WithTimeout(context.Background(), patience)
	defer stop()
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
	for _, way := range []struct{ name, base, path string }{
		{"direct", direct(site), "/status"},
		{"one host", home, "/v1/services/orderbook-app/status"},
		{"two hosts", other, "/v1/services/orderbook-app/status"},
	} {
		b.Run(way.name, func(b *testing.B) {
			client := &caller.Client{Hosts: []string{way.base}, Key: "demo-hcm-south-foremen"}
			for b.Loop() {
				if _, err := client.Do(b.Context(), rest.Call{Method: http.MethodPost, Path: way.path, Body: []byte("17")}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// homeAndOther returns a host that is home to a backend server of the service,
// and another host of its zone that is not.
func homeAndOther(site *demo.Site) (home, other string) {
	for name, host := range site.Hosts() {
		for _, server := range host.Status().Servers {
			if server.Pool == "orderbook-app" {
				home = "http://" + host.Address()
				zone := name[:strings.LastIndexByte(name, '-')]
				for _, mate := range site.HostNames(zone) {
					if mate != name {
						other = "http://" + site.Host(mate).Address()
					}
				}
			}
		}
	}
	return home, other
}

func direct(site *demo.Site) string {
	for name, service := range site.Supplier.Services() {
		if strings.HasPrefix(name, "orderbook-app") {
			return service.URL()
		}
	}
	return ""
}
