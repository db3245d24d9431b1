package lovagefake

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// maxControlBytes is the maximum body size of a control request.
const maxControlBytes = 1 << 20

// Duration is a time.Duration that is encoded in JSON as a string such as "120ms".
type Duration time.Duration

// MarshalText returns the text form of time.Duration.
func (du Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(du).String()), nil }

// UnmarshalText parses the text form of time.Duration.
func (du *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*du = Duration(parsed)
	return nil
}

// Set parses the text form for go-arg and flag.
func (du *Duration) Set(s string) error { return du.UnmarshalText([]byte(s)) }

// String returns the text form.
func (du Duration) String() string { return time.Duration(du).String() }

func writeJSON(rw http.ResponseWriter, status int, value any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(value) // the caller may have disconnected
}

func writeError(rw http.ResponseWriter, status int, err error) {
	writeJSON(rw, status, map[string]string{"error": err.Error()})
}

// decodeStrict decodes a control request. It rejects unknown fields, so that a misspelt fault is not ignored.
func decodeStrict(rw http.ResponseWriter, req *http.Request, out any) bool {
	de := json.NewDecoder(http.MaxBytesReader(rw, req.Body, maxControlBytes))
	de.DisallowUnknownFields()
	if err := de.Decode(out); err != nil {
		writeError(rw, http.StatusBadRequest, errors.Wrap(err, "decode request"))
		return false
	}
	return true
}
