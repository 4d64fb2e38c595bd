// Package proc reads the resource use of a process from the /proc file system of Linux.
package proc

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor times in /proc/PID/stat. It is the same on all Linux systems that
// Go supports.
const clockTick = 10 * time.Millisecond

// Indexes of fields in /proc/PID/stat, where 0 is the field after the program's name: user time and
// system time in clock ticks, and resident memory in pages.
const (
	userField   = 11
	systemField = 12
	sizeField   = 21
)

// Usage is the resource use of a process.
type Usage struct {
	// Processor is the user and system time since the start of the process.
	Processor time.Duration `json:"processor"`
	// Memory is the resident memory in bytes.
	Memory int64 `json:"memory"`
}

// ReadUsage returns the resource use of the process with an ID.
func ReadUsage(pid int) (Usage, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, err
	}
	return parse(string(text))
}

func parse(text string) (Usage, error) {
	// The program's name is in parentheses and can itself contain spaces and parentheses.
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	if len(fields) <= sizeField {
		return Usage{}, fmt.Errorf("/proc/PID/stat has only %d fields after the program name", len(fields))
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
		Processor: time.Duration(n[0]+n[1]) * clockTick,
		Memory:    n[2] * int64(os.Getpagesize()),
	}, nil
}
