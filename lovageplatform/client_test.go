package lovageplatform_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"lovagestack/lovagefake"
	"lovagestack/lovageplatform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startServer(t testing.TB, ha http.Handler) string {
	sv := httptest.NewServer(ha)
	t.Cleanup(sv.Close)
	return sv.Listener.Addr().String()
}

func startPlatform(t testing.TB) (*lovagefake.Platform, string) {
	pl := lovagefake.NewPlatform(lovageplatform.NewMemory())
	addr := startServer(t, pl)
	t.Cleanup(pl.Close)
	return pl, addr
}

func newClient(t testing.TB, se lovageplatform.ClientSettings) *lovageplatform.Client {
	cl, err := lovageplatform.NewClient(se)
	must.NoError(t, err)
	t.Cleanup(cl.Close)
	return cl
}

// closedAddress returns an address that refuses connections.
func closedAddress(t testing.TB) string {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, li.Close())
	return li.Addr().String()
}

// Checks that the client follows the platform's protocol for keys and object names that need escaping, for rows
// that do not exist, and for deletions and conflicts.
func TestClientProtocol(t *testing.T) {
	_, addr := startPlatform(t)
	cl := newClient(t, lovageplatform.ClientSettings{Addresses: []string{closedAddress(t), addr}})
	ctx := context.Background()
	res, err := cl.Commit(ctx, lovageplatform.Transaction{
		Checks: []lovageplatform.Check{{Key: "a/ü"}},
		Writes: []lovageplatform.Write{{Key: "a/ü", Value: []byte{0, 255}}, {Key: "a/b"}},
	})
	must.NoError(t, err)
	must.Eq(t, lovageplatform.CommitResult{Committed: true, Versions: map[string]int64{"a/ü": 1, "a/b": 1}}, res)
	rows, err := cl.Read(ctx, "a/ü", "none", "a/ü")
	must.NoError(t, err)
	must.Eq(t, []lovageplatform.Row{
		{Key: "a/ü", Value: []byte{0, 255}, Version: 1}, {Key: "none"}, {Key: "a/ü", Value: []byte{0, 255}, Version: 1},
	}, rows)
	rows, err = cl.Scan(ctx, "")
	must.NoError(t, err)
	must.Eq(t, 2, len(rows))
	res, err = cl.Commit(ctx, lovageplatform.Transaction{Checks: []lovageplatform.Check{{Key: "a/b"}}})
	must.NoError(t, err)
	must.Eq(t, []lovageplatform.Row{{Key: "a/b", Version: 1}}, res.Conflicts)

	for _, name := range []string{"snapshot/256", "a b%2F?#"} {
		must.NoError(t, cl.PutObject(ctx, name, []byte(name)), must.Sprint(name))
		data, err := cl.GetObject(ctx, name)
		must.NoError(t, err)
		must.Eq(t, name, string(data))
		must.NoError(t, cl.DeleteObject(ctx, name))
		must.NoError(t, cl.DeleteObject(ctx, name))
		_, err = cl.GetObject(ctx, name)
		must.ErrorIs(t, err, lovageplatform.ErrNotFound)
	}
	for _, name := range []string{"", ".", "a/../b", "/a", "a//b"} {
		must.ErrorIs(t, cl.PutObject(ctx, name, nil), lovageplatform.ErrNotSent, must.Sprint(name))
	}
}

// Checks that the error of a write states whether the write may have had an effect, and that a read tries the second
// address unless a reply refuses the read or cannot be decoded.
func TestClientEffects(t *testing.T) {
	rawReply := func(reply string) func(t *testing.T) string {
		return func(t *testing.T) string {
			return startServer(t, http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
				co, _, err := http.NewResponseController(rw).Hijack()
				if err == nil {
					_, _ = co.Write([]byte(reply))
					_ = co.Close()
				}
			}))
		}
	}
	withFaults := func(fa lovagefake.PlatformFaults) func(t *testing.T) string {
		return func(t *testing.T) string {
			pl, addr := startPlatform(t)
			pl.SetFaults(fa)
			return addr
		}
	}
	long := "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + string(make([]byte, 5000))
	for _, tt := range []struct {
		name    string
		address func(t *testing.T) string
		want    error

		readFails bool // the reply refuses the read or cannot be decoded, so the client does not try the second address
	}{
		{"connection refused", func(t *testing.T) string { return closedAddress(t) }, lovageplatform.ErrNotSent, false},
		{"down", withFaults(lovagefake.PlatformFaults{Down: true}), lovageplatform.ErrAmbiguous, false},
		{"reply lost", withFaults(lovagefake.PlatformFaults{LoseReplies: -1}), lovageplatform.ErrAmbiguous, false},
		{"slow", withFaults(lovagefake.PlatformFaults{Latency: lovagefake.Duration(time.Minute)}), lovageplatform.ErrAmbiguous, false},
		{"partitioned", withFaults(lovagefake.PlatformFaults{Partitioned: []string{"k1"}}), lovageplatform.ErrAmbiguous, false},
		{"no reply", rawReply(""), lovageplatform.ErrAmbiguous, false},
		{"not HTTP", rawReply("hello\r\n\r\n"), lovageplatform.ErrAmbiguous, false},
		{"body cut", rawReply("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{\"committed\":true}"), lovageplatform.ErrAmbiguous, false},
		{"body too long", rawReply(long), lovageplatform.ErrAmbiguous, false},
		{"not JSON", rawReply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), lovageplatform.ErrAmbiguous, true},
		{"neither committed nor conflict", rawReply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"), lovageplatform.ErrAmbiguous, true},
		{"503", rawReply("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), lovageplatform.ErrAmbiguous, false},
		{"redirect", rawReply("HTTP/1.1 307 Go\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n"), lovageplatform.ErrAmbiguous, false},
		{"400", rawReply("HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n"), lovageplatform.ErrRefused, true},
		{"429", rawReply("HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n"), lovageplatform.ErrRefused, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, goodAddr := startPlatform(t)
			se := lovageplatform.ClientSettings{
				Addresses: []string{tt.address(t), goodAddr}, ID: "k1", Timeout: 300 * time.Millisecond, MaxBodyBytes: 4096,
			}
			_, err := newClient(t, se).Read(context.Background(), "a")
			if tt.readFails {
				must.Error(t, err)
			} else {
				must.NoError(t, err)
			}
			se.Addresses = se.Addresses[:1]
			_, err = newClient(t, se).Commit(context.Background(), lovageplatform.Transaction{
				Writes: []lovageplatform.Write{{Key: "a"}},
			})
			must.ErrorIs(t, err, tt.want)
		})
	}
}

// Checks that a transaction over HTTP takes effect exactly once when a reply is lost or a commit is delayed.
func TestWriterOverHTTP(t *testing.T) {
	pl, addr := startPlatform(t)
	cl := newClient(t, lovageplatform.ClientSettings{Addresses: []string{addr}})
	wr := lovageplatform.NewWriter(cl, "k1", lovageplatform.WriterSettings{MinBackoff: time.Millisecond})
	tx := lovageplatform.Transaction{Writes: []lovageplatform.Write{{Key: "a"}}}
	delay := lovagefake.Duration(50 * time.Millisecond)
	for i, fa := range []lovagefake.PlatformFaults{{}, {LoseReplies: 2}, {DelayCommits: 2, CommitDelay: delay}} {
		pl.SetFaults(fa)
		res, err := wr.Commit(context.Background(), tx)
		must.NoError(t, err)
		must.True(t, res.Committed)
		rows, err := cl.Read(context.Background(), "a")
		must.NoError(t, err)
		must.Eq(t, int64(i+1), rows[0].Version)
	}
	// Two repeats after lost replies conflict, and so do the two delayed commits once they arrive.
	for deadline := time.Now().Add(30 * time.Second); pl.Counters().Conflicts < 4 && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}
	rows, err := cl.Read(context.Background(), "a")
	must.NoError(t, err)
	must.Eq(t, int64(3), rows[0].Version)
}

// Checks that a read succeeds although the platform had closed an idle connection.
func TestReadOnClosedConnection(t *testing.T) {
	_, addr := startPlatform(t)
	re, err := lovagefake.NewRelay(addr)
	must.NoError(t, err)
	defer re.Close()
	cl := newClient(t, lovageplatform.ClientSettings{Addresses: []string{re.Address()}})
	for range 50 {
		_, err := cl.Read(context.Background(), "a")
		must.NoError(t, err)
		re.CloseConnections()
	}
}
