package lovagebackend

// Headers of the worker protocol.
const (
	HeaderTask       = "Lovage-Task"        // request: key and task index; a worker may echo it in the reply
	HeaderEpoch      = "Lovage-Epoch"       // request: epoch of the key's range
	HeaderDeadline   = "Lovage-Deadline"    // request: timestamp in RFC 3339
	HeaderNotStarted = "Lovage-Not-Started" // reply with status 503: "true" if the task was not started
	HeaderLeaving    = "Lovage-Leaving"     // reply: "true" if the worker is leaving
)

// TaskPath returns the URL path for starting a task of the service.
func TaskPath(service string) string { return "/v1/services/" + service + "/tasks" }
