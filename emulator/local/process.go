package local

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"snipeshift.example/emulator/listen"
)

// stopTimeout is how long a process may take to stop gracefully before it is killed.
const stopTimeout = 45 * time.Second

// startTimeout is how long an emulator process may take to print its ready line.
const startTimeout = 15 * time.Second

// process is a child process.
type process struct {
	name string
	cmd  *exec.Cmd
	log  string
	// ready receives the ready line of an emulator process, and is closed at the end of the output.
	ready chan listen.Ready
	// done is closed when the process has exited; err is then its exit error.
	done chan struct{}
	err  error
}

// startChild runs a program with standard error redirected to a log file in dir. The child has its own
// process group, so that Ctrl-C reaches only the parent, which stops all children in order. If the
// parent is killed, the kernel kills the child.
func startChild(dir, name, program string, args ...string) (*process, error) {
	p := &process{
		name:  name,
		cmd:   exec.Command(program, args...), //nolint:noctx // stopped in tier order by signals, not by a context
		log:   filepath.Join(dir, name+".log"),
		ready: make(chan listen.Ready, 1),
		done:  make(chan struct{}),
	}
	log, err := os.Create(p.log)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go p.readOutput(out)
	return p, nil
}

// maxLineBytes is the maximum length of a line of a child's output.
const maxLineBytes = 1 << 20

// readOutput reads the child's standard output to the end, passes the ready line on, and waits for the
// child to exit.
func (p *process) readOutput(out io.Reader) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, maxLineBytes)
	var first listen.Ready
	for lines.Scan() {
		if first.Ready || json.Unmarshal(lines.Bytes(), &first) != nil || !first.Ready {
			continue
		}
		p.ready <- first
	}
	close(p.ready)
	p.err = p.cmd.Wait()
	close(p.done)
}

// awaitAddress waits for the ready line of an emulator process and returns the address in it.
func (p *process) awaitAddress(ctx context.Context) (string, error) {
	r, err := p.awaitReadyLine(ctx)
	return r.Address, err
}

// awaitReadyLine waits up to startTimeout for the ready line of an emulator process.
func (p *process) awaitReadyLine(ctx context.Context) (listen.Ready, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	select {
	case r, ok := <-p.ready:
		if ok {
			return r, nil
		}
		return r, p.errorWithLog("exited before it was ready")
	case <-ctx.Done():
		return listen.Ready{}, p.errorWithLog("printed no ready line: " + ctx.Err().Error())
	}
}

// errorWithLog returns an error that contains the end of the child's log.
func (p *process) errorWithLog(problem string) error {
	text, _ := os.ReadFile(p.log)
	return fmt.Errorf("%s %s; end of its log:\n%s", p.name, problem, text[max(0, len(text)-shownLogBytes):])
}

// shownLogBytes is the maximum length of the part of a log in an error.
const shownLogBytes = 2000

// stop sends SIGTERM to the child, and SIGKILL if the child has not exited after stopTimeout.
func (p *process) stop() error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		_ = p.cmd.Process.Kill()
		<-p.done
		return p.errorWithLog("did not stop before the timeout and was killed")
	}
	if p.err != nil {
		return errors.Join(p.err, p.errorWithLog("exited with an error"))
	}
	return nil
}
