package server

import (
	"testing"

	"github.com/hyssopwall/hyssopwall/internal/standin/messages"
)

// FuzzMessages checks that decoding arbitrary bytes as a message of this package is
// safe, and that a message that decodes survives another encoding.
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
