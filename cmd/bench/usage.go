package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrock.example/dandelionrock/event"
)

// ticksPerSecond is the number of clock ticks per second in which /proc states CPU
// times. It is 100 on all architectures of Linux.
const ticksPerSecond = 100

// usage holds the resources that a process has used since its start.
type usage struct {
	cpu time.Duration
	// memory is the resident size in bytes.
	memory int64
	// read and written count the bytes of read and write calls, nearly all of which
	// are on sockets.
	read, written int64
}

// processID returns the id that the script has recorded for a process.
func processID(dir, name string) (int, error) {
	b, err := os.ReadFile(filepath.Join(dir, "pids", name))
	if err != nil {
		return 0, err
	}
	n, err := strconv.Atoi(strings.TrimSpace(string(b)))
	if err != nil || n <= 1 {
		return 0, errors.Newf("process id of %s is %q", name, b)
	}
	return n, nil
}

// readUsage reads the usage of a process from /proc.
func readUsage(pid int) (usage, error) {
	var u usage
	d := filepath.Join("/proc", strconv.Itoa(pid))
	b, err := os.ReadFile(filepath.Join(d, "stat"))
	if err != nil {
		return u, err
	}
	// The fields after the command, which is in parentheses and may contain spaces.
	f := strings.Fields(string(b[bytes.LastIndexByte(b, ')')+1:]))
	if len(f) < 22 {
		return u, errors.Newf("stat of process %d has %d fields", pid, len(f))
	}
	n := make([]int64, 3)
	for i, k := range []int{11, 12, 21} {
		if n[i], err = strconv.ParseInt(f[k], 10, 64); err != nil {
			return u, err
		}
	}
	u.cpu = time.Duration(n[0]+n[1]) * time.Second / ticksPerSecond
	u.memory = n[2] * int64(os.Getpagesize())
	if b, err = os.ReadFile(filepath.Join(d, "io")); err != nil {
		return u, err
	}
	for l := range strings.Lines(string(b)) {
		k, v, _ := strings.Cut(strings.TrimSpace(l), ": ")
		x, _ := strconv.ParseInt(v, 10, 64)
		switch k {
		case "rchar":
			u.read = x
		case "wchar":
			u.written = x
		}
	}
	return u, nil
}

// version returns the value of the field "version" of an event, or 0.
func version(e event.Event) uint64 {
	for _, f := range e.Fields {
		if f.Name() == "version" {
			n, _ := strconv.ParseUint(f.Value(), 10, 64)
			return n
		}
	}
	return 0
}
