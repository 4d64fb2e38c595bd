package world

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"snipeshift.example/scenarios/relay"
)

// callTimeout is the time limit of one HTTP call on behalf of the scenario itself.
const callTimeout = 10 * time.Second

// directClient is the HTTP client for emulators and for operator addresses without TLS. It does not
// keep connections alive, since a pooled connection may lead to a process that has ended.
var directClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// nopBody is a response body that has been read into memory.
type nopBody struct{ *bytes.Reader }

// Close implements io.Closer.
func (nopBody) Close() error { return nil }

// Control sets the faults that an emulator injects, each as FIELD=VALUE.
func (w *World) Control(ctx context.Context, name string, fields ...string) error {
	n, err := w.node(name)
	if err != nil {
		return err
	}
	faults := jsonObject{}
	for _, f := range fields {
		if err := faults.set(f); err != nil {
			return err
		}
	}
	text, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	_, err = send(ctx, http.MethodPost, "http://"+n.address+"/control", text, nil)
	return err
}

// link returns the relay that connections from one process to another pass through. All processes
// share one relay to an emulator or to a daemon's peer address; clients use another relay to a daemon.
func (w *World) link(from, to string) (*relay.Relay, error) {
	n, err := w.node(to)
	if err != nil {
		return nil, err
	}
	d := mainEndpoint
	if n.role == roleDaemon {
		d = peerEndpoint
	}
	if from == Client {
		d = clientEndpoint
	}
	r, ok := n.relays[d]
	if !ok {
		return nil, fmt.Errorf("no link from %s to %s", from, to)
	}
	return r, nil
}

// Cut resets all connections from one process to another, present and future, until Heal.
func (w *World) Cut(from, to string) error {
	return w.withLink(from, to, func(r *relay.Relay, source string) { r.Cut(source) })
}

// Silence drops all data that the present connections from one process to another carry in the given
// directions, for good. With newConnsToo set, this also applies to connections opened until Heal.
func (w *World) Silence(from, to string, directions relay.Directions, newConnsToo bool) error {
	return w.withLink(from, to, func(r *relay.Relay, source string) { r.Silence(source, directions, newConnsToo) })
}

// Heal makes new connections from one process to another work again.
func (w *World) Heal(from, to string) error {
	return w.withLink(from, to, func(r *relay.Relay, source string) { r.Heal(source) })
}

// withLink calls f with the relay of a link and the source whose connections the fault applies to.
func (w *World) withLink(from, to string, f func(r *relay.Relay, source string)) error {
	r, err := w.link(from, to)
	if err != nil {
		return err
	}
	if from == Client {
		from = relay.AnySource
	}
	f(r, from)
	return nil
}

// Document returns the last accepted document as JSON.
func (w *World) Document() ([]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return json.MarshalIndent(w.document, "", "  ")
}

// Edit returns the last accepted document with edits PATH=VALUE as JSON, without applying it.
func (w *World) Edit(edits []string) ([]byte, error) {
	w.mu.Lock()
	t, err := w.document.copy()
	w.mu.Unlock()
	if err != nil {
		return nil, err
	}
	for _, e := range edits {
		if err := t.set(e); err != nil {
			return nil, err
		}
	}
	return json.MarshalIndent(t, "", "  ")
}

// AcceptedRevision returns the revision of the last accepted document.
func (w *World) AcceptedRevision() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revision
}

// Apply applies a document with "snipeshift apply". base is the revision that the
// document was edited from; the command fails if the store holds another one.
func (w *World) Apply(ctx context.Context, text []byte, base uint64) error {
	w.applying.Store(true)
	defer w.applying.Store(false)
	r, err := w.runApply(ctx, text, base)
	if err != nil {
		return err
	}
	return w.recordAccepted(text, r)
}

// runApply runs "snipeshift apply" and returns the new revision in its output.
func (w *World) runApply(ctx context.Context, text []byte, base uint64) (uint64, error) {
	n, err := w.node(Store)
	if err != nil {
		return 0, err
	}
	file := filepath.Join(w.dir, fmt.Sprintf("document-%d.json", w.applies.Add(1)))
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return 0, err
	}
	c := exec.CommandContext(ctx, filepath.Join(w.programDir, "snipeshift"), "--store", n.address, "--output", "json",
		"apply", "--revision", fmt.Sprint(base), file)
	out, err := c.Output()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return 0, fmt.Errorf("snipeshift apply: %w: %s", err, bytes.TrimSpace(exit.Stderr))
	}
	if err != nil {
		return 0, err
	}
	var result struct {
		Revision uint64 `json:"revision"`
	}
	return result.Revision, json.Unmarshal(out, &result)
}

// RunOperator runs the operator command snipeshift against this deployment and returns its standard
// output. Its standard error becomes part of the error.
func (w *World) RunOperator(ctx context.Context, args ...string) (string, error) {
	c := exec.CommandContext(ctx, filepath.Join(w.programDir, "snipeshift"), args...)
	c.Env = os.Environ()
	for k, v := range w.OperatorEnv() {
		c.Env = append(c.Env, k+"="+v)
	}
	out, err := c.Output()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(out), fmt.Errorf("snipeshift %s: %w: %s", strings.Join(args, " "), err, bytes.TrimSpace(exit.Stderr))
	}
	return string(out), err
}

// OperatorEnv returns the environment variables by which the operator command finds this deployment.
func (w *World) OperatorEnv() map[string]string {
	var addresses []string
	for _, n := range w.nodesOf(roleDaemon) {
		addresses = append(addresses, n.listenAddresses[operatorEndpoint])
	}
	env := map[string]string{"SNIPESHIFT_DAEMON": strings.Join(addresses, ",")}
	if n, err := w.node(Store); err == nil {
		env["SNIPESHIFT_STORE"] = n.address
	}
	if w.plan.TLS {
		maps.Copy(env, certificateEnv(w.certificateFiles(operatorHolder)))
	}
	return env
}

// AcceptIfStored records a document as accepted if the store contains it. It is for a
// write that returned an error, which may have succeeded with its response lost.
// The read is repeated until the store responds, since it may be down.
func (w *World) AcceptIfStored(ctx context.Context, text []byte) error {
	return Await(ctx, readyTimeout, "response of the store", func() (bool, error) {
		r, stored, err := w.StoredDocument(ctx)
		if err != nil || !bytes.Equal(stored, text) {
			return err == nil, nil //nolint:nilerr // polled again
		}
		return true, w.recordAccepted(text, r)
	})
}

// recordAccepted records that the store accepted a document under a revision.
func (w *World) recordAccepted(text []byte, revision uint64) error {
	t := jsonObject{}
	if err := json.Unmarshal(text, &t); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.document, w.revision = t, revision
	if w.monitor != nil {
		w.monitor.recordAccepted(revision)
	}
	return nil
}

// putDocument writes the document to the store, provided that the stored revision is base. A base of
// zero requires that there is no document yet. putDocument returns the new revision.
func (w *World) putDocument(ctx context.Context, text []byte, base uint64) (uint64, error) {
	h := http.Header{}
	if base == 0 {
		h.Set("If-None-Match", "*")
	} else {
		h.Set("If-Match", fmt.Sprintf("%q", fmt.Sprint(base)))
	}
	resp, err := w.callStore(ctx, http.MethodPut, "/objects/config/document", text, h)
	if err != nil {
		return 0, err
	}
	return versionOf(resp)
}

// versionOf returns the revision in the ETag of a response of the store.
func versionOf(resp *http.Response) (uint64, error) {
	var v uint64
	_, err := fmt.Sscanf(strings.Trim(resp.Header.Get("ETag"), `"`), "%d", &v)
	return v, err
}

// StoredDocument returns the revision and the text of the document in the store.
func (w *World) StoredDocument(ctx context.Context) (uint64, []byte, error) {
	resp, err := w.callStore(ctx, http.MethodGet, "/objects/config/document", nil, nil)
	if err != nil {
		return 0, nil, err
	}
	v, err := versionOf(resp)
	if err != nil {
		return 0, nil, err
	}
	var text bytes.Buffer
	_, err = text.ReadFrom(resp.Body)
	return v, text.Bytes(), err
}

// Ready reports whether a daemon is running and passes its readiness check.
func (w *World) Ready(ctx context.Context, name string) bool {
	n, _, err := w.runningProcess(name)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	_, err = w.callOperator(ctx, n, "/ready")
	return err == nil
}

// operatorTimeout is the time limit of one call to a daemon's operator address, since the daemon may be frozen.
const operatorTimeout = time.Second

// awaitReady waits until the daemons are ready; it fails if one exits.
func (w *World) awaitReady(ctx context.Context, names []string) error {
	for _, name := range names {
		err := Await(ctx, readyTimeout, "ready "+name, func() (bool, error) {
			if ended, _, _ := w.Exited(name); ended {
				return false, fmt.Errorf("%s exited before it was ready: %s", name, w.Status(name))
			}
			return w.Ready(ctx, name), nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// awaitInterval is the interval between two evaluations of a condition in Await.
const awaitInterval = 20 * time.Millisecond

// Await evaluates a condition until it is true, at least once. It returns the condition's error, or an
// error that starts with description if the condition is still false after the timeout.
func Await(ctx context.Context, timeout time.Duration, description string, condition func() (bool, error)) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	t := time.NewTicker(awaitInterval)
	defer t.Stop()
	for {
		ok, err := condition()
		if ok || err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: condition not met within %v", description, timeout)
		case <-t.C:
		}
	}
}
