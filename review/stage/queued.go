package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// configuration returns the operator's configuration, with the keys of the tenants.
func configuration(version int, keys map[string][]string) map[string]any {
	tenants := []map[string]any{}
	for name, ks := range keys {
		tenants = append(tenants, map[string]any{"name": name, "api_keys": append([]string{}, ks...), "priority": 1})
	}
	route := func(name, prefix, kind, service string, timeout, target, gap, attempts int, resumable bool) map[string]any {
		r := map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": kind, "service": service, "timeout_ms": timeout,
			"target_latency_ms": target, "max_attempts": attempts, "priority": 1,
		}
		if kind == "streaming" {
			r["target_gap_ms"], r["stream_resumption"], r["session_affinity"] = gap, resumable, true
		}
		return r
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("dossier", "/dossier/", "streaming", "notice-llm", 15_000, 3000, 800, 2, false),
			route("draft", "/draft/", "streaming", "notice-llm", 10_000, 300, 200, 2, true),
			route("lookup", "/lookup/", "non_idempotent", "alert-desk", 1500, 100, 0, 1, false),
			route("status", "/status/", "idempotent", "alert-desk", 1500, 100, 0, 2, false),
		},
		"tenants": tenants,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
		"services": []any{
			map[string]any{"name": "notice-llm", "max_connections": 354, "health_check_path": "/healthz", "inference_engine": map[string]any{
				"slots": engineSlots, "kv_capacity_tokens": engineMemory, "stride": eventTokens, "step_ms": 0.925, "per_seq_ms": 0.00483,
				"context_per_k": 0.00254, "read_per_s": 256_000, "pairs_per_m": 0.0, "hop_latency_ms": 0.1, "report_lag_ms": 100,
			}},
			map[string]any{"name": "alert-desk", "max_connections": 96, "health_check_path": "/healthz"},
		},
	}
}

// open starts a platform with the configuration, model runners and other runners, and the machines.
func (s *stage) open(models, desks, vms int) error {
	var err error
	if s.store, err = newStore(); err != nil {
		return err
	}
	s.store.put("config", "main", configuration(10, map[string][]string{"hule930": {"k-one"}, "daxo111": {"k-two"}}))
	for i := range models {
		if _, err := s.newRunner(fmt.Sprintf("i-m%d", i), "notice-llm", "tvm-hall", true, 0); err != nil {
			return err
		}
	}
	for i := range desks {
		if _, err := s.newRunner(fmt.Sprintf("i-d%d", i), "alert-desk", "tvm-hall", false, 15*time.Millisecond); err != nil {
			return err
		}
	}
	for range vms {
		if _, err := s.addVM("tvm-hall"); err != nil {
			return err
		}
	}
	return nil
}

// startAll writes the settings of all machines, with the first ones as seeds, and starts them.
func (s *stage) startAll() error {
	var seeds []string
	for _, v := range s.vms[:min(3, len(s.vms))] {
		seeds = append(seeds, v.control)
	}
	for _, v := range s.vms {
		if err := s.writeSettings(v, "tvm-hall", seeds, s.store.address(), ""); err != nil {
			return err
		}
		if err := s.start(v); err != nil {
			return err
		}
	}
	for _, v := range s.vms {
		if err := v.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// Times of the case, after the start of the traffic.
const (
	// fillerOutput is the length of the answers that keep the memory of the engines in use for eleven seconds.
	fillerOutput  = 11_000
	dossierPrompt = 210_000
	dossierOutput = 782
	fillers       = 2
	waiters       = 3
)

// playQueuedAtStop stops a machine as planned while requests that it has read wait for memory of the engines.
func playQueuedAtStop(s *stage) (bool, string, error) {
	if err := s.open(2, 1, 3); err != nil {
		return false, "", err
	}
	if err := s.startAll(); err != nil {
		return false, "", err
	}
	time.Sleep(4 * time.Second) // longer than contact_window_ms
	var wg sync.WaitGroup
	send := func(v *vm, id string, output int, keep func(answer)) {
		wg.Go(func() {
			c, err := open(v.frontend)
			if err != nil {
				s.record.add("%s: no channel to %s: %v", id, v.name, err)
				return
			}
			defer c.close()
			s.record.add("%s is sent to %s, %d tokens in", id, v.name, dossierPrompt)
			a := c.send(call{
				id: id, method: "POST", path: "/dossier/1", key: "k-one", usage: fmt.Sprintf("%d,%d", dossierPrompt, output),
				parts: fmt.Sprintf("5c1e07a2:40,%x:%d", len(id)*7919+int(id[len(id)-1]), dossierPrompt-40), limit: 15 * time.Second,
			})
			s.record.add("%s gets after %.3f s: %v", id, a.ended.Sub(a.sent).Seconds(), a)
			keep(a)
		})
	}
	for i := range fillers {
		send(s.vms[1+i%2], fmt.Sprintf("filler-%d", i), fillerOutput, func(answer) {})
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(2300 * time.Millisecond)
	var mu sync.Mutex
	got := map[string]answer{}
	for i := range waiters {
		id := fmt.Sprintf("waiter-%d", i)
		send(s.vms[0], id, dossierOutput, func(a answer) {
			mu.Lock()
			defer mu.Unlock()
			got[id] = a
		})
	}
	time.Sleep(500 * time.Millisecond)
	stopped := time.Now()
	if s.trouble {
		s.record.add("SIGTERM to %s", s.vms[0].name)
		if err := s.vms[0].signal(syscall.SIGTERM); err != nil {
			return false, "", err
		}
		go func() {
			select {
			case <-s.vms[0].done:
			case <-time.After(8 * time.Second):
				s.record.add("SIGKILL to %s, after grace_period_s", s.vms[0].name)
				_ = s.vms[0].signal(syscall.SIGKILL)
			}
		}()
	}
	wg.Wait()
	lost := 0
	for id, a := range got {
		// A request that a runner was at work on in the last sixth of grace_period_s isn't counted.
		atWork := false
		for _, r := range s.runners {
			for _, at := range r.ran(id) {
				atWork = atWork || at.Before(a.ended)
			}
		}
		slack := a.ended.Sub(a.sent) > 200*time.Millisecond // loss_slack_ms
		planned := a.ended.Sub(stopped) < 9*time.Second     // grace_period_s and 1 s
		if a.closed && !atWork && slack && planned {
			lost++
		}
	}
	return lost > 0, fmt.Sprintf("%d of %d requests that %s had read and that no runner was at work on ended with a closed channel and no answer", lost, waiters, s.vms[0].name), nil
}
