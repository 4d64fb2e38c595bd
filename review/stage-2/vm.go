package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"snipeshift.example/scenarios/relay"
)

// vm is one entry VM: a process of the project's program.
type vm struct {
	name, zone            string
	caller, ready, peer   string
	metricsHost, settings string
	metricsPort           int
	// link is the proxy before the port for peers; nil if others connect to that port itself.
	link  *relay.Relay
	log   *os.File
	cmd   *exec.Cmd
	ended chan struct{}
}

// freeAddress returns a loopback address at which nothing listens, below the ports that the system gives to connections.
func freeAddress() string {
	a, err := relay.FreeAddress()
	if err != nil {
		cannotRun("%v", err)
	}
	return a
}

// newVMs returns VMs in three zones; the first three are the seeds. Nothing is started.
func newVMs(n int) []*vm {
	vms := make([]*vm, n)
	for i := range vms {
		metrics := freeAddress()
		host, port, _ := strings.Cut(metrics, ":")
		v := &vm{name: fmt.Sprintf("edge-%d", i+1), zone: zones[i%len(zones)], caller: freeAddress(), ready: freeAddress(), peer: freeAddress(), metricsHost: host}
		_, _ = fmt.Sscan(port, &v.metricsPort)
		vms[i] = v
	}
	return vms
}

var zones = []string{"tvm-hall", "kollam-hall", "kochi-hall"}

// start starts the process with the command and the template of the deploy file, and the settings of a machine of the site
// kwsd-notices, or the bounds of coulee-rounds-grown.
func (v *vm) start(r *run, seeds []string) {
	template, err := os.ReadFile("deploy/node.hujson")
	if err != nil {
		cannotRun("%v", err)
	}
	f := fields{
		"node_name": v.name, "zone": v.zone, "listen_addresses.frontend": v.caller, "listen_addresses.ready": v.ready,
		"listen_addresses.control_plane": v.peer, "ip": v.metricsHost, "internal_port_range.0": v.metricsPort,
		"platform.address": r.store.address, "seed_nodes": seeds, "is_first_start": true,
		"limits.memory_mb": 284, "limits.file_descriptors": 4200, "limits.cpu_share": 0.4, "limits.link_mbps": 1000.0,
		"bounds.config_propagation_ms": 2000, "bounds.revocation_ms": 5000, "bounds.grace_period_s": graceSeconds,
		"bounds.retry_budget_ratio": 0.2, "bounds.retry_budget_slack": 100, "bounds.budget_window_s": 10,
	}
	if r.coulee {
		f["bounds.config_propagation_ms"], f["bounds.retry_budget_slack"], f["bounds.evacuation_ms"] = 3000, 222, 5000
	}
	text := fill(string(template), f)
	text = r.adjust(text, v)
	v.settings = filepath.Join(r.dir, v.name+".hujson")
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		cannotRun("%v", err)
	}
	if v.log, err = os.Create(filepath.Join(r.dir, v.name+".log")); err != nil {
		cannotRun("%v", err)
	}
	v.cmd = exec.Command("target/snipeshiftd", "relay", "--settings", v.settings)
	v.cmd.Stdout, v.cmd.Stderr = v.log, v.log
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.cmd.Start(); err != nil {
		cannotRun("the daemon does not start: %v", err)
	}
	v.ended = make(chan struct{})
	go func() {
		_ = v.cmd.Wait() // how it ended does not matter here
		close(v.ended)
	}()
}

// adjust completes the settings of a VM whose peers connect to it through a proxy: the product's setting "advertise" names
// the proxy. Nothing else is changed.
func (r *run) adjust(text string, v *vm) string {
	if v.link == nil {
		return text
	}
	return strings.Replace(text, `"peer":`, fmt.Sprintf(`"advertise": %q, "peer":`, v.link.Address()), 1)
}

// address is where other VMs connect to this one.
func (v *vm) address() string {
	if v.link != nil {
		return v.link.Address()
	}
	return v.peer
}

// graceSeconds is grace_period_s of the site.
const graceSeconds = 8

// isReady asks as the platform's balancer does.
func (v *vm) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + v.ready + "/api/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all VMs are ready.
func awaitReady(vms []*vm) {
	deadline := time.Now().Add(15 * time.Second)
	for _, v := range vms {
		for !v.isReady() {
			if time.Now().After(deadline) {
				cannotRun("%s is not ready", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// signal sends a signal to the process.
func (v *vm) signal(s syscall.Signal) { _ = v.cmd.Process.Signal(s) }

// kill ends the process if it still runs.
func (v *vm) kill() {
	if v.cmd == nil {
		return
	}
	_ = v.cmd.Process.Kill()
	<-v.ended
	v.log.Close()
}
