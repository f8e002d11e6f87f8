// Package script tests the shell scripts.
package script

import (
	"context"
	"errors"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against scripts that bash can't parse.
func TestSyntax(t *testing.T) {
	l, err := filepath.Glob("*.sh")
	if err != nil || len(l) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, f := range l {
		if out, err := exec.Command("bash", "-n", f).CombinedOutput(); err != nil {
			t.Errorf("%s: %v\n%s", f, err, out)
		}
	}
}

// stubProgram writes its process id and then runs until it is ended.
const stubProgram = "#!/bin/sh\necho $$ >>\"$STUB_PIDS\"\nexec sleep 60\n"

// result is the outcome of one run of demo.sh.
type result struct {
	code   int
	output string
	// pids are the process ids of the programs that the script started.
	pids []int
}

// runDemo runs demo.sh with programs that never become ready, on ports that begin
// with the given digits. Unless s is 0, it sends s to the script as soon as that
// has started a program.
func runDemo(t *testing.T, ports, limit string, s syscall.Signal) result {
	t.Helper()
	d := t.TempDir()
	for _, n := range []string{"standin", "dandelionrock"} {
		if err := os.WriteFile(filepath.Join(d, n), []byte(stubProgram), 0o700); err != nil {
			t.Fatal(err)
		}
	}
	f := filepath.Join(d, "pids")
	x, stop := context.WithTimeout(context.Background(), 30*time.Second)
	defer stop()
	c := exec.CommandContext(x, "bash", "demo.sh")
	c.Env = append(os.Environ(), "DEMO_BIN="+d, "DEMO_PORTS="+ports, "DEMO_LIMIT="+limit, "STUB_PIDS="+f, "TMPDIR="+d)
	// On a timeout, the script is killed together with the processes it started.
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	c.Cancel = func() error { return syscall.Kill(-c.Process.Pid, syscall.SIGKILL) }
	var b strings.Builder
	c.Stdout, c.Stderr = &b, &b
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	if s != 0 {
		interrupt(x, c.Process, s, f)
	}
	var e *exec.ExitError
	if err := c.Wait(); err != nil && !errors.As(err, &e) {
		t.Fatal(err)
	}
	if l, _ := filepath.Glob(filepath.Join(d, "tmp.*")); len(l) > 0 {
		t.Errorf("directory %v is left", l)
	}
	return result{c.ProcessState.ExitCode(), b.String(), readPIDs(t, f)}
}

// interrupt sends a signal to a process once the file of process ids exists.
func interrupt(x context.Context, p *os.Process, s syscall.Signal, file string) {
	for x.Err() == nil {
		if _, err := os.Stat(file); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	_ = p.Signal(s) // fails only if the script has ended, which its exit code shows
}

func readPIDs(t *testing.T, file string) []int {
	t.Helper()
	b, err := os.ReadFile(file)
	if err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	var r []int
	for _, s := range strings.Fields(string(b)) {
		n, err := strconv.Atoi(s)
		if err != nil {
			t.Fatal(err)
		}
		r = append(r, n)
	}
	return r
}

// runOnFreePorts runs the demo on ports that no other program uses.
func runOnFreePorts(t *testing.T, limit string, s syscall.Signal) result {
	t.Helper()
	for _, p := range []string{"29", "28", "27", "26"} {
		if r := runDemo(t, p, limit, s); !strings.Contains(r.output, "is in use") {
			return r
		}
	}
	t.Fatal("all ports of the test are in use")
	return result{}
}

// Guards against processes that keep running after the demo has failed or was
// interrupted, and against an exit code that hides the failure.
func TestNothingLeft(t *testing.T) {
	for _, c := range []struct {
		name, limit string
		signal      syscall.Signal
		code        int
		text        string
	}{
		{"not ready", "1", 0, 1, "failed: the platform lists the instances: not within 1 s"},
		{"terminated", "60", syscall.SIGTERM, 143, ""},
		{"interrupted", "60", syscall.SIGINT, 130, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := runOnFreePorts(t, c.limit, c.signal)
			if r.code != c.code || !strings.Contains(r.output, c.text) || len(r.pids) == 0 {
				t.Errorf("exit code %d, want %d; %d processes; output:\n%s", r.code, c.code, len(r.pids), r.output)
			}
			for _, p := range r.pids {
				if err := syscall.Kill(p, 0); !errors.Is(err, syscall.ESRCH) {
					t.Errorf("process %d is left: %v", p, err)
				}
			}
		})
	}
}

// Guards against a demo that starts although another program uses one of its
// ports, and fails later without naming the cause.
func TestPortInUse(t *testing.T) {
	// If another program uses the port already, the script must fail as well.
	if l, err := net.Listen("tcp", "127.0.0.1:31901"); err == nil {
		defer l.Close()
	}
	r := runDemo(t, "31", "1", 0)
	if r.code != 1 || len(r.pids) != 0 || !strings.Contains(r.output, "failed: port 31901 is in use") {
		t.Errorf("exit code %d, %d processes, output:\n%s", r.code, len(r.pids), r.output)
	}
}
