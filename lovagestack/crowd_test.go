package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// Size of the crowd of one test. It, the machines and the bounds are fixed: a change of them would hide a regression.
const (
	// The smallest machine of the pages.
	smallestMemoryMB = 144
	smallestFiles    = 3075

	crowdSeed      = 42
	crowdOpenTime  = time.Second      // over which the clients connect for the first time
	crowdHoldTime  = 4 * time.Second  // shortest time for which they come again
	crowdLimit     = 30 * time.Second // longest time for which they come again while ordinary callers wait for an answer
	crowdPause     = 5 * time.Millisecond
	ordinaryPause  = 20 * time.Millisecond
	ordinaryPeriod = 10 * time.Second // within which a caller gets an answer or gives up
)

// crowdKind is a kind of clients. Each visits with a connection, and comes again when it has ended.
type crowdKind struct{ visit func(vi *visit) }

// visit is one connection of a client.
type visit struct {
	net.Conn
	rnd     *rand.Rand
	ctx     context.Context
	request []byte // of serveRequest
	made    bool
}

// write sends data and reports whether the connection is still usable.
func (vi *visit) write(data []byte) bool {
	_, err := vi.Write(data)
	return err == nil
}

// linger keeps the connection for the time, or until the other end closes it, and reads at most one byte of each answer.
func (vi *visit) linger(d time.Duration) {
	_ = vi.SetReadDeadline(time.Now().Add(d))
	var one [1]byte
	for {
		if _, err := vi.Read(one[:]); err != nil {
			return
		}
		select {
		case <-vi.ctx.Done():
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// hold keeps the connection without reading until the crowd disperses or the other end has closed it, which a write shows.
func (vi *visit) hold(d time.Duration) {
	select {
	case <-vi.ctx.Done():
	case <-time.After(d):
	}
}

// answer reads an answer and reports whether another request may follow on the connection.
func (vi *visit) answer(re *bufio.Reader) bool {
	_ = vi.SetReadDeadline(time.Now().Add(ordinaryPeriod))
	resp, err := http.ReadResponse(re, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return err == nil && !resp.Close
}

// crowd is a number of clients of some kinds at some addresses.
type crowd struct {
	wg      sync.WaitGroup
	visits  atomic.Int64
	disband context.CancelFunc
}

// startCrowd starts the clients, which take the kinds and the addresses in turn.
func startCrowd(clients int, kinds []crowdKind, addresses []string) *crowd {
	ctx, cancel := context.WithCancel(context.Background())
	cr := &crowd{disband: cancel}
	for i := range clients {
		rnd := rand.New(rand.NewPCG(crowdSeed, uint64(i)))
		kind, address := kinds[i%len(kinds)], addresses[i/len(kinds)%len(addresses)]
		delay := crowdOpenTime * time.Duration(i) / time.Duration(clients)
		cr.wg.Go(func() {
			for time.Sleep(delay); ctx.Err() == nil; time.Sleep(crowdPause) {
				cr.visit(ctx, address, kind, rnd)
			}
		})
	}
	return cr
}

func (cr *crowd) visit(ctx context.Context, address string, kind crowdKind, rnd *rand.Rand) {
	dialer := net.Dialer{Timeout: ordinaryPeriod}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	cr.visits.Add(1)
	tc := nc.(*net.TCPConn)
	// Small buffers, so that answers that are not read and requests that are not taken fill them.
	_ = tc.SetReadBuffer(4 << 10)
	_ = tc.SetWriteBuffer(16 << 10)
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	kind.visit(&visit{Conn: nc, rnd: rnd, ctx: ctx})
	stop()
	_ = nc.Close()
}

// end makes the clients disconnect and waits for them.
func (cr *crowd) end() {
	cr.disband()
	cr.wg.Wait()
}

// ordinaryKind is a kind of callers inside the limits.
type ordinaryKind struct {
	name string
	body int  // bytes
	old  bool // on a connection that stays open
	// answered says that an answer is enough while the crowd is there, because few bodies of this size fit into the memory at once.
	answered bool
}

// ordinary is a caller of one kind and what it got.
type ordinary struct {
	ordinaryKind
	send     func(ctx context.Context, client *http.Client, size int) (status int, err error)
	client   *http.Client
	served   int // requests answered with 200
	refused  int // requests with another answer
	cut      int // requests without an answer
	lastFail string
}

func newOrdinary(kind ordinaryKind, send func(ctx context.Context, client *http.Client, size int) (int, error)) *ordinary {
	return &ordinary{ordinaryKind: kind, send: send, client: &http.Client{
		Timeout: ordinaryPeriod, Transport: &http.Transport{DisableKeepAlives: !kind.old, MaxIdleConnsPerHost: 1},
	}}
}

// call sends one request. A caller whose old connection was closed before an answer sends it again on a new one, as the pages say.
func (or *ordinary) call(ctx context.Context) {
	status, err := or.send(ctx, or.client, or.body)
	if err != nil && or.old {
		or.client.CloseIdleConnections()
		status, err = or.send(ctx, or.client, or.body)
	}
	switch {
	case ctx.Err() != nil:
	case err != nil:
		or.cut++
		or.lastFail = err.Error()
	case status == http.StatusOK:
		or.served++
	default:
		or.refused++
		or.lastFail = http.StatusText(status)
	}
}

func (or *ordinary) String() string {
	return fmt.Sprintf("%s: %d served, %d refused, %d cut", or.name, or.served, or.refused, or.cut)
}

// crowdTarget is what a crowd meets: processes and their addresses.
type crowdTarget struct {
	t         *testing.T
	processes []*process
	addresses []string // of callers
	others    []string // other addresses of the processes
	memoryMB  int
	files     int // descriptors that a process may have; 0: not checked
	kinds     []ordinaryKind
	send      func(ctx context.Context, client *http.Client, size int) (int, error)
}

// meet lets the crowd come, and checks the processes and ordinary callers meanwhile and afterwards. Nothing that is checked depends on
// the speed of the machine: the processes live and keep their limits, each kind of ordinary caller is served while the crowd is there, and no
// ordinary request stays without an answer.
func (ct *crowdTarget) meet(clients int, kinds ...crowdKind) {
	t := ct.t
	t.Helper()
	watchCtx, stopWatch := context.WithCancel(context.Background())
	defer stopWatch()
	uses := make([]floodUse, len(ct.processes))
	var watches sync.WaitGroup
	for i, pr := range ct.processes {
		watches.Go(func() { uses[i] = ct.watch(watchCtx, pr, i) })
	}
	cr := startCrowd(clients, kinds, ct.addresses)
	defer cr.end()
	time.Sleep(crowdOpenTime)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var callers []*ordinary
	var wg sync.WaitGroup
	var waiting atomic.Int64
	for _, kind := range ct.kinds {
		or := newOrdinary(kind, ct.send)
		callers = append(callers, or)
		waiting.Add(1)
		wg.Go(func() {
			done := false
			for ; ctx.Err() == nil; time.Sleep(ordinaryPause) {
				if or.call(ctx); !done && (or.served > 0 || or.answered && or.refused > 0) {
					done = true
					waiting.Add(-1)
				}
			}
		})
	}
	begin := time.Now()
	for time.Since(begin) < crowdLimit && (time.Since(begin) < crowdHoldTime || waiting.Load() > 0) && ct.alive() {
		time.Sleep(ordinaryPause)
	}
	cancel()
	wg.Wait()
	cr.end()
	t.Logf("%d visits in %s", cr.visits.Load(), time.Since(begin).Round(time.Second))
	for _, or := range callers {
		t.Logf("during the crowd, %s", or)
		if !or.answered {
			test.Positive(t, or.served, test.Sprintf("%s: served during the crowd; last: %s", or.name, or.lastFail))
		}
		test.Zero(t, or.cut, test.Sprintf("%s: requests without an answer during the crowd; last: %s", or.name, or.lastFail))
	}
	for _, kind := range ct.kinds {
		ct.requireServed(newOrdinary(kind, ct.send))
	}
	stopWatch()
	watches.Wait()
	for i, pr := range ct.processes {
		use := uses[i]
		t.Logf("%s: peak memory %d MB, and %d MB in the kernel, of %d MB; %d descriptors", pr.name, use.memory>>20, use.unread>>20, ct.memoryMB, use.files)
		select {
		case <-pr.exited:
			t.Errorf("%s has ended: %s", pr.name, pr.cmd.ProcessState)
		default:
		}
		test.Less(t, int64(ct.memoryMB)<<20, use.memory+use.unread, test.Sprintf("memory of %s", pr.name))
		if ct.files > 0 {
			test.LessEq(t, ct.files, use.files, test.Sprintf("descriptors of %s", pr.name))
		}
	}
}

func (ct *crowdTarget) alive() bool {
	for _, pr := range ct.processes {
		select {
		case <-pr.exited:
			return false
		default:
		}
	}
	return true
}

// requireServed sends requests until one is served.
func (ct *crowdTarget) requireServed(or *ordinary) {
	ct.t.Helper()
	for end := time.Now().Add(20 * time.Second); or.served == 0 && ct.alive(); time.Sleep(ordinaryPause) {
		or.call(context.Background())
		if time.Now().After(end) {
			break
		}
	}
	test.Positive(ct.t, or.served, test.Sprintf("%s: served after the crowd; last: %s", or.name, or.lastFail))
}

// watch measures process i until ctx ends: its memory, and what the kernel holds for its connections.
func (ct *crowdTarget) watch(ctx context.Context, pr *process, i int) floodUse {
	dir := fmt.Sprintf("/proc/%d", pr.cmd.Process.Pid)
	addresses := []string{ct.addresses[i]}
	per := len(ct.others) / len(ct.processes)
	addresses = append(addresses, ct.others[i*per:(i+1)*per]...)
	var use floodUse
	for {
		if files, err := os.ReadDir(filepath.Join(dir, "fd")); err == nil {
			use.files = max(use.files, len(files))
		}
		use.memory = max(use.memory, peakMemory(filepath.Join(dir, "status")))
		kernel := int64(0)
		for _, address := range addresses {
			kernel += socketMemory(address)
		}
		use.unread = max(use.unread, kernel)
		select {
		case <-ctx.Done():
			return use
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// newServeTarget starts two instances of serve on the smallest machine.
func newServeTarget(t *testing.T) (*crowdTarget, *floodSystem) {
	fs := startFloodSystem(t, smallestMemoryMB, smallestFiles)
	second := fs.addInstance("b")
	ct := &crowdTarget{
		t: t, memoryMB: smallestMemoryMB, files: smallestFiles - floodFileRoom,
		processes: []*process{fs.process, second.process},
		addresses: []string{fs.frontend, second.frontend},
		others:    []string{fs.readiness, fs.metrics, second.readiness, second.metrics},
		kinds: []ordinaryKind{
			{"small job on a new connection", 512, false, false},
			{"small job on an old connection", 512, true, false},
			{"largest body on a new connection", floodBodyBytes, false, false},
			{"largest body on an old connection", floodBodyBytes, true, false},
		},
	}
	var turn atomic.Int64
	ct.send = func(ctx context.Context, client *http.Client, size int) (int, error) {
		address := ct.addresses[turn.Add(1)%int64(len(ct.addresses))]
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/q/%016x", address, rand.Uint64()),
			bytes.NewReader(floodBody(size)))
		if err != nil {
			return 0, err
		}
		req.Host = "q.example"
		return do(client, req)
	}
	return ct, fs
}

func do(client *http.Client, req *http.Request) (int, error) {
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// Requests of the crowd at the users' interface.

// floodID is the ID in the requests from which those of the crowd are made.
const floodID = "0123456789abcdef"

// jobRequest returns a function that returns a request with a new ID each time, which is valid until its next call for the same connection.
func jobRequest(request []byte) func(vi *visit) []byte {
	at := bytes.Index(request, []byte(floodID))
	return func(vi *visit) []byte {
		if !vi.made {
			vi.made, vi.request = true, bytes.Clone(request)
		}
		var id [8]byte
		binary.BigEndian.PutUint64(id[:], vi.rnd.Uint64())
		hex.Encode(vi.request[at:], id[:])
		return vi.request
	}
}

func postRequest(header string, body []byte) func(vi *visit) []byte {
	return jobRequest(append(floodHeader(floodID, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", header, len(body))), body...))
}

// hardlyRead reads a little of the answers from time to time, until the connection ends.
func (vi *visit) hardlyRead(done chan<- struct{}) {
	defer close(done)
	var some [64]byte
	for {
		if _, err := vi.Read(some[:]); err != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// pipeline sends requests one behind the other and hardly reads the answers.
func pipeline(request func(vi *visit) []byte) func(vi *visit) {
	return func(vi *visit) {
		done := make(chan struct{})
		go vi.hardlyRead(done)
		for vi.write(request(vi)) {
		}
		_ = vi.Close()
		<-done
	}
}

// again sends requests one after the other and reads the answers.
func again(request func(vi *visit) []byte) func(vi *visit) {
	return func(vi *visit) {
		re := bufio.NewReaderSize(vi, 512)
		for vi.write(request(vi)) && vi.answer(re) {
		}
	}
}

// unanswered sends a request, reads no answer and stays.
func unanswered(request func(vi *visit) []byte) func(vi *visit) {
	return func(vi *visit) {
		if vi.write(request(vi)) {
			vi.hold(time.Second)
		}
	}
}

// leaving sends a request and resets the connection some time later.
func leaving(after time.Duration, request func(vi *visit) []byte) func(vi *visit) {
	return func(vi *visit) {
		if vi.write(request(vi)) {
			vi.hold(after)
		}
		_ = vi.Conn.(*net.TCPConn).SetLinger(0)
	}
}

var (
	smallJob = postRequest("", floodBody(512))
	// wideJob is a job within the limits with as many tasks as a job may have.
	wideJob     = postRequest("", []byte(`{"spec":"x","best_effort":true,"pipeline":[{"count":4096,"cpu":100,"mem_mb":1,"est_runtime_ms":1}]}`))
	largestBody = postRequest("", floodBody(floodBodyBytes))
	stepsBody   = postRequest("", floodStepsBody(floodBodyBytes))
	// escapesBody is a valid job whose text has many escapes.
	escapesBody = postRequest("", floodEscapesBody(floodBodyBytes))
	headersJob  = postRequest(shortLines, floodBody(512))

	query        = func(*visit) []byte { return []byte("GET /q/ HTTP/1.1\r\nHost: q.example\r\n\r\n") }
	cancellation = jobRequest([]byte("DELETE /q/" + floodID + " HTTP/1.1\r\nHost: q.example\r\n\r\n"))

	allButOneByte = allBut(1, largestBody)
	tinyChunks    = jobRequest(append(floodHeader(floodID, "Transfer-Encoding: chunked\r\n\r\n"),
		bytes.Repeat([]byte("1\r\n \r\n"), floodBodyBytes/8)...))
	oneChunk = jobRequest(append(floodHeader(floodID, fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", floodBodyBytes)),
		floodBody(floodBodyBytes)[:floodBodyBytes-1]...))
	chunkExtensions = jobRequest(append(floodHeader(floodID, "Transfer-Encoding: chunked\r\n\r\n"),
		bytes.Repeat([]byte("1;x="+strings.Repeat("y", 2000)+"\r\n \r\n"), 100)...))
	expectContinue   = jobRequest(floodHeader(floodID, fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n\r\n", floodBodyBytes)))
	unfinishedHeader = jobRequest(floodHeader(floodID, shortLines))
)

// shortLines is the rest of a header near the limit of its size, of lines that take many times their size when they are decoded.
var shortLines = func() string {
	var sb strings.Builder
	for i := 0; sb.Len() < 15<<10; i++ {
		_, _ = fmt.Fprintf(&sb, "%x:\r\n", i)
	}
	return sb.String()
}()

func floodEscapesBody(size int) []byte {
	const head, tail = `{"best_effort":true,"pipeline":[{"count":1,"cpu":100,"mem_mb":1,"est_runtime_ms":1}],"spec":"`, `"}`
	body := append([]byte(head), bytes.Repeat([]byte(`\n`), (size-len(head)-len(tail))/2)...)
	return append(body, tail...)
}

// allBut returns all but the last bytes of a request.
func allBut(n int, request func(vi *visit) []byte) func(vi *visit) []byte {
	return func(vi *visit) []byte {
		data := request(vi)
		return data[:len(data)-n]
	}
}

func nothingAtAll(*visit) []byte { return nil }

// halfClosed sends a request and closes its own direction of the connection.
func halfClosed(vi *visit) {
	if vi.write(smallJob(vi)) {
		_ = vi.Conn.(*net.TCPConn).CloseWrite()
		vi.linger(time.Second)
	}
}

// byteByByte sends a request slowly.
func byteByByte(vi *visit) {
	for _, b := range smallJob(vi) {
		if !vi.write([]byte{b}) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	vi.linger(time.Second)
}

// Guards against clients that come again and again: the memory and the descriptors of an instance stay within those of the smallest machine,
// with what the kernel holds for it, and ordinary callers get answers beside them.
func TestFloodAgainAndAgain(t *testing.T) {
	for _, tt := range []struct {
		name    string
		clients int
		kinds   []crowdKind
	}{
		{"pipelined jobs, answers hardly read", 1800, []crowdKind{{pipeline(smallJob)}}},
		{"pipelined queries and cancellations, answers hardly read", 1800, []crowdKind{{pipeline(query)}, {pipeline(cancellation)}}},
		{"pipelined jobs with large headers", 1200, []crowdKind{{pipeline(headersJob)}}},
		{"largest bodies", 800, []crowdKind{{again(largestBody)}}},
		{"largest bodies, answers not read", 800, []crowdKind{{unanswered(largestBody)}}},
		{"bodies of many steps", 800, []crowdKind{{again(stepsBody)}}},
		{"bodies of many escapes", 800, []crowdKind{{again(escapesBody)}}},
		{"jobs of many tasks", 800, []crowdKind{{again(wideJob)}}},
		{"jobs of many tasks, given up at once", 800, []crowdKind{{leaving(0, wideJob)}}},
		{"small jobs", 1800, []crowdKind{{again(smallJob)}}},
		{"small jobs, given up at once", 1800, []crowdKind{{leaving(0, smallJob)}}},
		{"all but the last byte", 800, []crowdKind{{unanswered(allButOneByte)}, {unanswered(oneChunk)}}},
		{"small chunks", 800, []crowdKind{{unanswered(tinyChunks)}, {unanswered(chunkExtensions)}}},
		{"unfinished headers", 1800, []crowdKind{{unanswered(unfinishedHeader)}, {unanswered(expectContinue)}}},
		{"nothing", 1800, []crowdKind{{unanswered(nothingAtAll)}}},
		{"mix", 1800, []crowdKind{
			{pipeline(smallJob)},
			{pipeline(query)},
			{again(largestBody)},
			{again(stepsBody)},
			{leaving(0, wideJob)},
			{unanswered(allButOneByte)},
			{unanswered(tinyChunks)},
			{unanswered(unfinishedHeader)},
			{unanswered(expectContinue)},
			{halfClosed},
			{byteByByte},
			{unanswered(nothingAtAll)},
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ct, _ := newServeTarget(t)
			ct.meet(tt.clients, tt.kinds...)
		})
	}
}

// entryMemoryMB and entryBodyBytes are the settings of entry under crowds.
const (
	entryMemoryMB  = 288
	entryBodyBytes = 4 << 20
)

// newEntryTarget starts an instance of entry.
func newEntryTarget(t *testing.T) (*crowdTarget, *deployment, *instanceProcess) {
	de := deploy(t, 2, "kandla")
	ip := de.startEntry("kandla-1", "kandla", "[limits]", fmt.Sprintf("memoryMB = %d\nbodyBytes = %d", entryMemoryMB, entryBodyBytes))
	// The crowd's long jobs have a worker of their own.
	de.putResource(ip, "Service", "ticket", map[string]any{"runTime": "100ms"})
	de.putResource(ip, "Service", "slow", map[string]any{"runTime": "20s"})
	de.putResource(ip, "Team", "gate", map[string]any{})
	for i, service := range []string{"ticket", "slow"} {
		id, address, _ := strings.Cut(de.workers[i], " ")
		de.putResource(ip, "Pool", "pool-"+service, map[string]any{
			"dataCentre": "kandla", "services": []string{service},
			"workers": []any{map[string]any{"id": id, "address": address, "slots": 8, "connections": 64}},
		})
	}
	de.awaitRevision(ip, 5)
	ct := &crowdTarget{
		t: t, memoryMB: entryMemoryMB, processes: []*process{ip.process}, addresses: []string{ip.caller}, others: []string{ip.operator},
		kinds: []ordinaryKind{
			{"small job on a new connection", 512, false, false},
			{"small job on an old connection", 512, true, false},
			{"largest body on a new connection", entryBodyBytes, false, true},
			{"largest body on an old connection", entryBodyBytes, true, true},
		},
	}
	ct.send = func(ctx context.Context, client *http.Client, size int) (int, error) {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ip.caller+"/v1/jobs", bytes.NewReader(entryBody(size)))
		if err != nil {
			return 0, err
		}
		return do(client, req)
	}
	return ct, de, ip
}

// entryBody returns a valid job of the size for the product's own interface, whose payloads are within the limits.
func entryBody(size int) []byte {
	body := fmt.Appendf(nil, `{"service":"ticket","team":"gate","repeatable":true,"deadline":%q,"tasks":[{"payload":{"runTime":"1ms"}}`,
		time.Now().Add(ordinaryPeriod).UTC().Format(time.RFC3339Nano))
	const payloadBytes = 60 << 10
	task := []byte(`,{"payload":{"runTime":"1ms","x":"` + strings.Repeat("x", payloadBytes) + `"}}`)
	for len(body)+len(task)+2 <= size {
		body = append(body, task...)
	}
	body = append(body, "]}"...)
	return append(body, bytes.Repeat([]byte(" "), size-len(body))...)
}

func entryRequest(path string, body []byte) []byte {
	return append(fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: e\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", path, len(body)), body...)
}

// entryText returns a request of the size whose body repeats a part. It is made once because the race detector makes that slow.
func entryText(head, part, tail string, size int) func(*visit) []byte {
	body := append([]byte(head), bytes.Repeat([]byte(part), (size-len(head)-len(tail))/len(part))...)
	request := entryRequest("/v1/jobs", append(body, tail...))
	return func(*visit) []byte { return request }
}

const entryHead = `{"service":"ticket","team":"gate","repeatable":true,"deadline":"2999-01-01T00:00:00Z","tasks":[{"payload":1}`

var (
	emptyTasks    = entryText(entryHead, `,{}`, `]}`, entryBodyBytes)
	tinyTasks     = entryText(entryHead, `,{"payload":1}`, `]}`, entryBodyBytes)
	unknownKeys   = entryText(entryHead, `,{"x":1}`, `]}`, 1<<20)
	repeatedKeys  = entryText(`{"service":"ticket"`, `,"team":"x"`, `}`, entryBodyBytes)
	openBrackets  = entryText(``, `[`, ``, entryBodyBytes)
	nestedPayload = entryText(`{"tasks":[{"payload":`, `[`, ``, 1<<20)
	wrongTypes    = entryText(`{"tasks":[1`, `,1`, `]}`, 1<<20)
	longKey       = entryText(`{"`+strings.Repeat("k", 64<<10)+`":[1`, `,1`, `]}`, 1<<20)
	quotes        = entryText(`{"service":"`, `\u0000`, `","x":1}`, entryBodyBytes)
)

var entryUnfinished = allBut(1, emptyTasks)

func entrySmall(vi *visit) []byte {
	if !vi.made {
		vi.made, vi.request = true, entryRequest("/v1/jobs", entryBody(512))
	}
	return vi.request
}

func entryMint(*visit) []byte {
	return entryRequest("/v1/keys", []byte(`{"count":1000,"repeatable":true}`))
}

// entryParameters is a request with as many query parameters as a header has room for.
func entryParameters(*visit) []byte {
	return []byte("GET /v1/jobs/x?" + strings.Repeat("a&b&c&d&", 1900) + " HTTP/1.1\r\nHost: e\r\n\r\n")
}

// entryWaiting is a request whose job holds payloads until its workers are free, for longer than its caller stays.
var entryWaiting = func() func(*visit) []byte {
	body := []byte(`{"service":"slow","team":"gate","repeatable":true,"deadline":"` +
		time.Now().Add(9*time.Minute).UTC().Format(time.RFC3339Nano) + `","tasks":[{"payload":{"runTime":"20s"}}`)
	task := []byte(`,{"payload":{"runTime":"20s","x":"` + strings.Repeat("x", 60<<10) + `"}}`)
	for len(body)+len(task)+2 <= entryBodyBytes {
		body = append(body, task...)
	}
	request := entryRequest("/v1/jobs", append(body, "]}"...))
	return func(*visit) []byte { return request }
}()

// Guards against the same at the product's own interface.
func TestFloodOfEntry(t *testing.T) {
	for _, tt := range []struct {
		name    string
		clients int
		kinds   []crowdKind
	}{
		{"bodies of empty tasks", 800, []crowdKind{{again(emptyTasks)}}},
		{"bodies of tiny tasks", 800, []crowdKind{{again(tinyTasks)}}},
		{"bodies of tiny tasks, answers not read", 800, []crowdKind{{unanswered(tinyTasks)}}},
		{"bodies with many faults", 800, []crowdKind{{again(unknownKeys)}, {again(repeatedKeys)}, {again(wrongTypes)}, {again(longKey)}}},
		{"bodies that are not JSON", 800, []crowdKind{{again(openBrackets)}, {again(nestedPayload)}, {again(quotes)}}},
		{"all but the last byte", 800, []crowdKind{{unanswered(entryUnfinished)}}},
		{"large jobs, given up at once", 800, []crowdKind{{leaving(300*time.Millisecond, entryWaiting)}}},
		{"pipelined jobs, answers hardly read", 1800, []crowdKind{{pipeline(entrySmall)}}},
		{"pipelined requests for keys, answers hardly read", 1800, []crowdKind{{pipeline(entryMint)}}},
		{"many parameters", 1800, []crowdKind{{pipeline(entryParameters)}}},
		{"mix", 1200, []crowdKind{
			{again(tinyTasks)},
			{again(unknownKeys)},
			{unanswered(entryUnfinished)},
			{pipeline(entrySmall)},
			{pipeline(entryMint)},
			{pipeline(entryParameters)},
			{unanswered(nothingAtAll)},
			{leaving(100*time.Millisecond, emptyTasks)},
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ct, _, _ := newEntryTarget(t)
			ct.meet(tt.clients, tt.kinds...)
		})
	}
}

// Guards against callers that ask for a large answer and do not read it.
func TestFloodOfUnreadAnswers(t *testing.T) {
	ct, de, ip := newEntryTarget(t)
	key := de.mint(ip, true)
	an := de.submitUntilKnown(ip, jobBody(key, true, 350, time.Millisecond))
	must.Eq(t, "complete", string(an.Outcome), must.Sprint(an.Reason))
	data, err := json.Marshal(an.Results)
	must.NoError(t, err)
	t.Logf("answers of about %d KB", len(data)>>10)
	ask := func(*visit) []byte { return fmt.Appendf(nil, "GET /v1/jobs/%s HTTP/1.1\r\nHost: e\r\n\r\n", key) }
	watch := func(*visit) []byte { return fmt.Appendf(nil, "GET /v1/jobs/%s/watch HTTP/1.1\r\nHost: e\r\n\r\n", key) }
	ct.meet(1200, crowdKind{pipeline(ask)}, crowdKind{unanswered(watch)}, crowdKind{unanswered(ask)})
}
