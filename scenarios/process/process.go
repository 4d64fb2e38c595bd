// Package process runs the programs of a scenario and sends them signals. The
// kernel kills every program when the test process ends.
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

// Log returns what the program has written so far.
func (p *Process) Log() (string, error) {
	text, err := os.ReadFile(p.logPath)
	return string(text), err
}

// stopTimeout is how long a program may take over a graceful stop at the end of a scenario.
const stopTimeout = 20 * time.Second

// EnvFaults is the environment variable that names the folder of the fault files to daemons that are built
// with the tag "faults". It is set to the folder of the logs.
const EnvFaults = "SNIPESHIFT_FAULTS"

// Process is one run of a program, from its start to its exit.
type Process struct {
	name    string
	cmd     *exec.Cmd
	logPath string
	// ready receives the address in the first ready line, and is closed at the end of the output.
	ready chan string
	// done is closed once the program has exited.
	done chan struct{}
}

// readyLine is the line that an emulator (of an engine, a service or the platform) prints once it listens.
type readyLine struct {
	Ready   bool   `json:"ready"`
	Address string `json:"address"`
}

// Start runs a program and appends its output to the file NAME.log in dir. The
// kernel kills the program when the test process ends. It has its own process
// group, so that an interrupt of the test does not reach it in the middle of a script.
func Start(dir, name, program string, args ...string) (*Process, error) {
	p := &Process{
		name:    name,
		cmd:     exec.Command(program, args...), //nolint:noctx // stopped by signal
		logPath: filepath.Join(dir, name+".log"),
		ready:   make(chan string, 1),
		done:    make(chan struct{}),
	}
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p.cmd.Stderr = log
	p.cmd.Env = append(os.Environ(), EnvFaults+"="+dir)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go p.copyOutput(bufio.NewReader(out), log)
	return p, nil
}

// copyOutput copies the output to the log, reports the ready line, and waits for the program to exit.
func (p *Process) copyOutput(out *bufio.Reader, log *os.File) {
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

// Name returns the name that the program was started under.
func (p *Process) Name() string { return p.name }

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Done returns a channel that is closed once the program has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Running reports whether the program has not exited yet.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Status describes how the program exited, or returns "running".
func (p *Process) Status() string {
	if p.Running() {
		return "running"
	}
	return p.cmd.ProcessState.String()
}

// Succeeded reports whether the program has exited with status 0.
func (p *Process) Succeeded() bool { return !p.Running() && p.cmd.ProcessState.Success() }

// Address waits up to timeout for the ready line of an emulator and returns the address in it.
func (p *Process) Address(timeout time.Duration) (string, error) {
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case a, ok := <-p.ready:
		if !ok {
			return "", fmt.Errorf("%s exited before it was ready:\n%s", p.name, p.Tail())
		}
		return a, nil
	case <-t.C:
		return "", fmt.Errorf("%s was not ready within %v:\n%s", p.name, timeout, p.Tail())
	}
}

// Signal sends a signal. It returns an error if the program has exited.
func (p *Process) Signal(sig syscall.Signal) error { return p.cmd.Process.Signal(sig) }

// Kill sends SIGKILL and waits for the program to exit.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}

// Close stops the program with SIGTERM, even if the program is frozen, and kills it after stopTimeout.
func (p *Process) Close() {
	_ = p.Signal(syscall.SIGCONT)
	_ = p.Signal(syscall.SIGTERM)
	t := time.NewTimer(stopTimeout)
	defer t.Stop()
	select {
	case <-p.done:
	case <-t.C:
		p.Kill()
	}
}

// tailSize is how much of the end of a log is shown with a failure, in bytes.
const tailSize = 6 << 10

// Tail returns the end of the program's log.
func (p *Process) Tail() string {
	b, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-tailSize):])
}

// Grep returns the log lines that contain a text. The log covers all runs under this name in the same folder.
func (p *Process) Grep(text string) []string {
	b, err := os.ReadFile(p.logPath)
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
