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

// pollInterval is the time between two requests for the status. It equals the
// default interval of heartbeats, which carry the versions.
const pollInterval = 100 * time.Millisecond

// wait returns once the version, or a newer one, is in force at all live
// instances that the called instance knows of. If the wait limit expires first,
// the error names the instances that haven't confirmed.
func (s *submit) wait(c *admin.Client, organisation string, version uint64) error {
	x, cancel := context.WithTimeout(s.r.context, s.WaitLimit)
	defer cancel()
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	var last *confirmations
	var statusErr error
	for {
		if v, err := c.Status(x); err == nil {
			if last = findConfirmations(v, organisation, version); len(last.pending) == 0 {
				fmt.Fprintf(s.r.Out, "version %d of %s is in force at %d instances%s\n", version, organisation, last.confirmed, last.ignoredNote())
				return nil
			}
			statusErr = nil
		} else if x.Err() == nil {
			statusErr = err
		}
		select {
		case <-t.C:
		case <-x.Done():
			return waitError(s.r.context, s.WaitLimit, last, statusErr, organisation, version)
		}
	}
}

// waitError returns the error of a wait that was cancelled or has expired. last
// holds the last known confirmations, statusErr is the error of the last status
// call; both may be nil.
func waitError(c context.Context, d time.Duration, last *confirmations, statusErr error, organisation string, version uint64) error {
	if err := c.Err(); err != nil {
		return errors.Wrap(err, "wait")
	}
	if statusErr == nil && last == nil {
		statusErr = context.DeadlineExceeded
	}
	if statusErr != nil {
		return errors.Wrapf(statusErr, "version %d of %s is accepted, but there is no status within %s", version, organisation, d)
	}
	return errors.Newf("version %d of %s is accepted, but not confirmed within %s: %d instances have confirmed, not %s%s",
		version, organisation, d, last.confirmed, strings.Join(last.pending, ", "), last.ignoredNote())
}

// confirmations tells which instances have a version in force.
type confirmations struct {
	// confirmed counts the live instances that have, pending lists those that
	// have not.
	confirmed int
	pending   []string
	// ignored lists the suspect and leaving instances that have not.
	ignored []string
}

// findConfirmations evaluates the status v of an instance, which includes the
// versions in force at its peers.
func findConfirmations(v admin.Status, organisation string, version uint64) *confirmations {
	r := &confirmations{}
	self := admin.Peer{InstanceID: v.InstanceID, State: admin.PeerLive, ConfigVersions: v.ConfigVersions}
	for _, p := range append([]admin.Peer{self}, v.Peers...) {
		switch {
		case p.ConfigVersions[organisation] >= version:
			if p.State == admin.PeerLive {
				r.confirmed++
			}
		case p.State == admin.PeerLive:
			r.pending = append(r.pending, p.InstanceID)
		default:
			r.ignored = append(r.ignored, p.InstanceID+" ("+string(p.State)+")")
		}
	}
	slices.Sort(r.pending)
	slices.Sort(r.ignored)
	return r
}

// ignoredNote returns the end of a message that lists the ignored instances, or
// "" if there are none.
func (c *confirmations) ignoredNote() string {
	if len(c.ignored) == 0 {
		return ""
	}
	return "; not waited for: " + strings.Join(c.ignored, ", ")
}
