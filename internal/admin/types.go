// Package admin implements the operator interface of an instance over HTTP: its
// messages, its server side and its client.
package admin

import (
	"fmt"

	"dandelionrock.example/dandelionrock/config"
	"github.com/cockroachdb/errors"
)

// Headers of the operator interface.
const (
	// BasedOnHeader holds the version that a submitted text was derived from.
	BasedOnHeader = "dandelionrock-based-on"
	// OverwrittenHeader holds the number of events that a timeline has overwritten.
	OverwrittenHeader = "dandelionrock-overwritten"
)

// ErrNotRun marks an error after which the change was certainly not made.
var ErrNotRun = errors.New("change was not made")

// ErrUnknown marks an error after which the change may have been made or may
// still be made.
var ErrUnknown = errors.New("change may have been made")

// ConflictError reports that the version in force is not the one that a submitted
// text was derived from.
type ConflictError struct {
	InForce Config
}

// Error names the version in force.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d is in force", e.InForce.Version)
}

// Outcome tells whether a failed submit took effect.
type Outcome string

const (
	// OutcomeNotRun states that the change was not made.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown states that the change may have been made.
	OutcomeUnknown Outcome = "unknown"
)

// Config is a version of an organisation's configuration. Version 0 means that
// there is none.
type Config struct {
	Version uint64 `json:"version"`
	Text    string `json:"text,omitempty"`
}

// Faults lists why a text was refused.
type Faults struct {
	Faults []config.Fault `json:"faults"`
}

// Failure describes why a request failed.
type Failure struct {
	Error   string  `json:"error"`
	Outcome Outcome `json:"outcome,omitempty"`
}

// Status describes an instance and what it knows about the others.
type Status struct {
	InstanceID    string `json:"instance-id"`
	Incarnation   string `json:"incarnation"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure-domain"`
	Ready         bool   `json:"ready"`
	Leaving       bool   `json:"leaving"`
	// ConfigVersions is keyed by organisation.
	ConfigVersions map[string]uint64 `json:"config-versions"`
	Peers          []Peer            `json:"peers"`
	Homes          []Home            `json:"homes"`
}

// PeerState is the state of an instance as seen by another one.
type PeerState string

const (
	// PeerLive marks an instance whose heartbeats arrive.
	PeerLive PeerState = "live"
	// PeerSuspect marks an instance whose heartbeats are overdue.
	PeerSuspect PeerState = "suspect"
	// PeerLeaving marks an instance that has announced its shutdown.
	PeerLeaving PeerState = "leaving"
)

// Peer describes another instance.
type Peer struct {
	InstanceID string    `json:"instance-id"`
	State      PeerState `json:"state"`
	// ConfigVersions are those of its last heartbeat, keyed by organisation.
	ConfigVersions map[string]uint64 `json:"config-versions"`
}

// Home describes an upstream whose home is the instance.
type Home struct {
	Organisation string `json:"organisation"`
	Service      string `json:"service"`
	Upstream     string `json:"upstream"`
	Term         uint64 `json:"term"`
	State        string `json:"state"`
	// Shards counts the shards that the upstream owns.
	Shards int `json:"shards"`
	// InFlight counts the requests at the upstream, Queued those that wait.
	InFlight int `json:"in-flight"`
	Queued   int `json:"queued"`
}
