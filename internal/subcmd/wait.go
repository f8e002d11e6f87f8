package subcmd

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"dandelionrock.example/dandelionrock/internal/admin"
	"github.com/cockroachdb/errors"
)

// waitInterval is the time between two readings of the status. Heartbeats,
// which carry the versions, have the same interval by default.
const waitInterval = 100 * time.Millisecond

// wait returns once the version, or a newer one, is in force at all live
// instances that the asked one knows of. At the limit it names the others.
func (s *submit) wait(c *admin.Client, organisation string, version uint64) error {
	x, cancel := context.WithTimeout(s.r.context, s.WaitLimit)
	defer cancel()
	t := time.NewTicker(waitInterval)
	defer t.Stop()
	var last *confirmations
	var failed error
	for {
		if v, err := c.Status(x); err == nil {
			if last = confirm(v, organisation, version); len(last.open) == 0 {
				fmt.Fprintf(s.r.Out, "version %d of %s is in force at %d instances%s\n", version, organisation, last.done, last.others())
				return nil
			}
			failed = nil
		} else if x.Err() == nil {
			failed = err
		}
		select {
		case <-t.C:
		case <-x.Done():
			return waitError(s.r.context, s.WaitLimit, last, failed, organisation, version)
		}
	}
}

func waitError(c context.Context, d time.Duration, last *confirmations, failed error, organisation string, version uint64) error {
	if err := c.Err(); err != nil {
		return errors.Wrap(err, "wait")
	}
	if failed == nil && last == nil {
		failed = context.DeadlineExceeded
	}
	if failed != nil {
		return errors.Wrapf(failed, "version %d of %s is accepted, but there is no status within %s", version, organisation, d)
	}
	return errors.Newf("version %d of %s is accepted, but not confirmed within %s: %d instances have confirmed, not %s%s",
		version, organisation, d, last.done, strings.Join(last.open, ", "), last.others())
}

// confirmations tells which instances have a version in force.
type confirmations struct {
	// done counts live instances that have, open lists those that have not.
	done int
	open []string
	// ignored lists suspect and leaving instances that have not.
	ignored []string
}

func confirm(v admin.Status, organisation string, version uint64) *confirmations {
	r := &confirmations{}
	self := admin.Peer{InstanceID: v.InstanceID, State: admin.PeerLive, ConfigVersions: v.ConfigVersions}
	for _, p := range append([]admin.Peer{self}, v.Peers...) {
		switch {
		case p.ConfigVersions[organisation] >= version:
			if p.State == admin.PeerLive {
				r.done++
			}
		case p.State == admin.PeerLive:
			r.open = append(r.open, p.InstanceID)
		default:
			r.ignored = append(r.ignored, p.InstanceID+" ("+string(p.State)+")")
		}
	}
	slices.Sort(r.open)
	slices.Sort(r.ignored)
	return r
}

func (c *confirmations) others() string {
	if len(c.ignored) == 0 {
		return ""
	}
	return "; not waited for: " + strings.Join(c.ignored, ", ")
}
