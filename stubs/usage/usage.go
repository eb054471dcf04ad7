// Package usage reads the CPU time and the memory of processes from /proc.
package usage

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// KindRead means that a file of a process in /proc cannot be read or parsed.
const KindRead Kind = "cannot read process statistics"

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// clockTick is the unit of CPU times in /proc: USER_HZ, which is 100 on Linux.
	clockTick = 10 * time.Millisecond
	// userTimeField and systemTimeField are the indexes of the CPU times among the fields
	// after the command name, which ends with a closing bracket, in /proc/PID/stat.
	userTimeField, systemTimeField = 11, 12
)

// Usage is the resource usage of a process.
type Usage struct {
	// CPUTime is the user and system time since the start of the process.
	CPUTime time.Duration
	// ResidentBytes is the resident memory.
	ResidentBytes int64
}

// Of returns the usage of the process with the given ID.
func Of(pid int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, &Error{Op: "read stat", Kind: KindRead, Err: err}
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= systemTimeField {
		return Usage{}, &Error{Op: "parse stat", Kind: KindRead}
	}
	user, _ := strconv.ParseInt(fields[userTimeField], 10, 64)
	system, _ := strconv.ParseInt(fields[systemTimeField], 10, 64)
	resident, err := residentBytes(pid)
	return Usage{CPUTime: time.Duration(user+system) * clockTick, ResidentBytes: resident}, err
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, &Error{Op: "read status", Kind: KindRead, Err: err}
	}
	for line := range strings.Lines(string(status)) {
		value, ok := strings.CutPrefix(line, "VmRSS:")
		if !ok {
			continue
		}
		kilobytes, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
		return kilobytes << 10, nil
	}
	return 0, &Error{Op: "parse status", Kind: KindRead}
}
