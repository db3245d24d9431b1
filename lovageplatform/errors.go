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

// Targets for errors.Is. The first three match an [Error] with the effect of the same name.
var (
	ErrNotSent   = errors.New("request was not sent")
	ErrRefused   = errors.New("request was refused")
	ErrAmbiguous = errors.New("request may have taken effect")
	// ErrNotFound is returned by GetObject for an object that does not exist.
	ErrNotFound = errors.New("object does not exist")
	// ErrRowDeleted is returned by a Writer if an instance deleted the writer's row operation/<name>, assuming that
	// the writer's process had ended.
	ErrRowDeleted = errors.New("the row of the writer was deleted")
)

// Error describes a failed request to the platform.
type Error struct {
	Operation string // such as "commit" or "read"
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

// Is reports whether target is the sentinel error of er's effect.
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

// effectOf returns the effect of err. An error that is no *Error comes from a Table that does not report effects and
// counts as ambiguous.
func effectOf(err error) Effect {
	var er *Error
	if errors.As(err, &er) {
		return er.Effect
	}
	return EffectAmbiguous
}

// transactionError returns an error with the given effect for a whole transaction. It keeps only the text of err, so
// that errors.Is does not match the effect of a single attempt. ErrRowDeleted still matches.
func transactionError(operation string, effect Effect, err error) error {
	cause := errors.Newf("%v", err)
	if errors.Is(err, ErrRowDeleted) {
		cause = err // created by the Writer, without an effect of its own
	}
	return &Error{Operation: operation, Effect: effect, Err: cause}
}
