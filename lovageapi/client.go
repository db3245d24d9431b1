package lovageapi

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"lovagestack/lovagejob"
	"lovagestack/lovageresource"
)

// ErrNotSent matches errors of calls that cannot have reached the instance.
var ErrNotSent = errors.New("the request was not sent")

// notSentError matches [ErrNotSent]. errors.Mark is not used because the standard library's errors.Is ignores marks.
type notSentError struct{ error }

func (er *notSentError) Unwrap() error { return er.error }

func (er *notSentError) Is(target error) bool { return target == ErrNotSent }

// maxLineBytes limits the length of one line of a watch. A Pool with 10,000 workers takes about 2 MB.
const maxLineBytes = 64 << 20

// ReplyError is a reply to a request that was not processed.
type ReplyError struct {
	Status int
	ErrorReply
}

func (er *ReplyError) Error() string {
	parts := []string{fmt.Sprintf("status %d: %s", er.Status, er.ErrorReply.Error)}
	for _, fi := range er.Findings {
		parts = append(parts, fi.String())
	}
	return strings.Join(parts, "; ")
}

// Client calls the instance, or the balancer, at its base address. It is safe for concurrent use. Only the context
// limits how long a call takes.
//
// Once a reply has named the address of a key's owner, Submit, Ask and Cancel call the owner directly, which saves a
// forward. If the owner cannot be reached, the connection breaks, or the reply is not an answer to the key, the client
// makes the same call with the same key at the base address, and does not use the owner's address for 10 s unless the
// owner rejected the call. A submission whose deadline has passed by then is replaced by an Ask. While the client waits
// for an answer, it asks the owner every 3 s whether the owner works on the key. An owner that does not confirm within
// 1 s, or has not answered 2 s after the answer was due (11 s after a Cancel), counts as unreachable. The client never
// uses another key by itself.
//
// If an error is neither a [*ReplyError] nor matches [ErrNotSent], the request may or may not have been processed.
type Client struct {
	baseURL string
	http    *http.Client
	routes  *routes // nil if every call goes to the base address
}

// NewClient returns a client of the API at an IP address and port.
func NewClient(address string, options ...ClientOption) *Client {
	cl := NewFixedClient(address)
	cl.routes = newRoutes(address)
	for _, set := range options {
		set(cl)
	}
	return cl
}

// ClientOption configures a new Client.
type ClientOption func(cl *Client)

// WithDial returns an option to open connections with dial, a function like [net.Dialer.DialContext].
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) ClientOption {
	return func(cl *Client) {
		for _, hc := range cl.httpClients() {
			if tr, ok := hc.Transport.(*http.Transport); ok {
				tr.DialContext = dial
			}
		}
	}
}

// httpClients returns all HTTP clients in use.
func (cl *Client) httpClients() []*http.Client {
	if cl.routes == nil {
		return []*http.Client{cl.http}
	}
	return []*http.Client{cl.http, cl.routes.directHTTP}
}

// NewFixedClient returns a client that calls only the given address, for callers that cannot reach other instances and
// for tests.
func NewFixedClient(address string, options ...ClientOption) *Client {
	tr := &http.Transport{
		Proxy:               nil, // instances are reached directly
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     time.Minute, // shorter than the server's, so that the client closes idle connections first
	}
	cl := &Client{baseURL: "http://" + address, http: &http.Client{Transport: tr}}
	for _, set := range options {
		set(cl)
	}
	return cl
}

// Close closes idle connections.
func (cl *Client) Close() {
	for _, hc := range cl.httpClients() {
		hc.CloseIdleConnections()
	}
}

// Mint returns new keys.
func (cl *Client) Mint(ctx context.Context, req lovagejob.MintRequest) (lovagejob.MintResult, error) {
	var out KeysReply
	in := KeysRequest{Service: req.Service, Count: req.Count, Repeatable: req.Repeatable}
	err := cl.callJSON(ctx, http.MethodPost, "/v1/keys", in, &out, nil)
	cl.routes.learnOwner(out.Address, out.Keys...)
	return lovagejob.MintResult{Keys: out.Keys, CallerAddress: out.Address}, err
}

// Submit submits a job and waits for the answer. The outcome is "unknown" if nothing is known about the job.
func (cl *Client) Submit(ctx context.Context, jo JobRequest) (AnswerReply, error) {
	return cl.callForKey(ctx, keyCall{
		method: http.MethodPost, path: "/v1/jobs", key: jo.Key, body: jo, answerBy: laterOf(jo.Deadline, time.Now()).Add(directGrace),
	})
}

// Ask returns the answer to a key and waits for it up to the given time.
func (cl *Client) Ask(ctx context.Context, key string, wait time.Duration) (AnswerReply, error) {
	return cl.callForKey(ctx, newAskCall(key, wait))
}

func newAskCall(key string, wait time.Duration) keyCall {
	return keyCall{
		method: http.MethodGet, path: "/v1/jobs/" + url.PathEscape(key) + "?wait=" + wait.String(), key: key,
		answerBy: time.Now().Add(wait + directGrace),
	}
}

// Cancel cancels a job.
func (cl *Client) Cancel(ctx context.Context, key string) (AnswerReply, error) {
	return cl.callForKey(ctx, keyCall{
		method: http.MethodDelete, path: "/v1/jobs/" + url.PathEscape(key), key: key,
		answerBy: time.Now().Add(cancelTimeout),
	})
}

// WatchJob calls fn with each answer of a job watch until the watch ends or fn returns an error.
func (cl *Client) WatchJob(ctx context.Context, key string, fn func(AnswerReply) error) error {
	return watchLines(ctx, cl, "/v1/jobs/"+url.PathEscape(key)+"/watch", fn)
}

// Get reads a resource with its status.
func (cl *Client) Get(ctx context.Context, kind lovageresource.Kind, name string) (lovageresource.Resource, error) {
	var out lovageresource.Resource
	err := cl.callJSON(ctx, http.MethodGet, resourcePath(kind, name), nil, &out, nil)
	return out, err
}

// List lists the resources of a kind, or all resources if the kind is empty.
func (cl *Client) List(ctx context.Context, kind lovageresource.Kind) (ListReply, error) {
	path := "/v1/resources"
	if kind != "" {
		path += "?kind=" + url.QueryEscape(string(kind))
	}
	var out ListReply
	err := cl.callJSON(ctx, http.MethodGet, path, nil, &out, nil)
	return out, err
}

// Put creates a resource if its revision is 0, and otherwise replaces it at that revision.
func (cl *Client) Put(ctx context.Context, re lovageresource.Resource) (lovageresource.WriteResult, error) {
	re.Status = lovageresource.Status{}
	return cl.writeResource(ctx, http.MethodPut, resourcePath(re.Kind, re.Name), re)
}

// Delete deletes a resource at the given revision.
func (cl *Client) Delete(ctx context.Context, kind lovageresource.Kind, name string, revision int64) (
	lovageresource.WriteResult, error,
) {
	path := resourcePath(kind, name) + "?revision=" + strconv.FormatInt(revision, 10)
	return cl.writeResource(ctx, http.MethodDelete, path, nil)
}

// Watch calls fn with each line of a resource watch until the watch ends or fn returns an error. If the revision is too
// old, the error is a [*ReplyError] with status 410.
func (cl *Client) Watch(ctx context.Context, from int64, fn func(WatchLine) error) error {
	return watchLines(ctx, cl, "/v1/watch?from="+strconv.FormatInt(from, 10), fn)
}

func resourcePath(kind lovageresource.Kind, name string) string {
	return "/v1/resources/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}

func (cl *Client) writeResource(ctx context.Context, method, path string, in any) (lovageresource.WriteResult, error) {
	var out lovageresource.WriteResult
	err := cl.callJSON(ctx, method, path, in, &out, func(status int) bool {
		return status < 300 || status == http.StatusConflict || status == http.StatusServiceUnavailable ||
			status == http.StatusGatewayTimeout
	})
	return out, err
}

// callJSON makes a call with JSON bodies at the base address. isExpected reports which statuses come with a body for
// out, by default those below 300. Only a reply by which an instance rejects the request is returned as a [*ReplyError].
func (cl *Client) callJSON(ctx context.Context, method, path string, in, out any, isExpected func(int) bool) error {
	_, err := callJSONAt(ctx, cl.http, cl.baseURL, method, path, in, out, isExpected)
	return err
}

// callJSONAt is callJSON at any address. It also returns the reply's headers.
func callJSONAt(ctx context.Context, hc *http.Client, baseURL, method, path string, in, out any, isExpected func(int) bool) (http.Header, error) {
	res, err := sendRequest(ctx, hc, baseURL, method, path, in)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close() //nolint:errcheck // the body has been read or the error is reported
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, errors.Wrapf(err, "%s %s: read the reply", method, path)
	}
	if isExpected == nil {
		isExpected = func(status int) bool { return status < 300 }
	}
	if er := replyError(res.StatusCode, data); er != nil {
		return nil, er
	}
	if !isExpected(res.StatusCode) {
		return nil, errors.Newf("%s %s: status %d, which does not say whether the request was processed", method, path, res.StatusCode)
	}
	return res.Header, errors.Wrapf(json.Unmarshal(data, out), "%s %s: decode the reply", method, path)
}

// replyError returns the error in a reply that says that the request was not processed, or nil. A gateway may send
// another 5xx after it has forwarded the request, and an instance may send 500 after it has processed the request.
func replyError(status int, data []byte) *ReplyError {
	if status/100 != 4 && status != http.StatusServiceUnavailable {
		return nil
	}
	er := &ReplyError{Status: status}
	if json.Unmarshal(data, &er.ErrorReply) != nil || er.ErrorReply.Error == "" {
		return nil
	}
	return er
}

// sendRequest returns an error that matches [ErrNotSent] if no connection to the instance was obtained.
func sendRequest(ctx context.Context, hc *http.Client, baseURL, method, path string, in any) (*http.Response, error) {
	var body io.Reader
	if in != nil {
		var buf bytes.Buffer
		enc := json.NewEncoder(&buf)
		enc.SetEscapeHTML(false) // keeps payloads as they are, except for white space
		if err := enc.Encode(in); err != nil {
			return nil, &notSentError{errors.Wrap(err, "encode the request")}
		}
		body = &buf
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, baseURL+path, body)
	if err != nil {
		return nil, &notSentError{err}
	}
	res, err := hc.Do(req)
	if err != nil {
		if !connected.Load() {
			return nil, &notSentError{err}
		}
		return nil, err
	}
	return res, nil
}

// watchLines calls fn with each decoded line of a watch. The server may end the watch without a final line.
func watchLines[T any](ctx context.Context, cl *Client, path string, fn func(T) error) error {
	res, err := sendRequest(ctx, cl.http, cl.baseURL, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	defer res.Body.Close() //nolint:errcheck // the body is only read
	if res.StatusCode != http.StatusOK {
		data, err := io.ReadAll(io.LimitReader(res.Body, 1<<20))
		if er := replyError(res.StatusCode, data); er != nil {
			return er
		}
		return errors.CombineErrors(errors.Newf("GET %s: status %d", path, res.StatusCode), err)
	}
	sc := bufio.NewScanner(res.Body)
	sc.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for sc.Scan() {
		var line T
		if err := json.Unmarshal(sc.Bytes(), &line); err != nil {
			return errors.Wrapf(err, "GET %s: decode a line", path)
		}
		if err := fn(line); err != nil {
			return err
		}
	}
	return errors.Wrapf(sc.Err(), "GET %s: read the watch", path)
}
