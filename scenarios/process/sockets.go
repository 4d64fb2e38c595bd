package process

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// Columns of /proc/net/tcp.
const (
	queueColumn = 4
	inodeColumn = 9
)

// HeldByKernel returns how many bytes the kernel holds for the program's TCP connections: received and not read, or written and
// not received by the other end.
func (p *Process) HeldByKernel() (int64, error) {
	own, err := p.sockets()
	if err != nil {
		return 0, err
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", p.Pid()))
	if err != nil {
		return 0, err
	}
	var held int64
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) <= inodeColumn || !own[fields[inodeColumn]] {
			continue
		}
		for _, queue := range strings.Split(fields[queueColumn], ":") {
			n, err := strconv.ParseInt(queue, 16, 64)
			if err != nil {
				return 0, err
			}
			held += n
		}
	}
	return held, nil
}

// sockets returns the inodes of the program's sockets.
func (p *Process) sockets() (map[string]bool, error) {
	names, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", p.Pid()))
	inodes := map[string]bool{}
	for _, name := range names {
		target, err := os.Readlink(name)
		if err != nil {
			continue // closed meanwhile
		}
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes, err
}
