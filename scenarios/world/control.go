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

// sendLimit bounds one call of the runner itself.
const sendLimit = 10 * time.Second

// runner calls stand-ins and operators' doors; no kept connection outlives a process.
var runner = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// nopBody is a body that was read already.
type nopBody struct{ *bytes.Reader }

// Close implements io.Closer.
func (nopBody) Close() error { return nil }

// Control tells a stand-in what to do wrong: FIELD=VALUE each.
func (w *World) Control(ctx context.Context, name string, fields ...string) error {
	n, err := w.node(name)
	if err != nil {
		return err
	}
	t := tree{}
	for _, f := range fields {
		if err := t.set(f); err != nil {
			return err
		}
	}
	text, err := json.Marshal(t)
	if err != nil {
		return err
	}
	_, err = send(ctx, http.MethodPost, "http://"+n.address+"/control", text, nil)
	return err
}

// link is the relay on the way from one process to another.
func (w *World) link(from, to string) (*relay.Relay, error) {
	n, err := w.node(to)
	if err != nil {
		return nil, err
	}
	d := doorMain
	if n.role == roleDaemon {
		d = doorPeer
	}
	if from == Client {
		d = doorCaller
	}
	r, ok := n.doors[d]
	if !ok {
		return nil, fmt.Errorf("no link from %s to %s", from, to)
	}
	return r, nil
}

// Cut resets all connections from one process to another and refuses new ones.
func (w *World) Cut(from, to string) error {
	return w.each(from, to, func(r *relay.Relay, source string) { r.Cut(source) })
}

// Silence swallows what connections carry; with fresh set, new ones too.
func (w *World) Silence(from, to string, ways relay.Ways, fresh bool) error {
	return w.each(from, to, func(r *relay.Relay, source string) { r.Silence(source, ways, fresh) })
}

// Heal lets new connections work again.
func (w *World) Heal(from, to string) error {
	return w.each(from, to, func(r *relay.Relay, source string) { r.Heal(source) })
}

func (w *World) each(from, to string, f func(r *relay.Relay, source string)) error {
	r, err := w.link(from, to)
	if err != nil {
		return err
	}
	if from == Client {
		from = relay.Any
	}
	f(r, from)
	return nil
}

// Document is the text that the last edit made.
func (w *World) Document() ([]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return json.MarshalIndent(w.document, "", "  ")
}

// Edit returns the document with edits PATH=VALUE, and does not put it in force.
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

// AcceptedRevision is the revision that was accepted last.
func (w *World) AcceptedRevision() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revision
}

// Apply puts a document in force by the operator command, on the revision that
// it was made from. The command's refusal is the error.
func (w *World) Apply(ctx context.Context, text []byte, base uint64) error {
	w.changing.Store(true)
	defer w.changing.Store(false)
	r, err := w.operate(ctx, text, base)
	if err != nil {
		return err
	}
	return w.accepted(text, r)
}

// operate runs "snipeshift apply" and returns the revision that it names.
func (w *World) operate(ctx context.Context, text []byte, base uint64) (uint64, error) {
	n, err := w.node(Store)
	if err != nil {
		return 0, err
	}
	file := filepath.Join(w.dir, fmt.Sprintf("document-%d.json", w.edits.Add(1)))
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return 0, err
	}
	c := exec.CommandContext(ctx, filepath.Join(w.bin, "snipeshift"), "--store", n.address, "--output", "json",
		"apply", "--revision", fmt.Sprint(base), file)
	out, err := c.Output()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return 0, fmt.Errorf("snipeshift apply: %w: %s", err, bytes.TrimSpace(exit.Stderr))
	}
	if err != nil {
		return 0, err
	}
	var a struct {
		Revision uint64 `json:"revision"`
	}
	return a.Revision, json.Unmarshal(out, &a)
}

// RunOperator runs the operators' command against this deployment and returns its output.
func (w *World) RunOperator(ctx context.Context, args ...string) (string, error) {
	c := exec.CommandContext(ctx, filepath.Join(w.bin, "snipeshift"), args...)
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

// OperatorEnv are the variables by which the operators' command finds this deployment.
func (w *World) OperatorEnv() map[string]string {
	var doors []string
	for _, n := range w.named(roleDaemon) {
		doors = append(doors, n.own[doorOperator])
	}
	env := map[string]string{"SNIPESHIFT_DAEMON": strings.Join(doors, ",")}
	if n, err := w.node(Store); err == nil {
		env["SNIPESHIFT_STORE"] = n.address
	}
	if w.plan.TLS {
		maps.Copy(env, fileEnv(w.files(operatorFiles)))
	}
	return env
}

// AcceptIfStored takes a document as accepted if the store holds it all the same, after a
// write that failed or whose answer was lost. While the store is down it cannot
// be asked, so the question is repeated until it answers.
func (w *World) AcceptIfStored(ctx context.Context, text []byte) error {
	return Await(ctx, readyLimit, "answer of the store", func() (bool, error) {
		r, stored, err := w.StoredDocument(ctx)
		if err != nil || !bytes.Equal(stored, text) {
			return err == nil, nil //nolint:nilerr // asked again
		}
		return true, w.accepted(text, r)
	})
}

// accepted notes that a document was accepted under a revision.
func (w *World) accepted(text []byte, revision uint64) error {
	t := tree{}
	if err := json.Unmarshal(text, &t); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.document, w.revision = t, revision
	if w.monitor != nil {
		w.monitor.accept(revision)
	}
	return nil
}

func (w *World) putDocument(ctx context.Context, text []byte, at uint64) (uint64, error) {
	h := http.Header{}
	if at == 0 {
		h.Set("If-None-Match", "*")
	} else {
		h.Set("If-Match", fmt.Sprintf("%q", fmt.Sprint(at)))
	}
	resp, err := w.tellStore(ctx, http.MethodPut, "/objects/config/document", text, h)
	if err != nil {
		return 0, err
	}
	return versionOf(resp)
}

func versionOf(resp *http.Response) (uint64, error) {
	var v uint64
	_, err := fmt.Sscanf(strings.Trim(resp.Header.Get("ETag"), `"`), "%d", &v)
	return v, err
}

// StoredDocument reads the revision of the document in the store.
func (w *World) StoredDocument(ctx context.Context) (uint64, []byte, error) {
	resp, err := w.tellStore(ctx, http.MethodGet, "/objects/config/document", nil, nil)
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

// Ready asks a daemon whether it is ready.
func (w *World) Ready(ctx context.Context, name string) bool {
	n, _, err := w.live(name)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	_, err = w.ask(ctx, n, "/ready")
	return err == nil
}

// askLimit bounds a question to a daemon that may be frozen.
const askLimit = time.Second

func (w *World) awaitReady(ctx context.Context, names []string) error {
	for _, name := range names {
		err := Await(ctx, readyLimit, "ready "+name, func() (bool, error) {
			if ended, _, _ := w.Exited(name); ended {
				return false, fmt.Errorf("%s ended: %s", name, w.Status(name))
			}
			return w.Ready(ctx, name), nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// step is how often a condition is looked at.
const step = 20 * time.Millisecond

// Await looks at a condition until it holds; an error ends the wait.
func Await(ctx context.Context, limit time.Duration, what string, holds func() (bool, error)) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	t := time.NewTicker(step)
	defer t.Stop()
	for {
		ok, err := holds()
		if ok || err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: not within %v", what, limit)
		case <-t.C:
		}
	}
}
