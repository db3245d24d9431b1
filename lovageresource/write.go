package lovageresource

// WriteOutcome is the outcome of an operator's change.
type WriteOutcome string

// Outcomes of an operator's change.
const (
	// WriteAccepted: the change is committed; only a later change can revert it.
	WriteAccepted WriteOutcome = "accepted"
	// WriteUnchanged: the resource already is as declared; nothing was written.
	WriteUnchanged WriteOutcome = "unchanged"
	// WriteConflict: nothing was written, because the resource is not at the revision that the change is based on.
	WriteConflict WriteOutcome = "conflict"
	// WriteUnavailable: nothing was written, because the table could not be used.
	WriteUnavailable WriteOutcome = "unavailable"
	// WriteAmbiguous: it is unknown whether the change was written. Read the resource before retrying.
	WriteAmbiguous WriteOutcome = "ambiguous"
)

// WriteResult is the result of an operator's change.
type WriteResult struct {
	Outcome WriteOutcome `json:"outcome"`
	// Revision is that of the accepted change, or of the resource if Outcome is unchanged or conflict; otherwise 0.
	Revision int64  `json:"revision,omitempty"`
	Reason   string `json:"reason,omitempty"`
}
