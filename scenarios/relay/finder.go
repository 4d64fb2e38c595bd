package relay

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
)

// Finder determines which process dialed a loopback connection. All daemons dial from the same IP
// address, so only the kernel's socket table tells their connections apart.
type Finder struct {
	mu sync.Mutex
	// names holds the name of each known process by process id.
	names map[int]string
	// pending holds the lookups that the next read of the socket table resolves together.
	pending   []lookup
	resolving bool
}

// lookup is a pending request for the name of the process that dialed a connection.
type lookup struct {
	addrs  addrPair
	result chan string
}

// addrPair holds the two addresses of a connection in the format of /proc/net/tcp, seen from the
// process that dialed. The local port alone is not enough: the kernel uses one ephemeral port for
// several connections with different remote addresses.
type addrPair struct{ local, remote string }

// procAddr formats an address as /proc/net/tcp does: the bytes of the IP address in host byte order,
// which is taken to be little endian, and the port.
func procAddr(a *net.TCPAddr) string {
	ip := a.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
}

// NewFinder returns a finder without processes.
func NewFinder() *Finder { return &Finder{names: map[int]string{}} }

// AddProcess adds a process and its name.
func (f *Finder) AddProcess(pid int, name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.names[pid] = name
}

// RemoveProcess removes a process that has ended, since the system may reuse its id.
func (f *Finder) RemoveProcess(pid int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.names, pid)
}

// Find returns the name of the process that dialed an accepted connection, empty if it is not known.
func (f *Finder) Find(accepted net.Conn) string {
	from, ok := accepted.RemoteAddr().(*net.TCPAddr)
	to, ok2 := accepted.LocalAddr().(*net.TCPAddr)
	if !ok || !ok2 {
		return ""
	}
	l := lookup{addrs: addrPair{procAddr(from), procAddr(to)}, result: make(chan string, 1)}
	f.mu.Lock()
	f.pending = append(f.pending, l)
	start := !f.resolving
	f.resolving = true
	f.mu.Unlock()
	if start {
		go f.resolve()
	}
	return <-l.result
}

// resolve resolves pending lookups until there are none. One read of the socket table serves all
// lookups that are pending at the time.
func (f *Finder) resolve() {
	for {
		f.mu.Lock()
		lookups := f.pending
		f.pending = nil
		f.resolving = len(lookups) > 0
		names := make(map[int]string, len(f.names))
		for pid, n := range f.names {
			names[pid] = n
		}
		f.mu.Unlock()
		if len(lookups) == 0 {
			return
		}
		inodes := socketInodes()
		nameByInode := namesByInode(names)
		for _, l := range lookups {
			l.result <- nameByInode[inodes[l.addrs]]
		}
	}
}

// Indexes of the fields in a line of /proc/net/tcp, and the least number of fields of a usable line.
const (
	fieldLocal  = 1
	fieldRemote = 2
	fieldInode  = 9
	minFields   = 10
)

// socketInodes reads the inode of every TCP socket from /proc/net/tcp. If the file cannot be opened
// the map is empty.
func socketInodes() map[addrPair]string {
	out := map[addrPair]string{}
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return out
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fs := strings.Fields(lines.Text())
		if len(fs) >= minFields && fs[fieldInode] != "0" {
			out[addrPair{fs[fieldLocal], fs[fieldRemote]}] = fs[fieldInode]
		}
	}
	return out
}

// namesByInode maps the inode of each open socket of the given processes to the process's name.
func namesByInode(names map[int]string) map[string]string {
	out := map[string]string{}
	for pid, name := range names {
		dir := fmt.Sprintf("/proc/%d/fd", pid)
		fds, err := os.ReadDir(dir)
		if err != nil {
			continue
		}
		for _, fd := range fds {
			if _, err := strconv.Atoi(fd.Name()); err != nil {
				continue
			}
			link, err := os.Readlink(filepath.Join(dir, fd.Name()))
			if err != nil {
				continue
			}
			if s, ok := strings.CutPrefix(link, "socket:["); ok {
				out[strings.TrimSuffix(s, "]")] = name
			}
		}
	}
	return out
}
