package subcmd

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"dandelionrock.example/dandelionrock/internal/gate/fleet"
	"github.com/cockroachdb/errors"
)

const fleetHelp = `Asks one instance of the gateway, at its metrics address, for what all instances run with: settings, configuration and state. Marks those that deviate from most others or did not answer. Also shows, for each service, the requests of clients since the instances started and those that wait now, and which targets get fewer requests than they have slots, and why. The exit code is 0 only if all agree.`

// errDeviating reports that instances don't all run with the same.
var errDeviating = errors.New("instances deviate")

// maxReport bounds a report in bytes.
const maxReport = 16 << 20

type fleetCommand struct {
	r        *run
	Instance string        `long:"instance" value-name:"URL" required:"yes" description:"Metrics address of an instance, such as http://10.0.0.1:9464"`
	JSON     bool          `long:"json" description:"Print the report as JSON"`
	Timeout  time.Duration `long:"timeout" value-name:"DURATION" default:"5s" description:"Limit of the call to the instance"`
}

// Execute implements flags.Commander.
func (f *fleetCommand) Execute([]string) error {
	r, err := f.report()
	if err != nil {
		return err
	}
	if f.JSON {
		e := json.NewEncoder(f.r.Out)
		e.SetIndent("", "  ")
		err = e.Encode(r)
	} else {
		err = r.WriteText(f.r.Out)
	}
	if err == nil && r.Deviating() > 0 {
		err = errors.Mark(errors.Newf("%d of %d instances deviate", r.Deviating(), len(r.Instances)), errDeviating)
	}
	return err
}

// report gets the report from the instance.
func (f *fleetCommand) report() (fleet.Report, error) {
	var r fleet.Report
	u, err := url.Parse(f.Instance)
	if err != nil || u.Host == "" {
		return r, errors.Mark(errors.Newf("instance %q is not a URL", f.Instance), errUsage)
	}
	q, err := http.NewRequestWithContext(f.r.context, http.MethodGet, u.JoinPath(fleet.Path).String(), nil)
	if err != nil {
		return r, err
	}
	h := &http.Client{Timeout: f.Timeout, Transport: &http.Transport{}}
	defer h.CloseIdleConnections()
	a, err := h.Do(q)
	if err != nil {
		return r, err
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return r, errors.Newf("instance answered with status %d", a.StatusCode)
	}
	return r, errors.Wrap(json.NewDecoder(io.LimitReader(a.Body, maxReport)).Decode(&r), "decode report")
}
