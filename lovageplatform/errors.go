package lovageplatform

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Effect says whether a failed request can have taken effect on the platform.
type Effect string

// Effects of a failed request.
const (
	// EffectNotSent: no byte of the request was written.
	EffectNotSent Effect = "notSent"
	// EffectRefused: the platform answered that it did not carry out the request.
	EffectRefused Effect = "refused"
	// EffectAmbiguous: the request may have taken effect, or may still take effect later.
	EffectAmbiguous Effect = "ambiguous"
)

// Targets for errors.Is. The first three match an [Error] of the effect of the same name.
var (
	ErrNotSent   = errors.New("request was not sent")
	ErrRefused   = errors.New("request was refused")
	ErrAmbiguous = errors.New("request may have taken effect")
	// ErrNotFound is returned by GetObject for an object that does not exist.
	ErrNotFound = errors.New("object does not exist")
	// ErrRowDeleted is returned by a Writer whose row operation/<name> was deleted: others take its process for ended.
	ErrRowDeleted = errors.New("the row of the writer was deleted")
)

// Error is a failed request to the platform.
type Error struct {
	Operation string // what was attempted, such as "commit" or "read"
	Effect    Effect
	Status    int // HTTP status of the reply, 0 without a reply
	Err       error
}

// Error returns the operation, the effect and the cause.
func (er *Error) Error() string {
	if er.Status != 0 {
		return fmt.Sprintf("platform %s (%s, status %d): %v", er.Operation, er.Effect, er.Status, er.Err)
	}
	return fmt.Sprintf("platform %s (%s): %v", er.Operation, er.Effect, er.Err)
}

// Unwrap returns the cause.
func (er *Error) Unwrap() error { return er.Err }

// Is reports whether target is the sentinel of the error's effect.
func (er *Error) Is(target error) bool {
	switch er.Effect {
	case EffectNotSent:
		return target == ErrNotSent
	case EffectRefused:
		return target == ErrRefused
	case EffectAmbiguous:
		return target == ErrAmbiguous
	}
	return false
}

// effectOf returns the effect of an error. Errors of another type come from tables that do not classify, so they are
// ambiguous.
func effectOf(err error) Effect {
	var er *Error
	if errors.As(err, &er) {
		return er.Effect
	}
	return EffectAmbiguous
}

// conclude returns an error of the given effect for a transaction as a whole. It keeps only the text of err, because
// the effect of a single attempt must not be found by errors.Is in the error of the transaction, and ErrRowDeleted.
func conclude(operation string, effect Effect, err error) error {
	cause := errors.Newf("%v", err)
	if errors.Is(err, ErrRowDeleted) {
		cause = err // made by the Writer, without an effect of its own
	}
	return &Error{Operation: operation, Effect: effect, Err: cause}
}
