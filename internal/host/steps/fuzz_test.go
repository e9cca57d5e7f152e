package steps

import (
	"testing"

	"github.com/hyssopwall/hyssopwall/internal/standin/messages"
)

// FuzzMessages decodes arbitrary bytes as each message of the package. It checks that a
// message that decodes also encodes again, to the same bytes each time.
func FuzzMessages(f *testing.F) {
	f.Add([]byte{0xa1, 0x01, 0x61, 'h'})
	f.Add([]byte{0xa0})
	f.Add([]byte{0xf6}) // null
	f.Add([]byte{0xf7}) // undefined
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, check := range []func([]byte) error{
			messages.RoundTrip[*openCall], messages.RoundTrip[*pullCall], messages.RoundTrip[*statusCall],
			messages.RoundTrip[status], messages.RoundTrip[copyCall], messages.RoundTrip[copyReply],
		} {
			if err := check(data); err != nil {
				t.Fatal(err)
			}
		}
	})
}
