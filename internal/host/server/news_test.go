package server

import (
	"testing"
	"time"
)

// TestNewsDoNotEcho has two hosts without the platform tell each other of
// their last news; neither may count as fresh for it.
func TestNewsDoNotEcho(t *testing.T) {
	last := time.Now().Add(-2 * freshFor)
	one, two := &peers{news: last}, &peers{}
	for range 3 {
		two.learnNews(one.lastNews())
		one.learnNews(two.lastNews())
	}
	if !one.cutOff().Equal(last) || !two.cutOff().Equal(last) {
		t.Fatalf("cut off since %v and %v, want %v", one.cutOff(), two.cutOff(), last)
	}
	two.heard()
	one.learnNews(two.lastNews())
	if !one.cutOff().IsZero() {
		t.Fatal("cut off although a peer has news")
	}
}
