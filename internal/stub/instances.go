package stub

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// InstanceState tells whether an instance runs or is about to stop.
type InstanceState string

const (
	// Live marks an instance that runs.
	Live InstanceState = "live"
	// Leaving marks an instance that is about to stop.
	Leaving InstanceState = "leaving"
)

// Instance is an entry of the platform's list of instances.
type Instance struct {
	ID            string        `json:"instance-id" toml:"instance-id"`
	RPCAddress    string        `json:"rpc-address" toml:"rpc-address"`
	HTTPAddress   string        `json:"http-address" toml:"http-address"`
	Region        string        `json:"region" toml:"region"`
	FailureDomain string        `json:"failure-domain" toml:"failure-domain"`
	State         InstanceState `json:"state" toml:"state"`
}

// instanceList is the list as a JSON or TOML document.
type instanceList struct {
	Instances []Instance `json:"instances" toml:"instances"`
}

// check sets empty states to Live and returns an error if an entry is invalid.
func (l *instanceList) check() error {
	m := map[string]bool{}
	for i := range l.Instances {
		x := &l.Instances[i]
		if x.State == "" {
			x.State = Live
		}
		if x.ID == "" || m[x.ID] || x.State != Live && x.State != Leaving {
			return errors.Newf("instance %q has no id, a repeated id or the unknown state %q", x.ID, x.State)
		}
		m[x.ID] = true
	}
	return nil
}

func decodeInstances(r io.Reader) ([]Instance, error) {
	var l instanceList
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(&l); err != nil {
		return nil, errors.Wrap(err, "list of instances")
	}
	return l.Instances, l.check()
}

// instanceHistory holds the current list of instances and earlier ones, which are
// returned while PlatformFaults.LagMs is set.
type instanceHistory struct {
	mu sync.Mutex
	// file is read again when its modification time has changed. It may be
	// empty.
	file     string
	modified time.Time
	// versions is in the order of time.
	versions []listVersion
}

// listVersion is the list of instances since a time.
type listVersion struct {
	since time.Time
	list  []Instance
}

// set replaces the current list.
func (s *instanceHistory) set(l []Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(l)
}

// maxVersions is the number of lists kept.
const maxVersions = 1000

// add appends a version and drops the oldest beyond maxVersions. The caller holds
// s.mu.
func (s *instanceHistory) add(l []Instance) {
	s.versions = append(s.versions, listVersion{time.Now(), l})
	s.versions = s.versions[max(0, len(s.versions)-maxVersions):]
}

// list returns the list as it was at the time lag ago, or the oldest version if that
// is more recent.
func (s *instanceHistory) list(lag time.Duration) (instanceList, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.reload(); err != nil {
		return instanceList{}, err
	}
	r := instanceList{[]Instance{}}
	t := time.Now().Add(-lag)
	for i, v := range s.versions {
		if i == 0 || !v.since.After(t) {
			r.Instances = v.list
		}
	}
	return r, nil
}

// reload reads the file if it has changed. The caller holds s.mu.
func (s *instanceHistory) reload() error {
	if s.file == "" {
		return nil
	}
	i, err := os.Stat(s.file)
	if err != nil {
		return errors.Wrap(err, "list of instances")
	}
	if i.ModTime().Equal(s.modified) {
		return nil
	}
	f, err := os.Open(s.file)
	if err != nil {
		return errors.Wrap(err, "list of instances")
	}
	defer f.Close()
	l, err := decodeFile(f)
	if err != nil {
		return errors.Wrap(err, s.file)
	}
	s.modified = i.ModTime()
	s.add(l)
	return nil
}

func decodeFile(f *os.File) ([]Instance, error) {
	if filepath.Ext(f.Name()) != ".toml" {
		return decodeInstances(f)
	}
	var l instanceList
	if err := toml.NewDecoder(f).DisallowUnknownFields().Decode(&l); err != nil {
		return nil, errors.Wrap(err, "list of instances")
	}
	return l.Instances, l.check()
}
