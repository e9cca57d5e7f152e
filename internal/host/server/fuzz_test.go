package server

import (
	"testing"

	"github.com/hyssopwall/hyssopwall/internal/standin/messages"
)

func FuzzMessages(f *testing.F) {
	f.Add([]byte{0xa1, 0x01, 0x61, 'h'})
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, check := range []func([]byte) error{
			messages.RoundTrip[hello], messages.RoundTrip[enginesAsk], messages.RoundTrip[enginesTold], messages.RoundTrip[commandCall],
		} {
			if err := check(data); err != nil {
				t.Fatal(err)
			}
		}
	})
}
