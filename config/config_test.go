package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// checkFaults parses each text in a directory, which must fail, and compares its
// faults with a golden file.
func checkFaults(t *testing.T, dir string, parse func(file string, text []byte) error) {
	files, err := filepath.Glob(filepath.Join("testdata", dir, "*.toml"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no texts in %s: %v", dir, err)
	}
	for _, f := range files {
		n := filepath.Base(f)
		t.Run(strings.TrimSuffix(n, ".toml"), func(t *testing.T) {
			b, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			err = parse(n, b)
			var e *Error
			if !errors.Is(err, ErrInvalid) || !errors.As(err, &e) || len(e.Faults) == 0 {
				t.Fatalf("got %v, want faults", err)
			}
			for _, f := range e.Faults {
				if f.File != n || f.Line < 1 || f.Cause == "" {
					t.Errorf("fault %+v lacks file, line or cause", f)
				}
			}
			g := goldie.New(t, goldie.WithFixtureDir(filepath.Join("testdata", dir)))
			g.Assert(t, strings.TrimSuffix(n, ".toml"), []byte(err.Error()+"\n"))
		})
	}
}

// Guards against invalid texts that are accepted, and against faults without a line
// or cause.
func TestParseRefuses(t *testing.T) {
	checkFaults(t, "organisation", func(f string, b []byte) error { _, err := Parse(f, b); return err })
}

// Guards against invalid settings that are accepted.
func TestParseSettingsRefuses(t *testing.T) {
	checkFaults(t, "settings", func(f string, b []byte) error { _, err := ParseSettings(f, b); return err })
}

// Guards against a text that is too large for a row of the table.
func TestParseRefusesLargeText(t *testing.T) {
	b := []byte(strings.Repeat("#", int(MaxText)) + "\n")
	if _, err := Parse("large.toml", b); !errors.Is(err, ErrInvalid) {
		t.Fatalf("got %v, want ErrInvalid", err)
	}
}

// Guards against examples that are invalid or differ from the documented workloads.
func TestSamples(t *testing.T) {
	for _, c := range []struct {
		name      string
		upstreams []int
	}{{"guild", []int{16, 12, 12}}, {"cooperative", []int{12, 12, 12}}} {
		o := sample(t, c.name)
		if o.Name != c.name || len(o.Accounts) != 3 || len(o.Services) != 3 || o.Service("orders").Idempotent {
			t.Errorf("sample %s differs from the workload", c.name)
		}
		for i, s := range o.Services {
			if len(s.Upstreams) != c.upstreams[i] {
				t.Errorf("%s/%s has %d upstreams, want %d", c.name, s.Name, len(s.Upstreams), c.upstreams[i])
			}
		}
	}
	b := read(t, "../examples/instance.toml")
	if _, err := ParseSettings("instance.toml", b); err != nil {
		t.Error(err)
	}
}

// Guards against defaults that differ from the documented ones, which the golden
// files hold.
func TestDefaults(t *testing.T) {
	b := []byte(`organisation = "guild"
services = [{ name = "quotes", upstreams = [
  { name = "quote-1", address = "[::ffff:127.0.0.1]:1", region = "hobart", failure-domain = "hobart-a", fencing = "none" },
] }]
[[client-accounts]]
name = "desk"
credential-sha256 = "` + strings.Repeat("ab", 32) + `"
services = ["quotes"]
`)
	o, err := Parse("defaults.toml", b)
	if err != nil {
		t.Fatal(err)
	}
	g := goldie.New(t)
	g.Assert(t, "defaults", o.Text())
	b = read(t, "testdata/settings.toml")
	s, err := ParseSettings("settings.toml", b)
	if err != nil {
		t.Fatal(err)
	}
	g.AssertJson(t, "settings", s)
}

// Guards against a change of the shard count, which would move most keys.
func TestCheckChange(t *testing.T) {
	o, n := sample(t, "guild"), sample(t, "guild")
	if err := CheckChange(o, n); err != nil {
		t.Fatalf("unchanged text: %v", err)
	}
	n.Services[1].ShardCount, n.Services[2].Name, n.Services[2].ShardCount = 64, "terms", 64
	err := CheckChange(o, n)
	if !errors.Is(err, ErrInvalid) || strings.Count(err.Error(), "\n") != 0 {
		t.Fatalf("got %v, want one fault", err)
	}
	goldie.New(t).Assert(t, "change", []byte(err.Error()+"\n"))
}

// Guards against a change of the format in which operators read differences.
func TestDiff(t *testing.T) {
	a := read(t, "testdata/settings.toml")
	b := []byte(strings.Replace(string(a), "hobart-a-1", "hobart-a-2", 1) + "[log]\nlevel = \"warn\"\n")
	if d := Diff(a, a); d != "" {
		t.Errorf("difference of equal texts: %q", d)
	}
	goldie.New(t).Assert(t, "diff", []byte(Diff(a, b)))
}

// read returns the contents of a file.
func read(t *testing.T, file string) []byte {
	t.Helper()
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// sample parses one of the examples.
func sample(t *testing.T, name string) *Organisation {
	t.Helper()
	o, err := Parse(name+".toml", read(t, "../examples/"+name+".toml"))
	if err != nil {
		t.Fatal(err)
	}
	return o
}
