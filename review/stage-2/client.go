package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Routes of the configuration.
const (
	host       = "desk.example"
	dossier    = "/dossier/"
	draft      = "/draft/"
	record     = "/record/"
	tenantName = "ward"
	tenantKey  = "k-ward"
)

// coldStart and coldPerSecond are cold_start_s and cold_per_s of the engines; zero where runners are never cold.
var coldStart, coldPerSecond float64

// engineSlots and engineMemory are the engines' slots and memory in tokens.
var engineSlots, engineMemory = 16, 450_000

// engineService is the definition of a service of engines.
func engineService(name string) map[string]any {
	return map[string]any{"name": name, "max_connections": 354, "cold_start_s": coldStart, "cold_per_s": coldPerSecond, "inference_engine": map[string]any{
		"slots": engineSlots, "kv_capacity_tokens": engineMemory, "stride": 46, "step_ms": 0.925, "per_seq_ms": 0.00483, "context_per_k": 0.00254,
		"read_per_s": 256_000, "pairs_per_m": 0.0917, "hop_latency_ms": 0.1, "chunk": 2048, "report_lag_ms": 200,
	}}
}

// configure writes a configuration with figures of the site kwsd-notices. Its streaming routes lead to a service of engines.
func (r *run) configure(version int, engines string) {
	r.store.put("config", "main", map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "dossier", "host": host, "path_prefix": dossier, "kind": "streaming", "stream_resumption": true, "service": engines, "timeout_ms": 15000, "target_latency_ms": 3000, "target_gap_ms": 800, "max_attempts": 2, "priority": 1},
			{"name": "draft", "host": host, "path_prefix": draft, "kind": "streaming", "stream_resumption": true, "service": engines, "timeout_ms": 10000, "target_latency_ms": 300, "target_gap_ms": 200, "max_attempts": 2, "priority": 1},
			{"name": "record", "host": host, "path_prefix": record, "kind": "non_idempotent", "service": "alert-desk", "timeout_ms": 2000, "target_latency_ms": 300, "max_attempts": 1, "priority": 2},
		},
		"services": []map[string]any{
			engineService(engines),
			{"name": "alert-desk", "max_connections": 96},
		},
		"tenants": []map[string]any{{"name": tenantName, "api_keys": []string{tenantKey}, "priority": 1}},
		"limits":  map[string]any{"max_header_bytes": 65536, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 60000},
	})
}

// attempt is one request of a client on a channel of its own.
type attempt struct {
	id     string
	conn   net.Conn
	reader *bufio.Reader
}

// send sends a request to a VM.
func (r *run) send(v *vm, id, path, tokens string) *attempt {
	c, err := net.DialTimeout("tcp", v.caller, time.Second)
	if err != nil {
		cannotRun("no channel to %s: %v", v.name, err)
	}
	body := "body of " + id
	head := []string{
		"POST " + path + "2f HTTP/1.1", "Host: " + host, "X-Attempt-Id: " + id, "X-Deadline-Ms: 15000", "Authorization: Token " + tenantKey,
		fmt.Sprintf("Content-Length: %d", len(body)),
	}
	if tokens != "" {
		head = append(head, "X-Model: m", "X-Token-Usage: "+tokens, "X-Prompt-Prefix: 5c1e07a2:40,91bd3f06:1000")
	}
	if _, err := io.WriteString(c, strings.Join(head, "\r\n")+"\r\n\r\n"+body); err != nil {
		cannotRun("sending %s: %v", id, err)
	}
	if !quiet {
		r.note("client: %s sent to %s", id, v.name)
	}
	return &attempt{id: id, conn: c, reader: bufio.NewReader(c)}
}

// head reads the header of the answer.
func (a *attempt) head() (*http.Response, error) {
	return http.ReadResponse(a.reader, &http.Request{Method: http.MethodPost})
}
