package lovagejob

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxKeyLength is the maximum length in bytes of the text form of a key, so that a key can be a path segment and a header
// value.
const maxKeyLength = 128

// maxNameLength is the maximum length in bytes of the names that ValidName accepts.
const maxNameLength = 48

// Key identifies a submission. The owner of the key range mints the key, so the range, the epoch and the mint time come
// from the owner and not from the caller.
type Key struct {
	DataCentre string    // home data centre; its instances own the range
	Range      int       // index of the key range within the data centre
	Epoch      int64     // epoch of the range when the key was minted
	Minted     time.Time // mint time on the owner's clock, millisecond precision
	Nonce      string    // distinguishes keys minted in the same millisecond
}

// String returns the text form "dataCentre.range.epoch.mintedMillis.nonce".
func (ke Key) String() string {
	var bu strings.Builder
	bu.Grow(len(ke.DataCentre) + len(ke.Nonce) + 40)
	bu.WriteString(ke.DataCentre)
	bu.WriteByte('.')
	bu.WriteString(strconv.Itoa(ke.Range))
	bu.WriteByte('.')
	bu.WriteString(strconv.FormatInt(ke.Epoch, 10))
	bu.WriteByte('.')
	bu.WriteString(strconv.FormatInt(ke.Minted.UnixMilli(), 10))
	bu.WriteByte('.')
	bu.WriteString(ke.Nonce)
	return bu.String()
}

// IsZero reports whether the key is unset.
func (ke Key) IsZero() bool { return ke == Key{} }

// MarshalText encodes the key in its text form; the zero key becomes an empty text.
func (ke Key) MarshalText() ([]byte, error) {
	if ke.IsZero() {
		return nil, nil
	}
	return []byte(ke.String()), nil
}

// UnmarshalText decodes the text form; an empty text decodes to the zero key.
func (ke *Key) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*ke = Key{}
		return nil
	}
	parsed, err := ParseKey(string(text))
	if err != nil {
		return err
	}
	*ke = parsed
	return nil
}

// ParseKey decodes the text form of a key. The error names the invalid part. Only the canonical form is accepted, so
// two texts never denote the same key.
func ParseKey(s string) (Key, error) {
	if len(s) > maxKeyLength {
		return Key{}, errors.Newf("key is %d bytes long, the limit is %d", len(s), maxKeyLength)
	}
	parts := strings.Split(s, ".")
	if len(parts) != 5 {
		return Key{}, errors.Newf("key %q has %d parts, want 5: dataCentre.range.epoch.mintedMillis.nonce", s, len(parts))
	}
	if !ValidName(parts[0]) {
		return Key{}, errors.Newf("key %q: %q is not a data centre name", s, parts[0])
	}
	index, err := strconv.ParseUint(parts[1], 10, 31)
	if err != nil {
		return Key{}, errors.Newf("key %q: range %q is not a whole number", s, parts[1])
	}
	epoch, err := strconv.ParseUint(parts[2], 10, 63)
	if err != nil || epoch == 0 {
		return Key{}, errors.Newf("key %q: epoch %q is not a positive whole number", s, parts[2])
	}
	millis, err := strconv.ParseUint(parts[3], 10, 52)
	if err != nil {
		return Key{}, errors.Newf("key %q: mint time %q is not in milliseconds since 1970", s, parts[3])
	}
	if !validNonce(parts[4]) {
		return Key{}, errors.Newf("key %q: nonce %q is not 1 to 32 letters or digits", s, parts[4])
	}
	ke := Key{
		DataCentre: parts[0],
		Range:      int(index),
		Epoch:      int64(epoch),
		Minted:     time.UnixMilli(int64(millis)).UTC(),
		Nonce:      parts[4],
	}
	if ke.String() != s {
		return Key{}, errors.Newf("key %q is not in canonical form, want %q", s, ke.String())
	}
	return ke, nil
}

// ValidName reports whether s can name a data centre, instance, worker, service, pool or team: 1 to 48 lower-case
// letters, digits and inner hyphens.
func ValidName(s string) bool {
	if s == "" || len(s) > maxNameLength || s[0] == '-' || s[len(s)-1] == '-' {
		return false
	}
	for i := range len(s) {
		if c := s[i]; !isLowerAlphanumeric(c) && c != '-' {
			return false
		}
	}
	return true
}

func validNonce(s string) bool {
	if s == "" || len(s) > 32 {
		return false
	}
	for i := range len(s) {
		if !isLowerAlphanumeric(s[i]) {
			return false
		}
	}
	return true
}

func isLowerAlphanumeric(c byte) bool {
	return 'a' <= c && c <= 'z' || '0' <= c && c <= '9'
}
