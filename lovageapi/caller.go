package lovageapi

import (
	"context"
	"encoding/base64"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"
	"go.uber.org/zap"

	"lovagestack/lovageconfig"
	"lovagestack/lovagejob"
)

// RequestError is an error of [Jobs] that the request itself causes, such as a key that belongs to another submission.
// A retry cannot succeed, so the caller gets a finding instead of the outcome "unknown".
type RequestError interface {
	error
	// RequestField returns the field of the request that is wrong.
	RequestField() string
}

// Jobs starts, queries and cancels jobs. An error that is not a [RequestError] means that nothing is known about the
// job; every known state is returned as an answer.
type Jobs interface {
	// Mint returns new keys. An error means that no key can be minted now.
	Mint(ctx context.Context, req lovagejob.MintRequest) (lovagejob.MintResult, error)
	// KeyFor mints a key for a submission that has none; errors are as for Mint.
	KeyFor(ctx context.Context, service string, repeatable bool) (lovagejob.Key, error)
	// Submit starts the job unless its key is known, and waits for the answer. The job continues after the context has ended.
	Submit(ctx context.Context, sub lovagejob.Submission) (lovagejob.Answer, error)
	// Ask waits until the job has ended or waitUntil has passed, and returns the answer.
	Ask(ctx context.Context, key lovagejob.Key, waitUntil time.Time) (lovagejob.Answer, error)
	// Cancel cancels the job and returns its resulting state as an answer.
	Cancel(ctx context.Context, key lovagejob.Key) (lovagejob.Answer, error)
}

// OwnerHeader is the header that names the caller address of the key's owner on answers to forwarded requests.
const OwnerHeader = "Lovage-Owner"

const (
	maxKeysPerCall    = 1000
	keyReplyBytes     = 512                    // memory of a key and its part of the reply
	maxWait           = 10 * time.Minute       // longest wait of an ask; equals the default limit on a deadline
	jobWatchPeriod    = 10 * time.Second       // longest time between lines of a job watch
	minJobWatchPeriod = 100 * time.Millisecond // shortest time between lines; each task start may cause a line
)

type callerAPI struct {
	srv    *Server
	limits lovagejob.Limits
	jobs   Jobs
}

// NewCallerServer returns the server of the caller API.
func NewCallerServer(se Settings, jobs Jobs, log *zap.Logger) (*Server, error) {
	srv, app := newServer("caller", se, se.CallerRequests, se.Admission.Share(7, 8), log)
	api := &callerAPI{srv: srv, limits: se.Limits, jobs: jobs}
	app.Post("/v1/keys", api.mint)
	app.Post("/v1/jobs", api.submit)
	app.Get("/v1/jobs/{key}", api.ask)
	app.Get("/v1/jobs/{key}/watch", api.watch)
	app.Delete("/v1/jobs/{key}", api.cancel)
	return srv, errors.Wrap(app.Build(), "build the caller API")
}

func (api *callerAPI) mint(ctx iris.Context) {
	data, ok := api.srv.readBody(ctx)
	if !ok {
		return
	}
	req := KeysRequest{Count: 1}
	findings := append(queryFindings(ctx), decode(data, &req, reserver(ctx))...)
	if req.Count < 1 || req.Count > maxKeysPerCall {
		findings = append(findings, lovageconfig.Finding{
			Field: "count", Problem: fmt.Sprintf("%d is not between 1 and %d", req.Count, maxKeysPerCall),
		})
	}
	if req.Service != "" && !lovagejob.ValidName(req.Service) {
		findings = append(findings, lovageconfig.Finding{
			Field: "service", Problem: fmt.Sprintf("%.100q is not the name of a service", req.Service),
		})
	}
	if len(findings) > 0 {
		writeFindings(ctx, findings)
		return
	}
	if !reserver(ctx)(keyReplyBytes * int64(req.Count)) {
		writeRefusal(ctx)
		return
	}
	mi, err := api.jobs.Mint(ctx.Request().Context(), lovagejob.MintRequest{
		Service: req.Service, Count: req.Count, Repeatable: req.Repeatable,
	})
	if err != nil {
		setRetryAfter(ctx, time.Second)
		writeError(ctx, http.StatusServiceUnavailable, "no keys can be minted now: "+err.Error())
		return
	}
	writeJSON(ctx, http.StatusOK, KeysReply{Keys: mi.Keys, Address: mi.CallerAddress})
}

func (api *callerAPI) submit(ctx iris.Context) {
	data, ok := api.srv.readBody(ctx)
	if !ok {
		return
	}
	req, findings, err := decodeJob(data, api.limits.MaxTasks, reserver(ctx))
	if err != nil {
		writeRefusal(ctx)
		return
	}
	if findings = append(queryFindings(ctx), findings...); len(findings) > 0 {
		writeFindings(ctx, findings)
		return
	}
	sub, findings := req.submission(api.srv.now(), api.limits)
	if len(findings) > 0 {
		writeFindings(ctx, findings)
		return
	}
	if sub.Key.IsZero() {
		key, err := api.jobs.KeyFor(ctx.Request().Context(), sub.Service, sub.Repeatable)
		if err != nil {
			setRetryAfter(ctx, time.Second)
			writeError(ctx, http.StatusServiceUnavailable, fmt.Sprintf("nothing was started: no key can be minted now: %v", err))
			return
		}
		sub.Key = key
	}
	an, err := api.jobs.Submit(ctx.Request().Context(), sub)
	if writeRequestError(ctx, err) {
		return
	}
	an = checkAnswer(an, err, sub.Key, len(sub.Tasks))
	api.writeAnswer(ctx, &an, answerStatus(&an))
}

func (api *callerAPI) ask(ctx iris.Context) {
	key, findings := pathKey(ctx)
	findings = append(findings, queryFindings(ctx, "wait")...)
	var wait time.Duration
	if text := ctx.URLParam("wait"); text != "" {
		var err error
		if wait, err = time.ParseDuration(text); err != nil || wait < 0 || wait > maxWait {
			findings = append(findings, lovageconfig.Finding{
				Field: "wait", Problem: fmt.Sprintf("%q is not a duration from 0s to %s", text, maxWait),
			})
		}
	}
	if len(findings) > 0 {
		writeFindings(ctx, findings)
		return
	}
	an, err := api.jobs.Ask(ctx.Request().Context(), key, api.srv.now().Add(wait))
	if writeRequestError(ctx, err) {
		return
	}
	an = checkAnswer(an, err, key, -1)
	api.writeAnswer(ctx, &an, answerStatus(&an))
}

func (api *callerAPI) cancel(ctx iris.Context) {
	key, findings := pathKey(ctx)
	if findings = append(findings, queryFindings(ctx)...); len(findings) > 0 {
		writeFindings(ctx, findings)
		return
	}
	an, err := api.jobs.Cancel(ctx.Request().Context(), key)
	if writeRequestError(ctx, err) {
		return
	}
	an = checkAnswer(an, err, key, -1)
	status := answerStatus(&an)
	if an.Outcome == lovagejob.NotRun {
		status = http.StatusOK // the job does not run, as the caller requested
	}
	api.writeAnswer(ctx, &an, status)
}

// writeRequestError writes the reply for a [RequestError] and reports whether err is one.
func writeRequestError(ctx iris.Context, err error) bool {
	var reqErr RequestError
	if !errors.As(err, &reqErr) {
		return false
	}
	writeFindings(ctx, []lovageconfig.Finding{{Field: reqErr.RequestField(), Problem: reqErr.Error()}})
	return true
}

func pathKey(ctx iris.Context) (lovagejob.Key, []lovageconfig.Finding) {
	key, err := lovagejob.ParseKey(ctx.Params().Get("key"))
	if err != nil {
		return key, []lovageconfig.Finding{{Field: "key", Problem: err.Error()}}
	}
	return key, nil
}

// checkAnswer verifies that an answer belongs to the key and is consistent. Otherwise, or if err is set, it returns the
// outcome "unknown" with the reason. It removes the results of an answer whose outcome is not "complete". tasks, the
// number of tasks, is -1 if unknown.
func checkAnswer(an lovagejob.Answer, err error, key lovagejob.Key, tasks int) lovagejob.Answer {
	unknown := lovagejob.Answer{Key: key, Outcome: lovagejob.Unknown, Tasks: max(tasks, 0)}
	switch {
	case err != nil:
		unknown.Reason = "the job could not be asked about; ask again with the same key: " + err.Error()
		return unknown
	case an.Key != key:
		unknown.Reason = "the instance got the answer of another job; ask again with the same key"
		return unknown
	case !an.Outcome.Valid():
		unknown.Reason = fmt.Sprintf("the instance got the outcome %q, which does not exist", an.Outcome)
		return unknown
	case an.Outcome != lovagejob.Complete && len(an.Results) > 0:
		an.Results = nil // partial results are never returned
	case an.Outcome == lovagejob.Complete && !hasAllResults(&an, tasks):
		unknown.Reason = fmt.Sprintf("the instance got %d results for %d tasks; ask again with the same key",
			len(an.Results), max(tasks, an.Tasks))
		return unknown
	}
	return an
}

// hasAllResults reports whether a complete answer holds each result once and in order. An answer without results
// passes: results are kept for a limited time, and a later query or resubmission gets the outcome alone.
func hasAllResults(an *lovagejob.Answer, tasks int) bool {
	if len(an.Results) == 0 {
		return true
	}
	if len(an.Results) != an.Tasks || (tasks >= 0 && an.Tasks != tasks) {
		return false
	}
	for i := range an.Results {
		if an.Results[i].Task != i {
			return false
		}
	}
	return true
}

// answerStatus returns the HTTP status for an answer. "Not run" is 429 if the answer names a time at which a retry may
// succeed, and 503 if the cause must be resolved first.
func answerStatus(an *lovagejob.Answer) int {
	switch an.Outcome {
	case lovagejob.Complete, lovagejob.Failed, lovagejob.Cancelled:
		return http.StatusOK
	case lovagejob.Pending:
		return http.StatusAccepted
	case lovagejob.NotRun:
		if !an.RetryAt.IsZero() {
			return http.StatusTooManyRequests
		}
		return http.StatusServiceUnavailable
	case lovagejob.Unknown:
	}
	return http.StatusGatewayTimeout
}

func (api *callerAPI) writeAnswer(ctx iris.Context, an *lovagejob.Answer, status int) {
	if !an.RetryAt.IsZero() && status >= 400 {
		setRetryAfter(ctx, an.RetryAt.Sub(api.srv.now()))
	}
	if an.OwnerAddress != "" {
		ctx.ResponseWriter().Header().Set(OwnerHeader, an.OwnerAddress)
	}
	if !reserver(ctx)(answerBytes(an)) {
		an, status = withoutRoom(an), http.StatusGatewayTimeout
		setRetryAfter(ctx, time.Second)
	}
	writeReserved(ctx, status, appendAnswer(make([]byte, 0, answerBytes(an)), an))
}

// answerBytes returns the largest size of an encoded answer.
func answerBytes(an *lovagejob.Answer) int64 {
	size := 512 + len(an.Reason)
	for i := range an.Results {
		size += 128 + base64.StdEncoding.EncodedLen(len(an.Results[i].Body))
	}
	return int64(size)
}

// withoutRoom returns what a caller is told whose answer has no room in memory.
func withoutRoom(an *lovagejob.Answer) *lovagejob.Answer {
	return &lovagejob.Answer{
		Key: an.Key, Outcome: lovagejob.Unknown, Tasks: an.Tasks, Started: an.Started,
		Reason: "too many large answers are being sent; ask again with the same key",
	}
}
