package lovageresource

// WriteOutcome says what became of an operator's change.
type WriteOutcome string

// Outcomes of an operator's change.
const (
	// Accepted: the change is committed; it is never reverted except by a later change.
	Accepted WriteOutcome = "accepted"
	// Unchanged: the resource already is as declared; nothing was written.
	Unchanged WriteOutcome = "unchanged"
	// Conflict: nothing was written, because the resource has another revision than the change is based on.
	Conflict WriteOutcome = "conflict"
	// Unavailable: nothing was written, because the table could not be used.
	Unavailable WriteOutcome = "unavailable"
	// Ambiguous: it is not known whether the change was written. Read the resource before trying again.
	Ambiguous WriteOutcome = "ambiguous"
)

// WriteResult is the definite result of an operator's change.
type WriteResult struct {
	Outcome  WriteOutcome `json:"outcome"`
	Revision int64        `json:"revision,omitempty"` // of the resource now: after an accepted change or in conflict with it
	Reason   string       `json:"reason,omitempty"`
}
