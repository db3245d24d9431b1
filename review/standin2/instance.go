package main

import (
	"context"
	"fmt"
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

// instance is a process of the program, started with the command of the deploy file.
type instance struct {
	node, zone, ip string
	frontend       string
	readiness      string
	settings       string
	firstPort      int
	restarted      bool
	re             *record
	log            *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited <-chan struct{}
}

// settingsText is the settings file of a process, as the platform writes it for a small deployment.
const settingsText = `node = %q
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = %q
zone = %q
region = "coast"
port_range = [%d,%d]
seeds = []
first_start = %t
fault_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
control_mode = "invoke"
[zones]
%s
[listen]
frontend = %q
readiness = %q
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
contact_ms = 3000
ack_ms = 4000
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
early_ms = 250
finish_s = 14
status_s = 120
retransmit_ms = 1300
[platform]
address = %q
form = "table"
writes_per_s = 600
reads_per_s = 2000
txn_ms = 6.0
part_writes_s = 200
row_bytes = 65536
history_s = 20
`

// portsPerInstance is the length of a process's port_range.
const portsPerInstance = 4

// startInstance writes the settings of an instance and starts it.
func (be *bed) startInstance(node, zone string) (*instance, error) {
	be.nextIP++
	in := &instance{node: node, zone: zone, ip: fmt.Sprintf("%s.%d", be.network, be.nextIP), re: be.re}
	ports, err := freePorts(in.ip, portsPerInstance+2)
	if err != nil {
		return nil, err
	}
	first := ports[0]
	in.frontend = fmt.Sprintf("%s:%d", in.ip, first+portsPerInstance)
	in.readiness = fmt.Sprintf("%s:%d", in.ip, first+portsPerInstance+1)
	in.firstPort, in.settings = first, filepath.Join(be.dir, node+".toml")
	if err := be.writeSettings(in); err != nil {
		return nil, err
	}
	if in.log, err = os.Create(filepath.Join(be.dir, node+".log")); err != nil {
		return nil, err
	}
	if err := in.start(be.ctx, be.program); err != nil {
		return nil, err
	}
	be.instances = append(be.instances, in)
	return in, nil
}

// writeSettings writes the settings file of an instance, with the present zones.
func (be *bed) writeSettings(in *instance) error {
	var zones strings.Builder
	for _, name := range be.zones {
		fmt.Fprintf(&zones, "%s = \"coast\"\n", name)
	}
	text := fmt.Sprintf(settingsText, in.node, in.ip, in.zone, in.firstPort, in.firstPort+portsPerInstance-1, !in.restarted, zones.String(),
		in.frontend, in.readiness, be.storeAddress)
	return os.WriteFile(in.settings, []byte(text), 0o600)
}

// start starts the process; an earlier one must have ended.
func (in *instance) start(ctx context.Context, program string) error {
	cmd := exec.CommandContext(ctx, program, "serve", "--metrics-port", "9464")
	cmd.Env = append(os.Environ(), "LOVAGESTACK_SETTINGS="+in.settings)
	cmd.Stdout, cmd.Stderr = in.log, in.log
	if err := cmd.Start(); err != nil {
		return err
	}
	in.re.add("%s: started", in.node)
	exited := make(chan struct{})
	in.mu.Lock()
	in.cmd, in.exited = cmd, exited
	in.mu.Unlock()
	go in.await(cmd, exited)
	return nil
}

// restart starts the process again after its end.
func (be *bed) restart(in *instance) error {
	in.restarted = true
	if err := be.writeSettings(in); err != nil {
		return err
	}
	return in.start(be.ctx, be.program)
}

// await notes the end of the process.
func (in *instance) await(cmd *exec.Cmd, exited chan<- struct{}) {
	err := cmd.Wait()
	in.re.add("%s: ended, %v", in.node, exitText(err))
	close(exited)
}

// process returns the present process and what is closed at its end.
func (in *instance) process() (*exec.Cmd, <-chan struct{}) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.cmd, in.exited
}

func exitText(err error) string {
	if err == nil {
		return "exit status 0"
	}
	return err.Error()
}

// signal sends a signal to the process.
func (in *instance) signal(sig syscall.Signal) {
	in.re.add("%s: gets signal %q", in.node, sig)
	cmd, _ := in.process()
	_ = cmd.Process.Signal(sig) // fails only if the process has ended
}

// awaitReady waits until the instance reports itself ready.
func (in *instance) awaitReady(ctx context.Context) error {
	cl := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	_, exited := in.process()
	for ctx.Err() == nil {
		if resp, err := cl.Get("http://" + in.readiness + "/v1/readyz"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				in.re.add("%s: ready", in.node)
				return nil
			}
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-exited:
			return fmt.Errorf("%s has ended", in.node)
		case <-ctx.Done():
		}
	}
	return fmt.Errorf("%s is not ready: %w", in.node, ctx.Err())
}

// freePorts returns successive ports that are free at the address.
func freePorts(ip string, count int) ([]int, error) {
	for range 50 {
		li, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		first := li.Addr().(*net.TCPAddr).Port
		_ = li.Close()
		ports := make([]int, 0, count)
		for port := first; port < first+count && port < 1<<16; port++ {
			li, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				break
			}
			_ = li.Close()
			ports = append(ports, port)
		}
		if len(ports) == count {
			return ports, nil
		}
	}
	return nil, fmt.Errorf("no %d successive ports are free at %s", count, ip)
}
