package lovageentry

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"lovagestack/lovagejob"
	"lovagestack/lovageledger"
	"lovagestack/lovagemember"
	"lovagestack/lovageresource"
)

// tickLedger lets the ledger's time pass and carries out its table operations.
func (lo *controlLoop) tickLedger(t *testing.T, d time.Duration) {
	t.Helper()
	lo.now = lo.now.Add(d)
	lo.stepLedger(&lovageledger.Tick{})
	for {
		select {
		case cm := <-lo.in.table.reads:
			rows, err := lo.in.platform.Scan(context.Background(), cm.Prefix)
			must.NoError(t, err)
			lo.stepLedger(&lovageledger.TableRead{ID: cm.ID, Rows: rows})
		case cm := <-lo.in.table.commits:
			lo.stepLedger((&tableWriter{lo.in.table}).commitOne(context.Background(), cm))
		default:
			return
		}
	}
}

// Guards against running a job with the content or the deadline of another submission of its key that was abandoned.
func TestAdmittedKeyRunsTheSubmissionThatWaits(t *testing.T) {
	for name, payload := range map[string]string{"later deadline": "1", "other content": "2"} {
		t.Run(name, func(t *testing.T) {
			lo := newTestLoop(t)
			lo.ledgerTimer = time.NewTimer(time.Hour)
			lo.now = time.Now()
			lo.applyResources(t, newPool("a", "kandla", "", 0, "ticket"),
				lovageresource.Resource{Kind: lovageresource.KindService, Name: "ticket", Revision: 1, Spec: lovageresource.Service{}})
			lo.setMembers(lovagemember.Live)
			for range 20 {
				lo.tickLedger(t, 100*time.Millisecond)
			}
			apply := func(re *request) *request {
				re.ctx, re.replies = context.Background(), make(chan reply, 1)
				re.apply(lo)
				return re
			}
			mint := apply(&request{kind: kindMint, mint: lovagejob.MintRequest{Count: 1, Repeatable: true}})
			keys := (<-mint.replies).keys
			must.Len(t, 1, keys)
			submit := func(payload string, deadline time.Time) (id uint64) {
				sub := &lovagejob.Submission{
					Key: keys[0], Service: "ticket", Team: "gate", Deadline: deadline, Tasks: []lovagejob.Task{{Payload: []byte(payload)}},
				}
				apply(&request{
					kind: kindSubmit, sub: sub, key: sub.Key, fingerprint: fingerprint(sub), waitUntil: deadline.Add(answerGrace),
				})
				return lo.lastRequestID
			}
			// Submissions wait while the range is being handed over, until the receiver is gone.
			lo.stepLedger(&lovageledger.MembersChanged{Members: []lovageledger.Member{{ID: "kandla-2", DataCentre: "kandla", State: lovageledger.MemberLive}}})
			lo.stepLedger(&lovageledger.Drain{GiveUpAt: lo.now.Add(time.Hour)})
			abandonedDeadline := lo.now.Add(time.Second)
			if payload != "1" {
				abandonedDeadline = lo.now.Add(time.Hour)
			}
			abandoned := submit("1", abandonedDeadline)
			deadline := lo.now.Add(time.Minute)
			submit(payload, deadline)
			(&abandonHook{lo: lo, request: abandoned}).apply(lo)
			must.MapEmpty(t, lo.jobsByKey)
			lo.now = lo.now.Add(2 * time.Second)
			lo.stepLedger(&lovageledger.MembersChanged{})
			for range 10 {
				lo.tickLedger(t, 100*time.Millisecond)
			}
			jo := lo.jobsByKey[keys[0]]
			must.NotNil(t, jo)
			must.Eq(t, payload, string(jo.sub.Tasks[0].Payload))
			must.Eq(t, deadline, jo.sub.Deadline)
		})
	}
}
