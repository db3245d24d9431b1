package lovageload

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"lovagestack/lovagejob"
)

// maxQuotedRunes is how many runes of an unexpected reply body an error quotes.
const maxQuotedRunes = 200

// HTTPTarget is a Target that sends jobs to the caller API of entry instances.
type HTTPTarget struct {
	URLs   []string // base URLs of the instances, such as http://127.0.0.1:7100, used round-robin
	Client *http.Client

	requestCount atomic.Uint64
}

// NewHTTPTarget returns a target with a client that keeps enough connections for open-loop load.
func NewHTTPTarget(urls []string) *HTTPTarget {
	transport := &http.Transport{MaxIdleConns: 4096, MaxIdleConnsPerHost: 2048, DisableCompression: true}
	return &HTTPTarget{URLs: urls, Client: &http.Client{Transport: transport}}
}

// Submit posts the job to an instance and waits for the answer. It accepts a valid answer with any HTTP status.
func (ht *HTTPTarget) Submit(ctx context.Context, sub *lovagejob.Submission) (lovagejob.Answer, error) {
	var answer lovagejob.Answer
	err := ht.doJSON(ctx, http.MethodPost, "/v1/jobs", sub, &answer)
	if err == nil && !answer.Outcome.Valid() {
		err = errors.Newf("answer with the invalid outcome %q", answer.Outcome)
	}
	return answer, err
}

// Mint requests a key from an instance.
func (ht *HTTPTarget) Mint(ctx context.Context, repeatable bool) (lovagejob.Key, error) {
	var reply struct {
		Keys []lovagejob.Key `json:"keys"`
	}
	request := struct {
		Count      int  `json:"count"`
		Repeatable bool `json:"repeatable"`
	}{1, repeatable}
	if err := ht.doJSON(ctx, http.MethodPost, "/v1/keys", request, &reply); err != nil {
		return lovagejob.Key{}, err
	}
	if len(reply.Keys) != 1 {
		return lovagejob.Key{}, errors.Newf("asked for 1 key, got %d", len(reply.Keys))
	}
	return reply.Keys[0], nil
}

// Cancel cancels the job with the key.
func (ht *HTTPTarget) Cancel(ctx context.Context, key lovagejob.Key) error {
	return ht.doJSON(ctx, http.MethodDelete, "/v1/jobs/"+key.String(), nil, nil)
}

func (ht *HTTPTarget) doJSON(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode the request")
		}
		body = bytes.NewReader(data)
	}
	url := ht.URLs[ht.requestCount.Add(1)%uint64(len(ht.URLs))] + path
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return errors.Wrap(err, "create the request")
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := ht.Client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrapf(err, "read the reply of %s", url)
	}
	if out == nil {
		if resp.StatusCode >= http.StatusBadRequest {
			return errors.Newf("%s %s: status %d: %.*s", method, url, resp.StatusCode, maxQuotedRunes, data)
		}
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return errors.Wrapf(err, "%s %s: status %d: %.*s", method, url, resp.StatusCode, maxQuotedRunes, data)
	}
	return nil
}
