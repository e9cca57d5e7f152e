package form

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded as a string such as "90s".
type Duration time.Duration

// UnmarshalText parses a duration and rejects negative ones.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration", text)
	}
	if parsed < 0 {
		return fmt.Errorf("%q is negative", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText formats the duration for UnmarshalText.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Or returns the duration, or fallback when it is zero.
func (d Duration) Or(fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return time.Duration(d)
}

// Set sets the duration to value.
func (d *Duration) Set(value time.Duration) { *d = Duration(value) }
