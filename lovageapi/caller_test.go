package lovageapi

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"lovagestack/lovagejob"
)

// post sends a body to the caller API and returns the status and the reply.
func (ta *testAPI) post(t *testing.T, path, body string) (int, string) {
	t.Helper()
	res, err := http.Post(ta.callerURL+path, "application/json", strings.NewReader(body))
	must.NoError(t, err)
	defer res.Body.Close() //nolint:errcheck // test
	data, err := io.ReadAll(res.Body)
	must.NoError(t, err)
	return res.StatusCode, string(data)
}

func jobJSON(key, tasks string) string {
	return fmt.Sprintf(`{"key":%q,"service":"a","team":"b","deadline":"2026-12-04T09:00:05Z","tasks":%s}`, key, tasks)
}

// Payloads and results must not be rewritten in transit.
func TestPayloadUnchanged(t *testing.T) {
	ta := startAPI(t, DefaultSettings())
	key := testKey("a1").String()
	for _, payload := range []string{
		`1.50`, `12345678901234567890123`, `"<&>\u00e9\/"`, `{ "b" : 1, "a" : [ 1 , 2 ], "b":2 }`, "{\"x\":\n\"\u2028\"}", `null`, `""`,
	} {
		status, reply := ta.post(t, "/v1/jobs", jobJSON(key, `[{"payload":`+payload+`}]`))
		must.Eq(t, http.StatusOK, status, must.Sprint(reply))
		must.StrContains(t, reply, `"body":`+payload+`}`)
	}
	for _, body := range []string{"", "text", "{}{}", "\"\xff\"", "{"} {
		out := appendResult(nil, &lovagejob.TaskResult{Body: []byte(body)})
		must.StrNotContains(t, string(out), `"body":`, must.Sprint(body))
		must.Eq(t, body != "", bytes.Contains(out, []byte("bodyBase64")))
	}
}

// Invalid or ambiguous requests must be rejected, because the API could misinterpret them.
func TestInvalidRequests(t *testing.T) {
	se := DefaultSettings()
	se.BodyBytes = 2000
	ta := startAPI(t, se)
	key := testKey("a1").String()
	good := jobJSON(key, `[{"payload":1}]`)
	cases := []struct {
		name, path, body string
		status           int
		want             string
	}{
		{"unknown field", "/v1/jobs", strings.Replace(good, `"team"`, `"colour":1,"team"`, 1), 400, `"field":"colour"`},
		{"other case", "/v1/jobs", strings.Replace(good, `"team"`, `"Team"`, 1), 400, `"field":"Team"`},
		{"field of a task", "/v1/jobs", strings.Replace(good, `"team"`, `"payload":1,"team"`, 1), 400, `"field":"payload"`},
		{"field of a job", "/v1/jobs", jobJSON(key, `[{"payload":1,"team":"c"}]`), 400, `"field":"tasks[0].team"`},
		{"key twice", "/v1/jobs", strings.Replace(good, `"team":"b"`, `"team":"b","team":"c"`, 1), 400, `"problem":"occurs twice"`},
		{"payload twice", "/v1/jobs", jobJSON(key, `[{"payload":1,"payload":2}]`), 400, `tasks[0].payload`},
		{"more text", "/v1/jobs", good + "x", 400, "more text"},
		{"syntax", "/v1/jobs", good[:50], 400, "ends too early"},
		{"not JSON", "/v1/jobs", "key=a", 400, "invalid character"},
		{"two types", "/v1/jobs", `{"service":1,"tasks":[{"payload":1},2],"deadline":"soon"}`, 400, `"field":"tasks[1]"`},
		{"body", "/v1/jobs", strings.Repeat(" ", 2001), 413, "larger than 2000 bytes"},
		{"count", "/v1/keys", `{"count":1001}`, 400, `"field":"count"`},
		{"no body", "/v1/keys", "", 400, "ends too early"},
		{"parameter", "/v1/keys?count=2", "{}", 400, "not a parameter"},
		{"method", "/v1/jobs/" + key, "{}", 405, `"error":"Method Not Allowed: POST /v1/jobs/`},
		{"path", "/v2/keys", "{}", 404, `"error":"Not Found: POST /v2/keys"`},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			status, reply := ta.post(t, tc.path, tc.body)
			must.Eq(t, tc.status, status, must.Sprint(reply))
			must.StrContains(t, reply, tc.want)
			must.StrNotContains(t, reply, `"outcome"`)
		})
	}
	must.Eq(t, 0, ta.jobs.mintCount)
	status, reply := ta.post(t, "/v1/jobs", jobJSON(key, `[{"payload":{"a":1,"a":2,"A":3}}]`))
	must.Eq(t, http.StatusOK, status, must.Sprint(reply))
}

// keyError is a [RequestError].
type keyError struct{}

func (keyError) Error() string { return "the key belongs to another submission" }

func (keyError) RequestField() string { return "key" }

// An error of the request must not be reported as an unknown outcome, as callers would then ask about the job forever.
func TestRequestError(t *testing.T) {
	ta := startAPI(t, DefaultSettings())
	ta.jobs.submit = func(context.Context, lovagejob.Submission) (lovagejob.Answer, error) {
		return lovagejob.Answer{}, errors.Wrap(keyError{}, "submit")
	}
	status, reply := ta.post(t, "/v1/jobs", jobJSON(testKey("a1").String(), `[{"payload":1}]`))
	must.Eq(t, http.StatusBadRequest, status)
	must.StrContains(t, reply, `"findings":[{"field":"key","problem":"the key belongs to another submission"}]`)
}

// An answer to another job, without an outcome, or with missing or misplaced results must become "unknown". The answer
// of a failed job must lose its results.
func TestAnswerIsChecked(t *testing.T) {
	key := testKey("a1")
	result := func(tasks ...int) []lovagejob.TaskResult {
		var out []lovagejob.TaskResult
		for _, n := range tasks {
			out = append(out, lovagejob.TaskResult{Task: n, Status: 200})
		}
		return out
	}
	cases := []struct {
		name    string
		answer  lovagejob.Answer
		outcome lovagejob.Outcome
		results int
	}{
		{"whole", lovagejob.Answer{Key: key, Outcome: lovagejob.Complete, Tasks: 2, Results: result(0, 1)}, lovagejob.Complete, 2},
		{"no longer kept", lovagejob.Answer{Key: key, Outcome: lovagejob.Complete, Tasks: 2}, lovagejob.Complete, 0},
		{"crossed", lovagejob.Answer{Key: testKey("a2"), Outcome: lovagejob.Complete, Tasks: 2, Results: result(0, 1)}, lovagejob.Unknown, 0},
		{"part", lovagejob.Answer{Key: key, Outcome: lovagejob.Complete, Tasks: 2, Results: result(0)}, lovagejob.Unknown, 0},
		{"other job", lovagejob.Answer{Key: key, Outcome: lovagejob.Complete, Tasks: 1, Results: result(0)}, lovagejob.Unknown, 0},
		{"order", lovagejob.Answer{Key: key, Outcome: lovagejob.Complete, Tasks: 2, Results: result(1, 0)}, lovagejob.Unknown, 0},
		{"failed with results", lovagejob.Answer{Key: key, Outcome: lovagejob.Failed, Tasks: 2, Results: result(0)}, lovagejob.Failed, 0},
		{"no outcome", lovagejob.Answer{Key: key}, lovagejob.Unknown, 0},
		{"error", lovagejob.Answer{}, lovagejob.Unknown, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var err error
			if tc.name == "error" {
				err = io.ErrUnexpectedEOF
			}
			got := checkAnswer(tc.answer, err, key, 2)
			must.Eq(t, tc.outcome, got.Outcome, must.Sprint(got))
			must.Eq(t, key, got.Key)
			must.Len(t, tc.results, got.Results)
		})
	}
}

// The body timeout must end a request whose body never ends, and must not end the wait for a job.
func TestBodyTimeout(t *testing.T) {
	ta := startAPI(t, DefaultSettings())
	ta.caller.bodyTimeout = 100 * time.Millisecond
	ta.jobs.submit = func(ctx context.Context, sub lovagejob.Submission) (lovagejob.Answer, error) {
		if !sleep(ctx, 400*time.Millisecond) {
			return lovagejob.Answer{}, ctx.Err()
		}
		return lovagejob.Answer{Key: sub.Key, Outcome: lovagejob.Failed}, nil
	}
	status, reply := ta.post(t, "/v1/jobs", jobJSON(testKey("a1").String(), `[{"payload":1}]`))
	must.Eq(t, http.StatusOK, status, must.Sprint(reply))

	body, bodyWriter := io.Pipe()
	defer bodyWriter.Close() //nolint:errcheck // ends the client's write
	res, err := http.Post(ta.callerURL+"/v1/jobs", "application/json", body)
	if err == nil { // the reply may be lost with the connection, since the client is still writing
		must.NoError(t, res.Body.Close())
		must.Eq(t, http.StatusBadRequest, res.StatusCode)
	}
}

// A shutdown must not abort requests in progress, wait for watches, or accept new work.
func TestShutdown(t *testing.T) {
	se := DefaultSettings()
	se.CallerRequests = 2
	ta := startAPI(t, se)
	ta.caller.shutdownReadPeriod = 0 // only the request in progress may delay the shutdown
	must.NoError(t, ta.caller.Listen("127.0.0.1:0"))
	serveResult := make(chan error, 1)
	go func() { serveResult <- ta.caller.Serve(context.Background()) }()
	release, running := make(chan struct{}), make(chan struct{})
	ta.jobs.submit = func(_ context.Context, sub lovagejob.Submission) (lovagejob.Answer, error) {
		close(running)
		<-release
		return lovagejob.Answer{Key: sub.Key, Outcome: lovagejob.Failed, Reason: "released"}, nil
	}
	ta.callerURL = "http://" + ta.caller.Address()
	cl := NewClient(ta.caller.Address())
	defer cl.Close()
	watchResult := make(chan error, 1)
	lines := make(chan AnswerReply, 100)
	go func() {
		watchResult <- cl.WatchJob(context.Background(), testKey("pending").String(), func(an AnswerReply) error {
			select {
			case lines <- an:
			default:
			}
			return nil
		})
	}()
	must.Eq(t, lovagejob.Pending, (<-lines).Outcome)
	replies := make(chan string, 1)
	go func() {
		_, reply := ta.post(t, "/v1/jobs", jobJSON(testKey("a1").String(), `[{"payload":1}]`))
		replies <- reply
	}()
	<-running
	status, reply := ta.post(t, "/v1/keys", "{}")
	must.Eq(t, http.StatusServiceUnavailable, status)
	must.StrNotContains(t, reply, "outcome", must.Sprint("an overloaded server claimed to know an outcome"))

	shutdownResult := make(chan error, 1)
	go func() { shutdownResult <- ta.caller.Shutdown(context.Background()) }()
	must.NoError(t, <-watchResult)
	select {
	case err := <-shutdownResult:
		t.Fatalf("shut down with a request in progress: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	must.StrContains(t, <-replies, "released")
	must.NoError(t, <-shutdownResult)
	<-serveResult
	_, err := cl.Ask(context.Background(), testKey("pending").String(), 0)
	must.ErrorIs(t, err, ErrNotSent)
}

// A shutdown must not drop a request that has arrived on an idle connection but has not been read yet.
func TestShutdownReadsLateRequests(t *testing.T) {
	ta := startAPI(t, DefaultSettings())
	ta.caller.shutdownReadPeriod = 2 * time.Second
	must.NoError(t, ta.caller.Listen("127.0.0.1:0"))
	go ta.caller.Serve(context.Background()) //nolint:errcheck // ends with Shutdown
	ta.callerURL = "http://" + ta.caller.Address()
	status, _ := ta.post(t, "/v1/keys", "{}") // leaves an idle connection
	must.Eq(t, http.StatusOK, status)
	shutdownResult := make(chan error, 1)
	go func() { shutdownResult <- ta.caller.Shutdown(context.Background()) }()
	for !ta.caller.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond) // without shutdownReadPeriod, the connection is closed by then
	status, _ = ta.post(t, "/v1/keys", "{}")
	must.Eq(t, http.StatusOK, status)
	must.NoError(t, <-shutdownResult)
}

// A shutdown must end at its deadline and report the number of aborted requests.
func TestShutdownDeadline(t *testing.T) {
	ta := startAPI(t, DefaultSettings())
	must.NoError(t, ta.caller.Listen("127.0.0.1:0"))
	go ta.caller.Serve(context.Background()) //nolint:errcheck // ends with Shutdown
	running := make(chan struct{})
	ta.jobs.submit = func(ctx context.Context, _ lovagejob.Submission) (lovagejob.Answer, error) {
		close(running)
		<-ctx.Done()
		return lovagejob.Answer{}, ctx.Err()
	}
	cl := NewClient(ta.caller.Address())
	defer cl.Close()
	submitResult := make(chan error, 1)
	go func() {
		_, err := cl.Submit(context.Background(), JobRequest{
			Key: testKey("a1").String(), Service: "a", Team: "b", Deadline: testNow.Add(time.Second),
			Tasks: []TaskRequest{{Payload: []byte("1")}},
		})
		submitResult <- err
	}()
	<-running
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	must.ErrorContains(t, ta.caller.Shutdown(ctx), "1 requests were cut")
	err := <-submitResult
	must.Error(t, err)
	must.False(t, errors.Is(err, ErrNotSent), must.Sprint("an aborted request was reported as not sent"))
}
