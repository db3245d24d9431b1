package lovagemessage

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovagejob"
)

// Guards against a field that a conversion loses, so that a job or an answer changes between instances.
func TestRoundTrips(t *testing.T) {
	key := lovagejob.Key{DataCentre: "suva", Range: 3, Epoch: 9, Minted: time.UnixMilli(77).UTC(), Nonce: "a1"}
	sub := lovagejob.Submission{
		Key: key, Service: "proof", Team: "nadi-shop", Repeatable: true, Deadline: time.UnixMilli(9000).UTC(),
		DeclaredRunTime: time.Second, DeclaredCores: 2, DeclaredMemoryBytes: 3, DeclaredAccelerators: 4,
		Tasks: []lovagejob.Task{{Payload: []byte("a")}, {Payload: []byte("b")}},
	}
	gotSub, err := ToSubmission(FromSubmission(&sub))
	must.NoError(t, err)
	must.Eq(t, sub, gotSub)

	ans := lovagejob.Answer{
		Key: key, Outcome: lovagejob.Complete, Reason: "r", RetryAt: time.UnixMilli(5).UTC(), Tasks: 1, Started: 1,
		Results: []lovagejob.TaskResult{{Task: 0, Worker: "w1", Status: 200, Body: []byte("x")}},
	}
	gotAns, err := ToAnswer(FromAnswer(&ans))
	must.NoError(t, err)
	must.Eq(t, ans, gotAns)

	bad := FromAnswer(&ans)
	bad.Outcome = "perhaps"
	_, err = ToAnswer(bad)
	must.Error(t, err)
}
