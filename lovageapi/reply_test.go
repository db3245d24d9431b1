package lovageapi

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

// Guards against a reply of a proxy that passes for "this request was not processed".
func TestOnlyErrorRepliesMeanNotProcessed(t *testing.T) {
	for name, tc := range map[string]struct {
		status       int
		body         string
		notProcessed bool
	}{
		"rejected by the API":         {http.StatusBadRequest, `{"error":"the request has faults; nothing was started"}`, true},
		"overloaded":                  {http.StatusServiceUnavailable, `{"error":"too many requests are in progress"}`, true},
		"bad gateway":                 {http.StatusBadGateway, "<html>502 Bad Gateway</html>", false},
		"bad gateway with JSON":       {http.StatusBadGateway, `{"error":"upstream connection was reset"}`, false},
		"gateway timeout with JSON":   {http.StatusGatewayTimeout, `{"error":"upstream request timed out"}`, false},
		"server error without reason": {http.StatusInternalServerError, "", false},
		"request timeout":             {http.StatusRequestTimeout, "", false},
		"service unavailable":         {http.StatusServiceUnavailable, "<html>503</html>", false},
	} {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.WriteHeader(tc.status)
				_, _ = io.WriteString(w, tc.body)
			}))
			defer srv.Close()
			cl := NewClient(strings.TrimPrefix(srv.URL, "http://"))
			defer cl.Close()
			_, err := cl.Submit(context.Background(), newJobRequest(testKey("k1").String(), time.Minute))
			must.Error(t, err)
			var re *ReplyError
			must.Eq(t, tc.notProcessed, errors.As(err, &re), must.Sprint(err))
			must.False(t, errors.Is(err, ErrNotSent))
		})
	}
}
