package lovageplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// HeaderClient names the calling instance in requests to the platform.
const HeaderClient = "Lovage-Client"

// ClientSettings configures a Client. Zero fields take the default named beside them.
type ClientSettings struct {
	Addresses    []string      // IP addresses and ports of the platform, at least one; the client keeps one that answers
	ID           string        // ID of the calling instance, sent in HeaderClient
	Timeout      time.Duration // maximum duration of one attempt, default 2 s; the context limits the whole call
	DialTimeout  time.Duration // maximum duration of connecting to one address, default 500 ms
	MaxBodyBytes int64         // maximum size of a reply's body, default 64 MiB
}

// Client is an HTTP client of the platform. Its methods are safe for concurrent use.
//
// A read that fails, but is not refused, is retried at the next address. Even with one address it is tried twice, because
// the platform may have closed an idle connection. A write is retried at the next address only if no byte of it was sent.
type Client struct {
	se             ClientSettings
	http           *http.Client
	preferredIndex atomic.Int64 // index of the address to try first
}

// NewClient returns a client; it connects on first use.
func NewClient(se ClientSettings) (*Client, error) {
	if len(se.Addresses) == 0 {
		return nil, errors.New("platform client needs at least one address")
	}
	for _, addr := range se.Addresses {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, errors.Wrapf(err, "platform address %q", addr)
		}
	}
	if se.Timeout == 0 {
		se.Timeout = 2 * time.Second
	}
	if se.DialTimeout == 0 {
		se.DialTimeout = 500 * time.Millisecond
	}
	if se.MaxBodyBytes == 0 {
		se.MaxBodyBytes = 64 << 20
	}
	dialer := &net.Dialer{Timeout: se.DialTimeout, KeepAlive: 5 * time.Second}
	return &Client{se: se, http: &http.Client{
		Transport: &http.Transport{
			Proxy:               nil, // connect directly even if the environment sets a proxy
			DialContext:         dialer.DialContext,
			DisableCompression:  true,
			MaxIdleConnsPerHost: 8,
			IdleConnTimeout:     30 * time.Second,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}, nil
}

// Close closes idle connections.
func (cl *Client) Close() { cl.http.CloseIdleConnections() }

type readRequest struct {
	Keys   []string `json:"keys,omitempty"`
	Prefix *string  `json:"prefix,omitempty"`
}

type readReply struct {
	Rows []Row `json:"rows"`
}

type instancesReply struct {
	Instances []Instance `json:"instances"`
}

// Read returns one row for each key, in the order of the keys; a row that does not exist has version 0.
func (cl *Client) Read(ctx context.Context, keys ...string) ([]Row, error) {
	if len(keys) == 0 {
		return nil, nil
	}
	var reply readReply
	if err := cl.postJSON(ctx, call{operation: "read", path: "/v1/table/read", readOnly: true}, readRequest{Keys: keys}, &reply); err != nil {
		return nil, err
	}
	rows, err := orderRows(reply.Rows, keys)
	if err != nil {
		return nil, &Error{Operation: "read", Effect: EffectAmbiguous, Err: err}
	}
	return rows, nil
}

// Scan returns the rows whose key starts with the prefix, in key order.
func (cl *Client) Scan(ctx context.Context, prefix string) ([]Row, error) {
	var reply readReply
	if err := cl.postJSON(ctx, call{operation: "scan", path: "/v1/table/read", readOnly: true}, readRequest{Prefix: &prefix}, &reply); err != nil {
		return nil, err
	}
	if err := checkScan(reply.Rows, prefix); err != nil {
		return nil, &Error{Operation: "scan", Effect: EffectAmbiguous, Err: err}
	}
	return reply.Rows, nil
}

// Commit sends the transaction once. A failed check is not an error; the result then holds the conflicting rows. The
// error of a lost reply matches ErrAmbiguous; a Writer finds out whether the transaction took effect.
func (cl *Client) Commit(ctx context.Context, tx Transaction) (CommitResult, error) {
	var res CommitResult
	if err := cl.postJSON(ctx, call{operation: "commit", path: "/v1/table/commit"}, tx, &res); err != nil {
		return CommitResult{}, err
	}
	if err := checkCommit(tx, res); err != nil {
		return CommitResult{}, &Error{Operation: "commit", Effect: EffectAmbiguous, Err: err}
	}
	return res, nil
}

// GetObject returns the object; the error matches ErrNotFound if there is none.
func (cl *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	if err := validateObject("get object", name); err != nil {
		return nil, err
	}
	data, err := cl.do(ctx, call{operation: "get object", method: http.MethodGet, path: objectPath(name), readOnly: true}, nil)
	var er *Error
	if errors.As(err, &er) && er.Status == http.StatusNotFound {
		er.Err = errors.Wrapf(ErrNotFound, "object %q", name)
	}
	return data, err
}

// PutObject creates or replaces the object.
func (cl *Client) PutObject(ctx context.Context, name string, data []byte) error {
	if err := validateObject("put object", name); err != nil {
		return err
	}
	_, err := cl.do(ctx, call{operation: "put object", method: http.MethodPut, path: objectPath(name)}, data)
	return err
}

// DeleteObject removes the object; it is no error if there is none.
func (cl *Client) DeleteObject(ctx context.Context, name string) error {
	if err := validateObject("delete object", name); err != nil {
		return err
	}
	_, err := cl.do(ctx, call{operation: "delete object", method: http.MethodDelete, path: objectPath(name)}, nil)
	var er *Error
	if errors.As(err, &er) && er.Status == http.StatusNotFound {
		return nil
	}
	return err
}

// Instances returns the platform's list of instances.
func (cl *Client) Instances(ctx context.Context) ([]Instance, error) {
	data, err := cl.do(ctx, call{operation: "list instances", method: http.MethodGet, path: "/v1/instances", readOnly: true}, nil)
	if err != nil {
		return nil, err
	}
	var reply instancesReply
	if err := json.Unmarshal(data, &reply); err != nil {
		return nil, &Error{Operation: "list instances", Effect: EffectAmbiguous, Err: errors.Wrap(err, "decode reply")}
	}
	return reply.Instances, nil
}

func objectPath(name string) string { return "/v1/objects/" + url.PathEscape(name) }

// validateObject rejects object names that HTTP servers rewrite, such as a/../b.
func validateObject(operation, name string) error {
	if fs.ValidPath(name) && name != "." {
		return nil
	}
	return &Error{
		Operation: operation, Effect: EffectNotSent,
		Err: errors.Newf("object name %q is empty or has an empty, \".\" or \"..\" element", name),
	}
}

// call describes a request. A readOnly call may be sent twice, because it has no effect on the platform.
type call struct {
	operation string
	method    string
	path      string
	readOnly  bool
}

func (cl *Client) postJSON(ctx context.Context, ca call, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return &Error{Operation: ca.operation, Effect: EffectNotSent, Err: errors.Wrap(err, "encode request")}
	}
	ca.method = http.MethodPost
	data, err := cl.do(ctx, ca, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &Error{Operation: ca.operation, Effect: EffectAmbiguous, Err: errors.Wrap(err, "decode reply")}
	}
	return nil
}

// do tries the addresses in turn, starting with the preferred one.
func (cl *Client) do(ctx context.Context, ca call, body []byte) ([]byte, error) {
	first := int(cl.preferredIndex.Load())
	attempts := len(cl.se.Addresses)
	if ca.readOnly {
		attempts = max(attempts, 2)
	}
	var lastErr error
	for i := range attempts {
		index := (first + i) % len(cl.se.Addresses)
		data, err := cl.attempt(ctx, cl.se.Addresses[index], ca, body)
		if err == nil {
			cl.preferredIndex.Store(int64(index))
			return data, nil
		}
		lastErr = err
		effect := effectOf(err)
		if ctx.Err() != nil || effect == EffectRefused || (effect == EffectAmbiguous && !ca.readOnly) {
			// The next call starts with another address, because this one may have caused the failure.
			if effect == EffectAmbiguous {
				cl.preferredIndex.Store(int64((index + 1) % len(cl.se.Addresses)))
			}
			return nil, err
		}
	}
	return nil, lastErr
}

func (cl *Client) attempt(ctx context.Context, addr string, ca call, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, cl.se.Timeout)
	defer cancel()
	// A request counts as written once it has a connection, which is before its first byte is written. An error may
	// thus be ambiguous although nothing was written, but is never EffectNotSent after a byte was written.
	var gotConn atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, ca.method, "http://"+addr+ca.path, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Operation: ca.operation, Effect: EffectNotSent, Err: err}
	}
	if ca.method == http.MethodPost {
		req.Header.Set("Content-Type", "application/json")
	}
	if cl.se.ID != "" {
		req.Header.Set(HeaderClient, cl.se.ID)
	}
	resp, err := cl.http.Do(req)
	if err != nil {
		effect := EffectNotSent
		if gotConn.Load() {
			effect = EffectAmbiguous
		}
		return nil, &Error{Operation: ca.operation, Effect: effect, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, cl.se.MaxBodyBytes+1))
	if err == nil && int64(len(data)) > cl.se.MaxBodyBytes {
		err = errors.Newf("reply is longer than %d bytes", cl.se.MaxBodyBytes)
	}
	if resp.StatusCode/100 != 2 {
		return nil, &Error{Operation: ca.operation, Effect: effectOfStatus(resp.StatusCode), Status: resp.StatusCode, Err: replyError(data)}
	}
	if err != nil {
		return nil, &Error{Operation: ca.operation, Effect: EffectAmbiguous, Status: resp.StatusCode, Err: errors.Wrap(err, "read reply")}
	}
	return data, nil
}

// effectOfStatus returns the effect of a request whose reply is not 2xx. A 4xx other than 408 means that the request was
// refused. Other statuses are ambiguous, because a gateway may send a 5xx after it forwarded the request.
func effectOfStatus(status int) Effect {
	if status/100 == 4 && status != http.StatusRequestTimeout {
		return EffectRefused
	}
	return EffectAmbiguous
}

func replyError(data []byte) error {
	var reply struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(data, &reply) == nil && reply.Error != "" {
		return errors.New(reply.Error)
	}
	const maxQuoted = 200
	return fmt.Errorf("reply %.*q", maxQuoted, data)
}
