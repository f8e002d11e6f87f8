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

// InstanceState says whether an instance is about to stop.
type InstanceState string

const (
	// Live marks an instance that runs.
	Live InstanceState = "live"
	// Leaving marks an instance that is about to stop.
	Leaving InstanceState = "leaving"
)

// Instance is an entry of the platform's list.
type Instance struct {
	ID            string        `json:"instance-id" toml:"instance-id"`
	RPCAddress    string        `json:"rpc-address" toml:"rpc-address"`
	HTTPAddress   string        `json:"http-address" toml:"http-address"`
	Region        string        `json:"region" toml:"region"`
	FailureDomain string        `json:"failure-domain" toml:"failure-domain"`
	State         InstanceState `json:"state" toml:"state"`
}

type instanceList struct {
	Instances []Instance `json:"instances" toml:"instances"`
}

// check returns an error for an unusable entry; an empty state means live.
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

// instances is the list with its history, for an answer that lags.
type instances struct {
	mu sync.Mutex
	// file is read again when it has changed.
	file     string
	modified time.Time
	// versions is ordered by time.
	versions []version
}

type version struct {
	at   time.Time
	list []Instance
}

func (s *instances) set(l []Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(l)
}

// maxVersions bounds the history.
const maxVersions = 1000

func (s *instances) add(l []Instance) {
	s.versions = append(s.versions, version{time.Now(), l})
	s.versions = s.versions[max(0, len(s.versions)-maxVersions):]
}

// list returns the list as it was before the lag. The first version is returned
// for a time before it.
func (s *instances) list(lag time.Duration) (instanceList, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.reload(); err != nil {
		return instanceList{}, err
	}
	r := instanceList{[]Instance{}}
	t := time.Now().Add(-lag)
	for i, v := range s.versions {
		if i == 0 || !v.at.After(t) {
			r.Instances = v.list
		}
	}
	return r, nil
}

// reload reads the file if it has changed; s.mu is held.
func (s *instances) reload() error {
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
