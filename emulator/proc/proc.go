// Package proc reads what a process uses from the system's process table.
package proc

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// tick is the unit of processor time in the table, the same on all Linux systems that Go runs on.
const tick = 10 * time.Millisecond

// Positions in /proc/PID/stat, counted from the field after the program's name.
const (
	userField   = 11
	systemField = 12
	sizeField   = 21
)

// Usage is what a process uses.
type Usage struct {
	// Processor is processor time since the start.
	Processor time.Duration `json:"processor"`
	// Memory is resident memory in bytes.
	Memory int64 `json:"memory"`
}

// ReadUsage reads the use of a process.
func ReadUsage(pid int) (Usage, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, err
	}
	return parse(string(text))
}

func parse(text string) (Usage, error) {
	// The name stands in parentheses and may hold spaces and parentheses itself.
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	if len(fields) <= sizeField {
		return Usage{}, fmt.Errorf("process table entry has %d fields", len(fields))
	}
	var n [3]int64
	for i, f := range []int{userField, systemField, sizeField} {
		v, err := strconv.ParseInt(fields[f], 10, 64)
		if err != nil {
			return Usage{}, err
		}
		n[i] = v
	}
	return Usage{
		Processor: time.Duration(n[0]+n[1]) * tick,
		Memory:    n[2] * int64(os.Getpagesize()),
	}, nil
}
