// Package usage reads what processes use of the machine.
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

// KindRead says that the kernel's figures cannot be read.
const KindRead Kind = "cannot read process figures"

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// tick is the unit of processor time in /proc.
	tick = 10 * time.Millisecond
	// userField and systemField are the places of the processor times after
	// the command's closing bracket in /proc/PID/stat.
	userField, systemField = 11, 12
)

// Usage is what a process has used.
type Usage struct {
	// CPUTime is the processor time since its start.
	CPUTime time.Duration
	// ResidentBytes is its memory in bytes.
	ResidentBytes int64
}

// Of reads the usage of a process by its ID.
func Of(pid int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, &Error{Op: "read stat", Kind: KindRead, Err: err}
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= systemField {
		return Usage{}, &Error{Op: "parse stat", Kind: KindRead}
	}
	user, _ := strconv.ParseInt(fields[userField], 10, 64)
	system, _ := strconv.ParseInt(fields[systemField], 10, 64)
	resident, err := residentOf(pid)
	return Usage{CPUTime: time.Duration(user+system) * tick, ResidentBytes: resident}, err
}

func residentOf(pid int) (int64, error) {
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
