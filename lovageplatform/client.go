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
	Addresses    []string      // IP addresses and ports of the platform, at least one; the first that works is kept
	ID           string        // ID of the calling instance, sent in the Lovage-Client header
	Timeout      time.Duration // bound of one attempt, 2 s; the context bounds the whole call
	DialTimeout  time.Duration // bound of connecting to one address, 500 ms
	MaxBodyBytes int64         // bound of a reply's body, 64 MiB
}

// Client speaks to the platform over HTTP. Its methods are safe for concurrent use.
//
// A read is tried at each address, and at least twice, because the platform may have closed an idle connection. A write
// goes on to the next address only if no byte of it was written.
type Client struct {
	se   ClientSettings
	http *http.Client
	last atomic.Int64 // index of the address that answered last
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
			Proxy:               nil, // the platform is reached directly, whatever the environment says
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
	if err := cl.json(ctx, call{op: "read", path: "/v1/table/read", read: true}, readRequest{Keys: keys}, &reply); err != nil {
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
	if err := cl.json(ctx, call{op: "scan", path: "/v1/table/read", read: true}, readRequest{Prefix: &prefix}, &reply); err != nil {
		return nil, err
	}
	if err := checkScan(reply.Rows, prefix); err != nil {
		return nil, &Error{Operation: "scan", Effect: EffectAmbiguous, Err: err}
	}
	return reply.Rows, nil
}

// Commit sends the transaction once. A failed check is not an error; the result then holds the conflicting rows. The
// error of a lost reply matches ErrAmbiguous; a Writer recognises whether the transaction took effect.
func (cl *Client) Commit(ctx context.Context, tx Transaction) (CommitResult, error) {
	var res CommitResult
	if err := cl.json(ctx, call{op: "commit", path: "/v1/table/commit"}, tx, &res); err != nil {
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
	data, err := cl.do(ctx, call{op: "get object", method: http.MethodGet, path: objectPath(name), read: true}, nil)
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
	_, err := cl.do(ctx, call{op: "put object", method: http.MethodPut, path: objectPath(name)}, data)
	return err
}

// DeleteObject removes the object; it is no error if there is none.
func (cl *Client) DeleteObject(ctx context.Context, name string) error {
	if err := validateObject("delete object", name); err != nil {
		return err
	}
	_, err := cl.do(ctx, call{op: "delete object", method: http.MethodDelete, path: objectPath(name)}, nil)
	var er *Error
	if errors.As(err, &er) && er.Status == http.StatusNotFound {
		return nil
	}
	return err
}

// Instances returns the platform's list of instances.
func (cl *Client) Instances(ctx context.Context) ([]Instance, error) {
	data, err := cl.do(ctx, call{op: "list instances", method: http.MethodGet, path: "/v1/instances", read: true}, nil)
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

// validateObject refuses names that HTTP servers rewrite, such as a/../b.
func validateObject(operation, name string) error {
	if fs.ValidPath(name) && name != "." {
		return nil
	}
	return &Error{
		Operation: operation, Effect: EffectNotSent,
		Err: errors.Newf("object name %q is empty or has an empty, \".\" or \"..\" element", name),
	}
}

// call describes a request; read means that sending it twice does no harm.
type call struct {
	op     string
	method string
	path   string
	read   bool
}

func (cl *Client) json(ctx context.Context, ca call, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return &Error{Operation: ca.op, Effect: EffectNotSent, Err: errors.Wrap(err, "encode request")}
	}
	ca.method = http.MethodPost
	data, err := cl.do(ctx, ca, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &Error{Operation: ca.op, Effect: EffectAmbiguous, Err: errors.Wrap(err, "decode reply")}
	}
	return nil
}

// do tries the addresses in turn, beginning with the one that answered last.
func (cl *Client) do(ctx context.Context, ca call, body []byte) ([]byte, error) {
	first := int(cl.last.Load())
	tries := len(cl.se.Addresses)
	if ca.read {
		tries = max(tries, 2)
	}
	var last error
	for i := range tries {
		at := (first + i) % len(cl.se.Addresses)
		data, err := cl.attempt(ctx, cl.se.Addresses[at], ca, body)
		if err == nil {
			cl.last.Store(int64(at))
			return data, nil
		}
		last = err
		effect := effectOf(err)
		if ctx.Err() != nil || effect == EffectRefused || (effect == EffectAmbiguous && !ca.read) {
			// The next call begins with another address, because this one may be the reason.
			if effect == EffectAmbiguous {
				cl.last.Store(int64((at + 1) % len(cl.se.Addresses)))
			}
			return nil, err
		}
	}
	return nil, last
}

func (cl *Client) attempt(ctx context.Context, addr string, ca call, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, cl.se.Timeout)
	defer cancel()
	// A request counts as written from the moment it is given a connection, which is earlier than its first byte: the
	// error may then be ambiguous although nothing was written, but never the other way round.
	var given atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { given.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, ca.method, "http://"+addr+ca.path, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Operation: ca.op, Effect: EffectNotSent, Err: err}
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
		if given.Load() {
			effect = EffectAmbiguous
		}
		return nil, &Error{Operation: ca.op, Effect: effect, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, cl.se.MaxBodyBytes+1))
	if err == nil && int64(len(data)) > cl.se.MaxBodyBytes {
		err = errors.Newf("reply is longer than %d bytes", cl.se.MaxBodyBytes)
	}
	if resp.StatusCode/100 != 2 {
		return nil, &Error{Operation: ca.op, Effect: statusEffect(resp.StatusCode), Status: resp.StatusCode, Err: replyError(data)}
	}
	if err != nil {
		return nil, &Error{Operation: ca.op, Effect: EffectAmbiguous, Status: resp.StatusCode, Err: errors.Wrap(err, "read reply")}
	}
	return data, nil
}

// statusEffect classifies a reply that is not 2xx. A gateway may send a 5xx after it passed the request on, and 408
// says only that somebody waited too long.
func statusEffect(status int) Effect {
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
