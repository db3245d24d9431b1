package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"lovagestack/lovageadmission"
	"lovagestack/lovageconn"
)

// startServer starts a server whose handler answers 204, and returns it with a connection that has had one request.
func startServer(t *testing.T) (*server, net.Conn, *bufio.Reader) {
	t.Helper()
	sv := newServer("127.0.0.1:0", http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/slow" {
			<-req.Context().Done()
			rw.Header().Set("Connection", "close")
			rw.WriteHeader(http.StatusGatewayTimeout)
			return
		}
		rw.WriteHeader(http.StatusNoContent)
	}), lovageadmission.New(lovageadmission.DefaultSettings(0, 0)))
	must.NoError(t, sv.listen())
	served := make(chan error, 1)
	go func() { served <- sv.run() }()
	t.Cleanup(func() {
		_ = sv.http.Close()
		must.NoError(t, <-served)
	})
	nc, err := net.Dial("tcp", sv.listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	re := bufio.NewReader(nc)
	_, err = fmt.Fprint(nc, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	must.NoError(t, err)
	requireNoContent(t, re)
	return sv, nc, re
}

func requireNoContent(t *testing.T, re *bufio.Reader) {
	t.Helper()
	requireStatus(t, re, http.StatusNoContent)
}

func requireStatus(t *testing.T, re *bufio.Reader, status int) {
	t.Helper()
	rs, err := http.ReadResponse(re, nil)
	must.NoError(t, err)
	must.NoError(t, rs.Body.Close())
	must.Eq(t, status, rs.StatusCode)
}

// Guards against a request that is cut because its header was still being read when the server stopped.
func TestShutDownServesRequestsThatHaveArrived(t *testing.T) {
	sv, nc, re := startServer(t)
	_, err := fmt.Fprint(nc, "GET / HTTP/1.1\r\n")
	must.NoError(t, err)
	time.Sleep(50 * time.Millisecond) // until the server has read it
	ended := make(chan error, 1)
	go func() { ended <- sv.shutDown(t.Context()) }()
	time.Sleep(100 * time.Millisecond)
	_, err = fmt.Fprint(nc, "Host: a\r\nConnection: close\r\n\r\n")
	must.NoError(t, err)
	requireNoContent(t, re)
	must.NoError(t, <-ended)
}

func TestShutDownClosesIdleConnections(t *testing.T) {
	sv, _, re := startServer(t)
	began := time.Now()
	must.NoError(t, sv.shutDown(t.Context()))
	test.Less(t, time.Second, time.Since(began))
	_, err := re.ReadByte()
	test.Error(t, err)
	_, err = net.Dial("tcp", sv.listener.Addr().String())
	test.Error(t, err)
}

// Guards against a request that is cut at the end of the time for a stop, although its caller can be told that its outcome is unknown.
func TestShutDownAnswersRequestsInProgress(t *testing.T) {
	sv, nc, re := startServer(t)
	_, err := fmt.Fprint(nc, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	must.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	must.NoError(t, sv.shutDown(ctx))
	requireStatus(t, re, http.StatusGatewayTimeout)
}

func TestShutDownEndsWithItsContext(t *testing.T) {
	sv, nc, _ := startServer(t)
	_, err := fmt.Fprint(nc, "GET")
	must.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	must.ErrorContains(t, sv.shutDown(ctx), "1 connections are open")
}

// Guards against connections beyond the limit that wait without end or take more than their part, and against ones that are never released.
func TestConnectionsBeyondTheLimitAreRefused(t *testing.T) {
	se := lovageadmission.DefaultSettings(0, 0)
	se.Connections, se.Queue, se.QueueTime, se.Stall = 8, 2, 100*time.Millisecond, time.Hour
	sv := serveForTest(t, se, http.NotFoundHandler())
	var conns []net.Conn
	for range 12 {
		nc, err := net.Dial("tcp", sv.listener.Addr().String())
		must.NoError(t, err)
		defer func() { _ = nc.Close() }()
		conns = append(conns, nc)
	}
	for _, nc := range conns[8:] {
		must.NoError(t, nc.SetReadDeadline(time.Now().Add(waitTimeout)))
		rs, err := http.ReadResponse(bufio.NewReader(nc), nil)
		must.NoError(t, err)
		must.NoError(t, rs.Body.Close())
		must.Eq(t, http.StatusServiceUnavailable, rs.StatusCode)
		must.Eq(t, "1", rs.Header.Get("Retry-After"))
		us := sv.account.Use()
		must.Eq(t, 8, us.Connections)
		must.LessEq(t, 2, us.Waiting)
		must.NoError(t, nc.Close())
	}
	for _, nc := range conns[:8] {
		must.NoError(t, nc.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
		var ne net.Error
		_, err := nc.Read(make([]byte, 1))
		must.True(t, errors.As(err, &ne) && ne.Timeout())
		must.NoError(t, nc.Close())
	}
	awaitEmptyAccount(t, sv)
}

// Guards against a client that gets no answer although its connection allows one, and against a job that is taken for run.
func TestStalledBodyGetsAnswer(t *testing.T) {
	se := lovageadmission.DefaultSettings(0, 0)
	se.Grace = 100 * time.Millisecond
	sv := serveForTest(t, se, http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		client := lovageadmission.FromContext(req.Context())
		client.StartBody(time.Now(), 0)
		_, err := io.ReadAll(req.Body)
		test.Error(t, err)
		test.False(t, client.Received(time.Now()))
		lovageconn.Refuse(rw)
		rw.WriteHeader(http.StatusServiceUnavailable)
	}))
	nc, err := net.Dial("tcp", sv.listener.Addr().String())
	must.NoError(t, err)
	defer func() { _ = nc.Close() }()
	_, err = fmt.Fprint(nc, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n123456789")
	must.NoError(t, err)
	must.NoError(t, nc.SetReadDeadline(time.Now().Add(waitTimeout)))
	rs, err := http.ReadResponse(bufio.NewReader(nc), nil)
	must.NoError(t, err)
	must.NoError(t, rs.Body.Close())
	must.Eq(t, http.StatusServiceUnavailable, rs.StatusCode)
	must.Eq(t, "1", rs.Header.Get("Retry-After"))
	must.True(t, rs.Close)
	awaitEmptyAccount(t, sv)
}

// Guards against a handler that leaves the body unread, for whose end net/http waits without a limit.
func TestUnreadBodyIsNotWaitedFor(t *testing.T) {
	se := lovageadmission.DefaultSettings(0, 0)
	se.Grace = 100 * time.Millisecond
	sv := serveForTest(t, se, http.NotFoundHandler())
	nc, err := net.Dial("tcp", sv.listener.Addr().String())
	must.NoError(t, err)
	defer func() { _ = nc.Close() }()
	_, err = fmt.Fprint(nc, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n1")
	must.NoError(t, err)
	must.NoError(t, nc.SetReadDeadline(time.Now().Add(waitTimeout)))
	requireStatus(t, bufio.NewReader(nc), http.StatusNotFound)
	awaitEmptyAccount(t, sv)
}

// Guards against a client that sends requests and does not read the answers: it holds no more than the buffers of its connection, and not
// for longer than the limit on a write.
func TestClientThatDoesNotReadIsDisconnected(t *testing.T) {
	sv := serveForTest(t, lovageadmission.DefaultSettings(0, 0), http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		_, _ = rw.Write(make([]byte, 1<<20))
	}))
	nc, err := net.Dial("tcp", sv.listener.Addr().String())
	must.NoError(t, err)
	defer func() { _ = nc.Close() }()
	_, err = fmt.Fprint(nc, strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 30))
	must.NoError(t, err)
	awaitEmptyAccount(t, sv)
}

// serveForTest starts a server with the limits.
func serveForTest(t *testing.T, se lovageadmission.Settings, handler http.Handler) *server {
	t.Helper()
	sv := newServer("127.0.0.1:0", handler, lovageadmission.New(se))
	must.NoError(t, sv.listen())
	go func() { _ = sv.run() }()
	t.Cleanup(func() { _ = sv.http.Close() })
	return sv
}

// awaitEmptyAccount waits until clients hold nothing.
func awaitEmptyAccount(t *testing.T, sv *server) {
	t.Helper()
	var us lovageadmission.Use
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if us = sv.account.Use(); us.Connections == 0 {
			must.Eq(t, 0, us.BodyBytes)
			must.Eq(t, 0, us.HeaderBytes)
			return
		}
	}
	t.Fatalf("clients still hold %+v", us)
}
