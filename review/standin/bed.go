package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the deployment. Every machine has its own loopback address, so the ports are the same on all.
const (
	frontendPort  = 8161
	readinessPort = 8167
	firstPeerPort = 7720
	metricsPort   = "9464"
	storePort     = 8169
	workerPort    = 8080
)

const region = "fj-central"

// bed is a small deployment: a store, workers and entry instances.
type bed struct {
	record    *record
	trouble   bool
	program   string
	dir       string // temporary folder for settings and logs
	prefix    string // first three numbers of the machines' addresses
	zones     []string
	store     *store
	storeHTTP *http.Server
	workers   []*worker
	instances []*instance
	done      chan struct{} // closed at the end of the case

	mu      sync.Mutex
	jobs    map[string]*job               // by ID
	running map[string]map[string]runNote // by task and worker
}

// runNote says which attempt of a task runs on a worker, and since when.
type runNote struct {
	attempt int
	began   time.Time
	overlap bool // it began while another run of the task was at work
}

func newBed(program string, re *record, trouble bool) (*bed, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "standin")
	if err != nil {
		return nil, err
	}
	be := &bed{
		record: re, trouble: trouble, program: program, dir: dir, store: newStore(), done: make(chan struct{}), jobs: map[string]*job{},
		running: map[string]map[string]runNote{},
	}
	for range 50 {
		be.prefix = fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250))
		li, err := net.Listen("tcp", be.storeAddress())
		if err != nil {
			continue
		}
		be.storeHTTP = &http.Server{Handler: be.store}
		go func() { _ = be.storeHTTP.Serve(li) }() // returns when the server is closed
		return be, nil
	}
	return nil, fmt.Errorf("no free address for the store")
}

func (be *bed) storeAddress() string { return fmt.Sprintf("%s7:%d", be.prefix, storePort) }

// close ends every process and server of the case.
func (be *bed) close() {
	close(be.done)
	for _, in := range be.instances {
		in.kill()
	}
	for _, wo := range be.workers {
		wo.crash()
	}
	_ = be.storeHTTP.Close()
	_ = os.RemoveAll(be.dir)
}

// addWorker starts a worker in a zone.
func (be *bed) addWorker(zone string, cpu int64, labels ...string) (*worker, error) {
	n := len(be.workers)
	wo := &worker{
		be: be, id: fmt.Sprintf("i-%08x", 0x7f3a0000+n), zone: zone, service: "portal",
		address: fmt.Sprintf("%s%d:%d", be.prefix, 100+n, workerPort),
	}
	if err := wo.start(cpu, labels); err != nil {
		return nil, err
	}
	be.workers = append(be.workers, wo)
	return wo, nil
}

// checkTwice notes that a run begins, and whether another worker that is up has a run of the same task.
func (be *bed) checkTwice(wo *worker, or startOrder) {
	be.mu.Lock()
	defer be.mu.Unlock()
	if be.running[or.Task] == nil {
		be.running[or.Task] = map[string]runNote{}
	}
	overlap := false
	for id, note := range be.running[or.Task] {
		if id != wo.id {
			overlap = true
			be.record.violate("TWICE: %s attempt %d starts on worker %s while attempt %d, begun %s earlier, is at work on worker %s",
				or.Task, or.Attempt, wo.id, note.attempt, time.Since(note.began).Round(time.Millisecond), id)
		}
	}
	be.running[or.Task][wo.id] = runNote{or.Attempt, time.Now(), overlap}
}

// runEnded notes that a run has ended, and for how long another run of the task was at work beside it.
func (be *bed) runEnded(wo *worker, task string) {
	be.mu.Lock()
	defer be.mu.Unlock()
	delete(be.running[task], wo.id)
	for id, note := range be.running[task] {
		if note.overlap {
			be.record.log("%s was at work on workers %s and %s at the same time for %s", task, wo.id, id, time.Since(note.began).Round(100*time.Microsecond))
		}
	}
}

// putConfig writes the configuration with one route for the jobs of the case.
func (be *bed) putConfig(version int) {
	be.store.put("op", "config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-quote", "host": "quote.example", "path_prefix": "/quote/", "kind": "non_idempotent", "timeout_ms": 1500,
			"target_latency_ms": 60, "priority": 0, "service": "portal", "max_attempts": 3, "slack_factor": 1.6,
		}},
		"services": []map[string]any{{
			"name": "portal", "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "preconditions": false,
			"standby": false,
		}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
}

// instance is an entry instance, run as a process.
type instance struct {
	be   *bed
	node string
	zone string
	ip   string

	mu  sync.Mutex
	cmd *exec.Cmd
}

// addInstance starts an entry instance in a zone.
func (be *bed) addInstance(zone string) (*instance, error) {
	n := len(be.instances)
	in := &instance{be: be, node: fmt.Sprintf("edge-%s-%d", zone, n+1), zone: zone, ip: fmt.Sprintf("%s%d", be.prefix, 10+n)}
	if err := in.start(n); err != nil {
		return nil, err
	}
	be.instances = append(be.instances, in)
	return in, nil
}

// start runs the command of the deploy file with the settings of a small deployment.
func (in *instance) start(number int) error {
	path := filepath.Join(in.be.dir, fmt.Sprintf("settings-%d.toml", number))
	if err := os.WriteFile(path, []byte(in.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(in.be.dir, fmt.Sprintf("log-%d.txt", number)))
	if err != nil {
		return err
	}
	cmd := exec.Command(in.be.program, "serve", "--metrics-port", metricsPort)
	cmd.Env = append(os.Environ(), "LOVAGESTACK_SETTINGS="+path)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	_ = log.Close()
	in.mu.Lock()
	in.cmd = cmd
	in.mu.Unlock()
	in.be.record.log("instance %s starts as process %d", in.node, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		in.be.record.log("instance %s, process %d, has ended: %v", in.node, cmd.Process.Pid, err)
	}()
	return nil
}

func (in *instance) signal(sig syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.cmd != nil {
		in.be.record.log("instance %s gets %s", in.node, sig)
		_ = in.cmd.Process.Signal(sig)
	}
}

func (in *instance) kill() { in.signal(syscall.SIGKILL) }

func (in *instance) frontend() string { return fmt.Sprintf("%s:%d", in.ip, frontendPort) }

func (in *instance) settings() string {
	var zones strings.Builder
	for _, zone := range in.be.zones {
		fmt.Fprintf(&zones, "%s = %q\n", zone, region)
	}
	return fmt.Sprintf(`node = %q
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = %q
zone = %q
region = %q
port_range = [%d,%d]
seeds = []
first_start = true
fault_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
control_mode = "invoke"
hint = ""
[zones]
%s
[listen]
frontend = %q
readiness = "%s:%d"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
region_faults = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_skew_ms = 5000
recovery_s = 12
hold_max_ms = 1000
kill_grace_ms = 50
cancel_ms = 3000
visible_ms = 3000
lease_ms = 3000
retransmit_ms = 1300
[platform]
address = %q
form = "table"
writes_per_s = 600
reads_per_s = 2000
txn_ms = 6.0
part_writes_s = 200
row_bytes = 65536
cross_shard = false
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_s = 80.0
`, in.node, in.ip, in.zone, region, firstPeerPort, firstPeerPort+15, zones.String(), in.frontend(), in.ip, readinessPort, in.be.storeAddress())
}

// awaitReady waits until all instances are ready, and then until jobs have passed through each.
func (be *bed) awaitReady(ctx context.Context) error {
	for _, in := range be.instances {
		for {
			resp, err := http.Get(fmt.Sprintf("http://%s:%d/v1/readyz", in.ip, readinessPort))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if err := pause(ctx, 50*time.Millisecond); err != nil {
				return fmt.Errorf("instance %s is not ready: %w", in.node, err)
			}
		}
		for be.submit(ctx, in, &job{tasks: 1, cpu: 1000, runTime: 60 * time.Millisecond}) != http.StatusOK {
			if err := pause(ctx, 100*time.Millisecond); err != nil {
				return fmt.Errorf("instance %s serves no job: %w", in.node, err)
			}
		}
	}
	return nil
}

// pause waits, or returns an error if ctx ends first.
func pause(ctx context.Context, du time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(du):
		return nil
	}
}
