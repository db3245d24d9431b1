package lovageconfig

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration that is encoded in JSON and TOML as a string such as "250ms". encoding/json writes a
// time.Duration in nanoseconds.
type Duration time.Duration

// String formats the duration like [time.Duration.String].
func (du Duration) String() string { return time.Duration(du).String() }

// MarshalText encodes the duration like String.
func (du Duration) MarshalText() ([]byte, error) { return []byte(du.String()), nil }

// UnmarshalText accepts the syntax of [time.ParseDuration].
func (du *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%.100q is not a duration such as \"250ms\"", text)
	}
	*du = Duration(parsed)
	return nil
}
