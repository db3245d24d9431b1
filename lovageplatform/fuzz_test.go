package lovageplatform_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"lovagestack/lovageplatform"
)

// FuzzReply checks that no reply of the platform makes the client panic, hang, read without limit, report a
// commit as neither committed nor conflicting, or return rows that were not requested. The seed corpus is in
// testdata/fuzz.
func FuzzReply(f *testing.F) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(f, err)
	var status int
	var body []byte
	sv := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		rw.WriteHeader(status)
		_, _ = rw.Write(body)
	})}
	served := make(chan struct{})
	go func() { defer close(served); _ = sv.Serve(li) }()
	f.Cleanup(func() { _ = sv.Close(); <-served })
	cl := newClient(f, lovageplatform.ClientSettings{Addresses: []string{li.Addr().String()}, MaxBodyBytes: 1 << 16})
	f.Fuzz(func(t *testing.T, code uint16, data []byte) {
		status, body = 200+int(code)%400, data
		ctx := context.Background()
		check := func(err error) {
			if err == nil {
				return
			}
			var er *lovageplatform.Error
			must.True(t, errors.As(err, &er))
			must.True(t, errors.Is(err, lovageplatform.ErrRefused) == (status/100 == 4 && status != 408))
		}
		rows, err := cl.Read(ctx, "a", "b")
		check(err)
		if err == nil {
			must.Eq(t, 2, len(rows))
			must.True(t, rows[0].Key == "a" && rows[1].Key == "b")
		}
		rows, err = cl.Scan(ctx, "a/")
		check(err)
		for _, ro := range rows {
			must.True(t, strings.HasPrefix(ro.Key, "a/") && ro.Version > 0)
		}
		res, err := cl.Commit(ctx, lovageplatform.Transaction{
			Checks: []lovageplatform.Check{{Key: "a", Version: 1}}, Writes: []lovageplatform.Write{{Key: "a"}},
		})
		check(err)
		if err == nil {
			must.True(t, res.Committed != (len(res.Conflicts) > 0))
			must.True(t, !res.Committed || res.Versions["a"] > 0)
			must.True(t, res.Committed || (res.Conflicts[0].Key == "a" && res.Conflicts[0].Version != 1))
		}
		_, err = cl.Instances(ctx)
		check(err)
		object, err := cl.GetObject(ctx, "a")
		check(err)
		if err == nil && status != 204 && status != 205 {
			must.Eq(t, string(data), string(object))
		}
	})
}
