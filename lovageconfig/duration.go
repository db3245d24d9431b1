package lovageconfig

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration whose form in JSON and TOML is a string such as "250ms". encoding/json would write a
// time.Duration as a number of nanoseconds.
type Duration time.Duration

// String returns the form of time.Duration.
func (du Duration) String() string { return time.Duration(du).String() }

// MarshalText returns the form of time.Duration.
func (du Duration) MarshalText() ([]byte, error) { return []byte(du.String()), nil }

// UnmarshalText accepts the form of time.ParseDuration.
func (du *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is not a duration such as \"250ms\"", text)
	}
	*du = Duration(parsed)
	return nil
}
