package stub

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Guards against a list of instances other than the one from the file or the last
// PUT, and against a lag that returns the current list.
func TestInstances(t *testing.T) {
	f := filepath.Join(t.TempDir(), "instances.toml")
	if err := os.WriteFile(f, []byte("[[instances]]\ninstance-id = \"a\"\nrpc-address = \"127.0.0.1:1\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	p, _ := startPlatform(t, PlatformConfig{File: f})
	u := p.URL() + "/instances"
	want := `{"instances":[{"instance-id":"a","rpc-address":"127.0.0.1:1","http-address":"","region":"","failure-domain":"","state":"live"}]}`
	if s := strings.TrimSpace(get(t, u)); s != want {
		t.Errorf("list %s, want %s", s, want)
	}
	changeFaults(t, p.URL(), http.MethodPost, `{"lag-ms":300}`)
	r, _ := http.NewRequest(http.MethodPut, u, strings.NewReader(`{"instances":[{"instance-id":"b","state":"leaving"}]}`))
	a, err := client.Do(r)
	if err != nil || a.StatusCode != http.StatusOK {
		t.Fatal(a, err)
	}
	_ = a.Body.Close()
	if s := get(t, u); !strings.Contains(s, `"a"`) {
		t.Errorf("list %s, want the old one", s)
	}
	time.Sleep(400 * time.Millisecond)
	if s := get(t, u); !strings.Contains(s, `"b"`) || !strings.Contains(s, "leaving") {
		t.Errorf("list %s, want the new one", s)
	}
	changeFaults(t, p.URL(), http.MethodPost, `{"list-outage":true}`)
	if _, err := client.Get(u); err == nil {
		t.Error("the list was returned during its outage")
	}
}

// Guards against a rate limit that admits too many items, and against wrong counts:
// the burst of 100 items is admitted, the refill is negligible.
func TestStats(t *testing.T) {
	p, d := startPlatform(t, PlatformConfig{MaxWrites: 0.001})
	for range 60 {
		_ = d.Commit(t.Context(), newPuts(t, d, "a", "b"))
	}
	if s := p.Stats(); s.Reads != 120 || s.Writes != 100 || s.MaxReadsPerSecond+s.ReadsPerSecond > 240 {
		t.Errorf("%+v, want 120 reads and 100 writes", s)
	}
}
