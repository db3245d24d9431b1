package lovageapi

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// BenchmarkSubmit measures the overhead of the caller API, without the network, for a job that completes at once.
func BenchmarkSubmit(b *testing.B) {
	for _, tasks := range []int{1, 350} {
		for _, size := range []int{100, 4_000} {
			b.Run(fmt.Sprintf("tasks=%d/bytes=%d", tasks, size), func(b *testing.B) {
				se := DefaultSettings()
				se.Now = testClock
				srv, err := NewCallerServer(se, &fakeJobs{}, nil)
				if err != nil {
					b.Fatal(err)
				}
				task := `{"payload":{"log":"` + strings.Repeat("x", size) + `"}}`
				body := jobJSON(testKey("a1").String(), "["+strings.Repeat(task+",", tasks-1)+task+"]")
				b.SetBytes(int64(len(body)))
				b.ReportAllocs()
				for b.Loop() {
					rec := httptest.NewRecorder()
					srv.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(body)))
					if rec.Code != http.StatusOK {
						b.Fatal(rec.Body)
					}
				}
			})
		}
	}
}

// BenchmarkSubmitLoopback measures a job that completes at once over a reused loopback connection.
func BenchmarkSubmitLoopback(b *testing.B) {
	se := DefaultSettings()
	se.Now = testClock
	srv, err := NewCallerServer(se, &fakeJobs{}, nil)
	if err != nil {
		b.Fatal(err)
	}
	server := httptest.NewServer(srv.Handler())
	defer server.Close()
	cl := NewClient(server.Listener.Addr().String())
	defer cl.Close()
	jo := JobRequest{
		Key: testKey("a1").String(), Service: "a", Team: "b", Deadline: testNow.Add(time.Second),
		Tasks: []TaskRequest{{Payload: []byte(`{"log":4711}`)}},
	}
	for b.Loop() {
		if _, err := cl.Submit(b.Context(), jo); err != nil {
			b.Fatal(err)
		}
	}
}
