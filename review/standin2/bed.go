package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

// bed is a small deployment: the store, workers and instances, all at loopback addresses.
type bed struct {
	ctx          context.Context // its end ends all processes
	re           *record
	program      string
	dir          string // for settings and logs
	network      string // the first three parts of the instances' addresses
	nextIP       int
	zones        []string
	st           *store
	storeAddress string
	workers      []*worker
	instances    []*instance
	servers      []*http.Server
	stop         chan struct{}
}

func newBed(ru *run, zones ...string) (*bed, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	be := &bed{
		ctx: ru.ctx, re: ru.re, program: ru.program, dir: dir, zones: zones, st: newStore(), stop: make(chan struct{}),
		network: fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250)),
	}
	_, be.storeAddress, err = be.listen(be.st.handler(), nil)
	return be, err
}

// listen serves a handler on a free port, and returns its address.
func (be *bed) listen(handler http.Handler, noteConn func(net.Conn, http.ConnState)) (*http.Server, string, error) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second, ConnState: noteConn}
	be.servers = append(be.servers, server)
	go func() { _ = server.Serve(li) }()
	return server, li.Addr().String(), nil
}

// addWorker starts a worker; runTime says how long each task takes on it.
func (be *bed) addWorker(id, zone, service string, runTime func(task string) time.Duration) error {
	wo := newWorker(be.re, be.st, id, zone, service, runTime)
	var err error
	if wo.server, wo.address, err = be.listen(wo.handler(), wo.noteConn); err != nil {
		return err
	}
	go wo.loop(be.stop)
	be.workers = append(be.workers, wo)
	return nil
}

// removeWorker ends a worker for good. Its entry is removed after three heartbeats of silence.
func (be *bed) removeWorker(wo *worker) {
	wo.crash()
	_ = wo.server.Close()
	be.st.drop(workerTable, wo.id, entriesExpire)
}

// route is a queue in the configuration.
type route struct {
	Name          string  `json:"name"`
	Host          string  `json:"host"`
	PathPrefix    string  `json:"path_prefix"`
	Service       string  `json:"service"`
	TimeoutMillis int     `json:"timeout_ms"`
	Priority      int     `json:"priority"`
	MaxAttempts   int     `json:"max_attempts"`
	SlackFactor   float64 `json:"slack_factor"`
	TargetMillis  int     `json:"target_latency_ms"`
}

// configure writes the configuration as the operator does, and returns the time of the acknowledgement.
func (be *bed) configure(version int, service string, routes ...route) time.Time {
	at := be.st.put(operatorTable, "config", map[string]any{
		"version": version, "routes": routes, "services": []map[string]any{{"name": service}}, "limits": map[string]any{"max_body_bytes": 262144},
	})
	be.re.add("operator: configuration %d is acknowledged: %+v", version, routes)
	return at
}

// awaitService sends small jobs to each instance until it has served one.
func (be *bed) awaitService(ctx context.Context, host, prefix string) error {
	probe := &client{re: be.re, name: "probe"}
	for _, in := range be.instances {
		if err := in.awaitReady(ctx); err != nil {
			return err
		}
		for {
			an := probe.submit(in, host, prefix+newID(), 3*time.Second, []step{{Count: 1, CPU: 1000, MemoryMB: 64, RunTime: 100}})
			if an.answered() && an.status == http.StatusOK {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("%s does not serve: %s", in.node, an)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return nil
}

// commander returns the instance that commands the workers of a zone, by the row that it has written last under a condition.
func (be *bed) commander(zone string) *instance {
	var named struct {
		Owner string `json:"owner"`
	}
	be.st.mu.Lock()
	value := be.st.rows[rowID{"lovagestack", "", "domain/" + zone}].Value
	be.st.mu.Unlock()
	if json.Unmarshal(value, &named) != nil {
		return nil
	}
	for _, in := range be.instances {
		if in.node == named.Owner {
			return in
		}
	}
	return nil
}

// startsOf returns the runs of a job that the workers have begun.
func (be *bed) startsOf(job string) []startSeen {
	var list []startSeen
	for _, wo := range be.workers {
		list = append(list, wo.startsOf(job)...)
	}
	return list
}

// close ends all processes and servers. With keep, settings and logs stay.
func (be *bed) close(keep bool) {
	for _, in := range be.instances {
		_, exited := in.process()
		select {
		case <-exited:
		default:
			in.signal(syscall.SIGKILL)
			<-exited
		}
		_ = in.log.Close()
	}
	close(be.stop)
	for _, server := range be.servers {
		_ = server.Close()
	}
	if keep {
		fmt.Fprintln(os.Stderr, "settings and logs are in", be.dir)
		return
	}
	_ = os.RemoveAll(be.dir)
}
