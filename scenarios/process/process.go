// Package process runs the programs of a scenario and sends them signals. Every
// one of them dies with the test.
package process

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// stopLimit is how long a program may take over a graceful stop at the end of a scenario.
const stopLimit = 20 * time.Second

// Process is one life of a program.
type Process struct {
	name string
	cmd  *exec.Cmd
	log  string
	// ready gets the address of the first ready line, and is closed at the end of the output.
	ready chan string
	// done is closed once the program has ended.
	done chan struct{}
}

// readyLine is what a stand-in prints once it listens.
type readyLine struct {
	Ready   bool   `json:"ready"`
	Address string `json:"address"`
}

// Start runs a program with its output in a file of dir. It dies with the test
// process, and has a process group of its own so that an interrupt of the test
// does not reach it in the middle of a script.
func Start(dir, name, program string, args ...string) (*Process, error) {
	p := &Process{
		name:  name,
		cmd:   exec.Command(program, args...), //nolint:noctx // stopped by signal
		log:   filepath.Join(dir, name+".log"),
		ready: make(chan string, 1),
		done:  make(chan struct{}),
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go p.follow(bufio.NewReader(out), log)
	return p, nil
}

// follow reads the output to its end and waits for the program.
func (p *Process) follow(out *bufio.Reader, log *os.File) {
	defer log.Close()
	announced := false
	for {
		line, err := out.ReadBytes('\n')
		_, _ = log.Write(line)
		var r readyLine
		if !announced && json.Unmarshal(line, &r) == nil && r.Ready {
			p.ready <- r.Address
			announced = true
		}
		if err != nil {
			break
		}
	}
	close(p.ready)
	_ = p.cmd.Wait()
	close(p.done)
}

// Name is the name it was started under.
func (p *Process) Name() string { return p.name }

// Pid is its process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Done is closed once it has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Running tells whether it has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Status tells how it ended, or that it runs.
func (p *Process) Status() string {
	if p.Running() {
		return "running"
	}
	return p.cmd.ProcessState.String()
}

// Succeeded reports whether it ended on its own with status 0.
func (p *Process) Succeeded() bool { return !p.Running() && p.cmd.ProcessState.Success() }

// Address waits for the ready line of a stand-in.
func (p *Process) Address(limit time.Duration) (string, error) {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case a, ok := <-p.ready:
		if !ok {
			return "", fmt.Errorf("%s ended before it was ready:\n%s", p.name, p.Tail())
		}
		return a, nil
	case <-t.C:
		return "", fmt.Errorf("%s was not ready in %v:\n%s", p.name, limit, p.Tail())
	}
}

// Signal sends a signal; to a program that has ended it is an error.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Kill ends it at once and waits for its end.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}

// Close ends it gracefully, then by force.
func (p *Process) Close() {
	_ = p.Signal(syscall.SIGCONT)
	_ = p.Signal(syscall.SIGTERM)
	t := time.NewTimer(stopLimit)
	defer t.Stop()
	select {
	case <-p.done:
	case <-t.C:
		p.Kill()
	}
}

// tailSize is how much of a log a failure shows, in bytes.
const tailSize = 6 << 10

// Tail returns the end of its log.
func (p *Process) Tail() string {
	b, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-tailSize):])
}

// Grep returns the lines of its log, over all lives in the same folder, that hold a text.
func (p *Process) Grep(text string) []string {
	b, err := os.ReadFile(p.log)
	if err != nil {
		return []string{err.Error()}
	}
	var out []string
	for line := range strings.Lines(string(b)) {
		if strings.Contains(line, text) {
			out = append(out, strings.TrimSpace(line))
		}
	}
	return out
}
