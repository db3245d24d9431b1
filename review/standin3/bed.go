package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	serviceName = "svc-1"
	routeHost   = "jobs.example"
	routePrefix = "/queue-1/"
	startLimit  = 30 * time.Second
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// bed is a small deployment: the store and the workers in this process, and the instances as processes of their own.
type bed struct {
	re        *recorder
	dir       string // for settings and logs
	program   string
	st        *store
	storeAddr string
	workers   []*worker
	ss        *starts
	instances []*instance
	port      int
	done      chan struct{}
}

// instance is a process of "lovagestack serve".
type instance struct {
	name, zone, ip string
	settings       string
	cmd            *exec.Cmd
	ended          chan struct{}
}

// newBed starts the store and the workers, and prepares an instance in each zone.
func newBed(re *recorder, program string, workersPerZone int) (*bed, error) {
	dir, err := os.MkdirTemp("", "review-bed-")
	if err != nil {
		return nil, err
	}
	be := &bed{re: re, dir: dir, program: program, st: newStore(), ss: &starts{}, done: make(chan struct{})}
	be.port = 20000 + 100*rand.IntN(100)
	if be.storeAddr, err = be.serve("127.46.9.9", be.st); err != nil {
		return be, err
	}
	be.writeConfig(1)
	for i, zone := range zones {
		for k := range workersPerZone {
			wo := newWorker(fmt.Sprintf("w-%s-%d", zone, k), "", zone, re)
			if wo.address, err = be.serve(fmt.Sprintf("127.46.%d.%d", 100+i, k+1), wo.handler(be.ss)); err != nil {
				return be, err
			}
			go wo.loop(be.done)
			be.workers = append(be.workers, wo)
			be.st.put("servers", wo.id, wo.registration(1))
		}
		in := &instance{name: "edge-" + zone + "-1", zone: zone, ip: fmt.Sprintf("127.46.%d.1", i+1)}
		if err := be.writeSettings(in, true); err != nil {
			return be, err
		}
		be.instances = append(be.instances, in)
	}
	go be.heartbeats()
	return be, nil
}

// heartbeats renews the workers' entries.
func (be *bed) heartbeats() {
	ticker := time.NewTicker(1500 * time.Millisecond)
	defer ticker.Stop()
	for seq := 2; ; seq++ {
		select {
		case <-be.done:
			return
		case <-ticker.C:
		}
		for _, wo := range be.workers {
			be.st.put("servers", wo.id, wo.registration(seq))
		}
	}
}

func (be *bed) serve(ip string, handler http.Handler) (address string, err error) {
	li, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(li, handler) }()
	return li.Addr().String(), nil
}

func (be *bed) writeConfig(version int) {
	be.st.put("op", "config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "queue-1", "host": routeHost, "path_prefix": routePrefix, "service": serviceName, "timeout_ms": 1500,
			"target_latency_ms": 60, "priority": 0, "max_attempts": 2, "slack_factor": 3,
		}},
		"services": []map[string]any{{"name": serviceName, "preconditions": false}},
		"limits":   map[string]any{"max_body_bytes": 262144},
	})
}

func (be *bed) writeSettings(in *instance, first bool) error {
	in.settings = filepath.Join(be.dir, in.name+".toml")
	var zoneLines strings.Builder
	for _, zone := range zones {
		fmt.Fprintf(&zoneLines, "%s = \"region-1\"\n", zone)
	}
	text := fmt.Sprintf(`node = %q
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = %q
zone = %q
region = "region-1"
port_range = [%d, %d]
seeds = []
first_start = %t
heartbeat_ms = 1500
control_mode = "invoke"
[zones]
%s[listen]
frontend = "%s:%d"
readiness = "%s:%d"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
hold_max_ms = 1000
kill_grace_ms = 50
cancel_ms = 3000
retransmit_ms = 1300
[platform]
address = %q
form = "table"
writes_per_s = 600
reads_per_s = 2000
`, in.name, in.ip, in.zone, be.port+10, be.port+20, first, zoneLines.String(), in.ip, be.port, in.ip, be.port+1, be.storeAddr)
	return os.WriteFile(in.settings, []byte(text), 0o600)
}

// start starts an instance with the command of the deploy file.
func (be *bed) start(in *instance) error {
	log, err := os.OpenFile(filepath.Join(be.dir, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(be.program, "serve", "--metrics-port", "9464")
	cmd.Env = []string{"LOVAGESTACK_SETTINGS=" + in.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + be.dir}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	_ = log.Close()
	in.cmd, in.ended = cmd, make(chan struct{})
	be.re.note("instance started", "instance", in.name)
	go func(ended chan struct{}) {
		err := cmd.Wait()
		be.re.note("instance ended", "instance", in.name, "state", fmt.Sprint(err))
		close(ended)
	}(in.ended)
	return nil
}

// signal sends a signal to an instance's process.
func (be *bed) signal(in *instance, sig syscall.Signal) {
	be.re.note("signal", "instance", in.name, "signal", sig.String())
	_ = in.cmd.Process.Signal(sig)
}

// startAll starts all instances and waits until each answers a job.
func (be *bed) startAll(first bool) error {
	for _, in := range be.instances {
		if err := be.writeSettings(in, first); err != nil {
			return err
		}
		if err := be.start(in); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startLimit)
	for _, in := range be.instances {
		for {
			an := be.post(in, newJobID(), 1, 50, 1500)
			if an.status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s answers no job: status %d, %w", in.name, an.status, an.err)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return nil
}

// stop ends all processes and removes the files.
func (be *bed) stop() {
	for _, in := range be.instances {
		if in.cmd == nil {
			continue
		}
		_ = in.cmd.Process.Signal(syscall.SIGCONT)
		_ = in.cmd.Process.Kill()
		<-in.ended
	}
	close(be.done)
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(be.dir)
	} else {
		fmt.Println("logs in", be.dir)
	}
}

// answer is what a client got; status is 0 if it got none.
type answer struct {
	status int
	body   string
	err    error
}

func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// post hands in a job of tasks that each work for workMillis.
func (be *bed) post(in *instance, id string, tasks, workMillis, deadlineMillis int) answer {
	body, err := json.Marshal(map[string]any{
		"spec": fmt.Sprintf("work=%d", workMillis), "best_effort": true,
		"pipeline": []map[string]any{{"count": tasks, "cpu": 4000, "mem_mb": 64, "est_runtime_ms": workMillis}},
	})
	if err != nil {
		return answer{err: err}
	}
	return be.call(http.MethodPost, in, id, body, deadlineMillis)
}

// call sends a client's request on a connection of its own.
func (be *bed) call(method string, in *instance, id string, body []byte, deadlineMillis int) answer {
	url := fmt.Sprintf("http://%s:%d%s%s", in.ip, be.port, routePrefix, id)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(deadlineMillis)*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = routeHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadlineMillis))
	be.re.note("sent", "method", method, "job", id, "to", in.name)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		be.re.note("no answer", "method", method, "job", id, "from", in.name, "error", err.Error())
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	be.re.note("answered", "method", method, "job", id, "from", in.name, "status", resp.StatusCode, "body", string(data))
	return answer{resp.StatusCode, string(data), err}
}

var errCouldNotRun = errors.New("the case could not run")
