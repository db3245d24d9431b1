package lovagemessage

import (
	"time"

	"github.com/cockroachdb/errors"

	"lovagestack/lovagejob"
)

// FromSubmission converts a submission to its protobuf message.
func FromSubmission(sub *lovagejob.Submission) *Submission {
	out := &Submission{
		Key:                  sub.Key.String(),
		Service:              sub.Service,
		Team:                 sub.Team,
		Repeatable:           sub.Repeatable,
		Deadline:             sub.Deadline.UnixMilli(),
		DeclaredRunTimeNanos: int64(sub.DeclaredRunTime),
		DeclaredCores:        sub.DeclaredCores,
		DeclaredMemoryBytes:  sub.DeclaredMemoryBytes,
		DeclaredAccelerators: sub.DeclaredAccelerators,
		Tasks:                make([][]byte, len(sub.Tasks)),
	}
	for i := range sub.Tasks {
		out.Tasks[i] = sub.Tasks[i].Payload
	}
	return out
}

// ToSubmission converts a protobuf message to a submission. It returns an error if the key is invalid; lovagejob validates
// the rest.
func ToSubmission(msg *Submission) (lovagejob.Submission, error) {
	key, err := lovagejob.ParseKey(msg.GetKey())
	if err != nil {
		return lovagejob.Submission{}, errors.Wrap(err, "decode a submission from a peer")
	}
	sub := lovagejob.Submission{
		Key:                  key,
		Service:              msg.GetService(),
		Team:                 msg.GetTeam(),
		Repeatable:           msg.GetRepeatable(),
		Deadline:             time.UnixMilli(msg.GetDeadline()).UTC(),
		DeclaredRunTime:      time.Duration(msg.GetDeclaredRunTimeNanos()),
		DeclaredCores:        msg.GetDeclaredCores(),
		DeclaredMemoryBytes:  msg.GetDeclaredMemoryBytes(),
		DeclaredAccelerators: msg.GetDeclaredAccelerators(),
		Tasks:                make([]lovagejob.Task, len(msg.GetTasks())),
	}
	for i, payload := range msg.GetTasks() {
		sub.Tasks[i].Payload = payload
	}
	return sub, nil
}

// FromAnswer converts an answer to its protobuf message.
func FromAnswer(ans *lovagejob.Answer) *Answer {
	out := &Answer{
		Key:     ans.Key.String(),
		Outcome: string(ans.Outcome),
		Reason:  ans.Reason,
		Tasks:   int32(ans.Tasks),
		Started: int32(ans.Started),
		Results: make([]*TaskResult, len(ans.Results)),
	}
	if !ans.RetryAt.IsZero() {
		out.RetryAt = ans.RetryAt.UnixMilli()
	}
	for i := range ans.Results {
		res := &ans.Results[i]
		out.Results[i] = &TaskResult{
			Task: int32(res.Task), Worker: res.Worker, Status: int32(res.Status), Body: res.Body,
		}
	}
	return out
}

// ToAnswer converts a protobuf message to an answer. It returns an error if the key or the outcome is invalid.
func ToAnswer(msg *Answer) (lovagejob.Answer, error) {
	key, err := lovagejob.ParseKey(msg.GetKey())
	if err != nil {
		return lovagejob.Answer{}, errors.Wrap(err, "decode an answer from a peer")
	}
	ans := lovagejob.Answer{
		Key:     key,
		Outcome: lovagejob.Outcome(msg.GetOutcome()),
		Reason:  msg.GetReason(),
		Tasks:   int(msg.GetTasks()),
		Started: int(msg.GetStarted()),
	}
	if !ans.Outcome.Valid() {
		return lovagejob.Answer{}, errors.Newf("decode an answer from a peer: outcome %q is not known", msg.GetOutcome())
	}
	if msg.GetRetryAt() != 0 {
		ans.RetryAt = time.UnixMilli(msg.GetRetryAt()).UTC()
	}
	if len(msg.GetResults()) > 0 {
		ans.Results = make([]lovagejob.TaskResult, len(msg.GetResults()))
	}
	for i, res := range msg.GetResults() {
		ans.Results[i] = lovagejob.TaskResult{
			Task: int(res.GetTask()), Worker: res.GetWorker(), Status: int(res.GetStatus()), Body: res.GetBody(),
		}
	}
	return ans, nil
}
