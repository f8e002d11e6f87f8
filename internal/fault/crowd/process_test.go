package crowd

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/platform/fake"
	"golang.org/x/sys/unix"
)

// process is a process of the program.
type process struct {
	ip, log string
	cmd     *exec.Cmd
	ended   chan struct{}
	// descriptors is the highest number of open ones, and kilobytes the highest resident
	// memory, that were seen.
	descriptors, kilobytes int
}

// build builds the program and returns its path.
func build(t *testing.T) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "dandelionrock")
	if out, err := exec.Command("go", "build", "-o", bin, "dandelionrock.example/dandelionrock/cmd/dandelionrock").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return bin
}

// start starts instance i. Its limits are memory in MB and, unless it is 0, the number of
// descriptors.
func start(t *testing.T, bin string, s *fake.Store, i, memory, descriptors int) *process {
	t.Helper()
	domain := []string{"a1", "a2", "b1"}[i%3]
	p := &process{ip: fmt.Sprintf("%s.1.%d", network, i+1), ended: make(chan struct{})}
	text := fake.Settings(fmt.Sprint("i", i), p.ip, domain, domain[:1], s.Address())
	text = strings.Replace(text, "limits.memory-mb=256", fmt.Sprint("limits.memory-mb=", memory), 1)
	if descriptors > 0 {
		text += fmt.Sprintf("limits.max-fds=%d\n", descriptors)
	}
	file := filepath.Join(t.TempDir(), "settings")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p.log = filepath.Join(t.TempDir(), "log")
	f, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	p.cmd = exec.Command(bin, "gateway")
	p.cmd.Env = append(os.Environ(), "DANDELIONROCK_NODE_FILE="+file)
	p.cmd.Stdout, p.cmd.Stderr = f, f
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { _ = p.cmd.Wait(); close(p.ended) }()
	if l := uint64(descriptors); l > 0 {
		if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: l, Max: l}, nil); err != nil {
			t.Fatal(err)
		}
	}
	return p
}

func (p *process) end() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

func (p *process) awaitReady(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if a, err := http.Get("http://" + p.ip + ":18002" + platform.ReadyPath); err == nil {
			_ = a.Body.Close()
			if a.StatusCode == http.StatusOK {
				return
			}
		}
	}
	t.Fatalf("%s is not ready: %s", p.ip, p.tail())
}

// sample takes the number of open descriptors and the resident memory.
func (p *process) sample() {
	fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	p.descriptors = max(p.descriptors, len(fds))
	p.kilobytes = max(p.kilobytes, p.status("VmHWM:"))
}

// resident returns the highest resident memory in kilobytes, or 0 if the process has
// ended.
func (p *process) resident() int {
	if p.status("VmRSS:") == 0 {
		return 0
	}
	p.sample()
	return p.kilobytes
}

// status returns a field of the status of the process, or 0 if the process has ended.
func (p *process) status(field string) int {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.Lines(string(b)) {
		if v, ok := strings.CutPrefix(line, field); ok {
			n := 0
			_, _ = fmt.Sscan(v, &n)
			return n
		}
	}
	return 0
}

// tail returns the end of the log.
func (p *process) tail() string {
	b, _ := os.ReadFile(p.log)
	lines := bytes.Split(b, []byte("\n"))
	return string(bytes.Join(lines[max(len(lines)-8, 0):], []byte("\n")))
}
