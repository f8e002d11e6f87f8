package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Ports on loopback. Instances and upstreams use these and the following ones.
// Deployments run one at a time and use the same ports.
const (
	loopback      = "127.0.0.1:"
	platformPort  = 25000
	instancePort  = 25010
	upstreamPort  = 25100
	controlPort   = 25400
	bareEntryPort = 25500
	bareHomePort  = 25501
)

// operatorCredential with the name of an organisation is the credential of its
// operators.
const operatorCredential = "bench-operator-"

// instance is one process of the router.
type instance struct {
	ID     string `json:"instance-id"`
	Region string `json:"region"`
	Domain string `json:"failure-domain"`
	HTTP   string `json:"http-address"`
	RPC    string `json:"rpc-address"`
}

// upstream is a server behind the router.
type upstream struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Domain  string `json:"failure-domain"`
	// Process is the name of the process that simulates it.
	Process string `json:"process"`
}

// service is a service of the organisation of a deployment.
type service struct {
	Name       string     `json:"name"`
	Idempotent bool       `json:"idempotent"`
	Shards     int        `json:"shards"`
	Slots      int        `json:"slots"`
	Hold       string     `json:"hold"`
	Evacuate   string     `json:"evacuate"`
	Upstreams  []upstream `json:"upstreams"`
	// Flags are passed to the stand-ins of the upstreams.
	Flags string `json:"flags"`
}

// layout describes a deployment. It is stored in Dir as layout.json.
type layout struct {
	Dir          string     `json:"dir"`
	Organisation string     `json:"organisation"`
	Instances    []instance `json:"instances"`
	Services     []service  `json:"services"`
	Accounts     []string   `json:"accounts"`
	// Shards is the number of shards of all services of all organisations.
	Shards int `json:"shards"`
	// Homes is the number of upstreams.
	Homes int `json:"homes"`
	// Texts holds the names of the configuration files by organisation.
	Texts map[string]string `json:"texts"`
	// PlatformDelay is the one-way latency to the store.
	PlatformDelay time.Duration `json:"platform-delay"`
	// near and far are the one-way latencies between failure domains of one
	// region and between regions.
	near, far time.Duration
	// processes are lines with the name and the command of each process.
	processes []string
}

// loopbackAddress returns the loopback address with a port.
func loopbackAddress(port int) string { return fmt.Sprintf("%s%d", loopback, port) }

// readLayout reads the layout of a deployment.
func readLayout(dir string) (*layout, error) {
	b, err := os.ReadFile(filepath.Join(dir, "layout.json"))
	if err != nil {
		return nil, err
	}
	l := &layout{}
	return l, json.Unmarshal(b, l)
}

func (l *layout) path(name string) string { return filepath.Join(l.Dir, name) }

// writeFile writes a file of the deployment.
func (l *layout) writeFile(name, text string) error {
	return os.WriteFile(l.path(name), []byte(text), 0o600)
}

// addProcess adds a process that the script starts.
func (l *layout) addProcess(name, command string) {
	l.processes = append(l.processes, name+" "+command)
}

// addInstance adds an instance in a failure domain.
func (l *layout) addInstance(region, domain string) {
	n := len(l.Instances)
	l.Instances = append(l.Instances, instance{
		ID: fmt.Sprintf("%s-%d", domain, n+1), Region: region, Domain: domain,
		HTTP: loopbackAddress(instancePort + 2*n), RPC: loopbackAddress(instancePort + 2*n + 1),
	})
}

// write writes all files, including the list of processes in the order in which
// they are started.
func (l *layout) write() error {
	if l.Texts == nil {
		l.Texts = map[string]string{l.Organisation: l.Organisation + ".toml"}
		if err := l.writeFile(l.Organisation+".toml", l.text()); err != nil {
			return err
		}
	}
	var x []map[string]string
	for _, i := range l.Instances {
		x = append(x, map[string]string{
			"instance-id": i.ID, "rpc-address": i.RPC, "http-address": i.HTTP, "region": i.Region, "failure-domain": i.Domain,
		})
		if err := l.writeFile(i.ID+".toml", l.settings(i)); err != nil {
			return err
		}
		l.addProcess(i.ID, "dandelionrock serve --settings "+l.path(i.ID+".toml"))
	}
	b, err := json.Marshal(map[string]any{"instances": x})
	if err != nil {
		return err
	}
	if err := l.writeFile("instances.json", string(b)); err != nil {
		return err
	}
	p := fmt.Sprintf("platform standin platform --address %s --instances %s --delay %s",
		loopbackAddress(platformPort), l.path("instances.json"), l.PlatformDelay)
	if b, err = json.Marshal(l); err != nil {
		return err
	}
	if err := l.writeFile("layout.json", string(b)); err != nil {
		return err
	}
	return l.writeFile("processes", strings.Join(append([]string{p}, l.processes...), "\n")+"\n")
}

// settings returns the text of the settings of an instance.
func (l *layout) settings(i instance) string {
	var b strings.Builder
	fmt.Fprintf(&b, "instance-id = %q\nregion = %q\nfailure-domain = %q\nhttp-address = %q\nrpc-address = %q\n",
		i.ID, i.Region, i.Domain, i.HTTP, i.RPC)
	fmt.Fprintf(&b, "[platform]\ntable-url = \"http://%s\"\ntable-name = \"dandelionrock\"\ninstances-url = \"http://%s/instances\"\n",
		loopbackAddress(platformPort), loopbackAddress(platformPort))
	for o := range l.Texts {
		fmt.Fprintf(&b, "[[operators]]\norganisation = %q\ncredential-sha256 = %q\n", o, digest(operatorCredential+o))
	}
	b.WriteString("[log]\nlevel = \"info\"\n[lab.delays]\n")
	seen := map[string]bool{}
	for _, o := range l.Instances {
		k, d := o.Region+"/"+o.Domain, l.near
		if o.Region != i.Region {
			d = l.far
		}
		if o.Domain == i.Domain || d == 0 || seen[k] {
			continue
		}
		seen[k] = true
		fmt.Fprintf(&b, "%q = %q\n", k, d)
	}
	return b.String()
}

// text returns the configuration text of the organisation.
func (l *layout) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "organisation = %q\n", l.Organisation)
	for _, s := range l.Services {
		fmt.Fprintf(&b, "[[services]]\nname = %q\nidempotent = %t\nshard-count = %d\nevacuate-after = %q\nhold-time = %q\nupstreams = [\n",
			s.Name, s.Idempotent, s.Shards, s.Evacuate, s.Hold)
		for _, u := range s.Upstreams {
			fmt.Fprintf(&b, "  { name = %q, address = %q, region = %q, failure-domain = %q, slots = %d, connections = %d, fencing = \"checked\" },\n",
				u.Name, u.Address, u.Region, u.Domain, s.Slots, max(130, 2*s.Slots))
		}
		b.WriteString("]\n")
	}
	for _, a := range l.Accounts {
		fmt.Fprintf(&b, "[[client-accounts]]\nname = %q\ncredential-sha256 = %q\nservices = [", a, digest(a+"-credential"))
		for i, s := range l.Services {
			if i > 0 {
				b.WriteString(", ")
			}
			fmt.Fprintf(&b, "%q", s.Name)
		}
		b.WriteString("]\n")
	}
	return b.String()
}

func digest(credential string) string {
	s := sha256.Sum256([]byte(credential))
	return hex.EncodeToString(s[:])
}
