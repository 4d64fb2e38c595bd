package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// link is a proxy in front of one address. While it is cut for a source, it carries nothing of that source's
// connections in either direction. As with TCP behind a partition, what was written on a connection that was open
// before is delivered once the cut has healed, the end of the stream too, unless its sender reset the connection.
// Connections opened during the cut carry nothing, and are reset when it heals: their first packets were lost.
type link struct {
	listener net.Listener
	target   string
	// source returns the name of the process that opened a connection; nil if all come from one.
	source func(net.Conn) string

	mu sync.Mutex
	// healed has a channel for each source that is cut, closed when the cut heals.
	healed map[string]chan struct{}
	conns  map[net.Conn]bool
}

// newLink returns a link to target.
func (s *stage) newLink(target string, source func(net.Conn) string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, target: target, source: source, healed: map[string]chan struct{}{}, conns: map[net.Conn]bool{}}
	s.links = append(s.links, k)
	go k.accept()
	return k, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// cut cuts the connections of a source until heal.
func (l *link) cut(source string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.healed[source] = make(chan struct{})
}

func (l *link) heal(source string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.healed[source]; c != nil {
		close(c)
		delete(l.healed, source)
	}
}

func (l *link) close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Close()
	}
}

// cutOf returns the channel that is closed when the cut of a source heals, nil if it is not cut.
func (l *link) cutOf(source string) chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.healed[source]
}

func (l *link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(c)
	}
}

func (l *link) serve(c net.Conn) {
	name := ""
	if l.source != nil {
		name = l.source(c)
	}
	if healed := l.cutOf(name); healed != nil {
		<-healed
		reset(c)
		return
	}
	up, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		reset(c)
		return
	}
	l.mu.Lock()
	l.conns[c], l.conns[up] = true, true
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { l.copy(up, c, name) })
	wg.Go(func() { l.copy(c, up, name) })
	wg.Wait()
	_ = c.Close()
	_ = up.Close()
	l.mu.Lock()
	delete(l.conns, c)
	delete(l.conns, up)
	l.mu.Unlock()
}

// copy copies one direction, and holds what it has read while the source is cut.
func (l *link) copy(to, from net.Conn, name string) {
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		if healed := l.cutOf(name); healed != nil {
			<-healed
		}
		if n > 0 {
			if _, werr := to.Write(b[:n]); werr != nil {
				reset(from)
				return
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// opener returns the name of the machine whose process opened a connection, empty for none of them.
func (s *stage) opener(c net.Conn) string {
	local, remote := procAddress(c.RemoteAddr()), procAddress(c.LocalAddr())
	table, _ := os.ReadFile("/proc/net/tcp")
	inode := ""
	for _, line := range strings.Split(string(table), "\n") {
		f := strings.Fields(line)
		if len(f) > 9 && f[1] == local && f[2] == remote {
			inode = f[9]
		}
	}
	for _, v := range s.vms {
		dir := fmt.Sprintf("/proc/%d/fd", v.cmd.Process.Pid)
		files, _ := os.ReadDir(dir)
		for _, f := range files {
			if to, _ := os.Readlink(dir + "/" + f.Name()); to == "socket:["+inode+"]" {
				return v.name
			}
		}
	}
	return ""
}

// procAddress formats an address as /proc/net/tcp does.
func procAddress(a net.Addr) string {
	t := a.(*net.TCPAddr)
	ip := t.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], t.Port)
}
