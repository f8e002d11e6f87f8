// Package config reads the configuration text of an organisation and the
// settings of a process.
package config

import "time"

// Fencing tells whether an upstream checks the token of a request.
type Fencing string

const (
	// FencingChecked marks an upstream that refuses a stale token.
	FencingChecked Fencing = "checked"
	// FencingNone marks an upstream that executes whatever it receives.
	FencingNone Fencing = "none"
)

// Bytes is a size in bytes.
type Bytes int64

// Organisation is the checked configuration of one organisation.
type Organisation struct {
	// File is the name of the text, for faults that are found later.
	File     string
	Name     string
	Services []*Service
	Accounts []*Account
}

// Service is a keyed service of an organisation.
type Service struct {
	// Line is where the text states the shard count, or else the service.
	Line      int
	Name      string
	DependsOn []string
	// Idempotent permits a retry of every request; GET and HEAD may always be
	// retried.
	Idempotent bool
	// ShardCount is between 1 and 4096.
	ShardCount uint32
	// Timeout is the deadline of a request that states none; at most
	// MaxTimeout.
	Timeout, MaxTimeout time.Duration
	MaxBody, MaxAnswer  Bytes
	HoldTime            time.Duration
	GrantTTL            time.Duration
	EvacuateAfter       time.Duration
	// RebalanceAbove is the ratio of highest to mean load above which shards
	// move; 0 turns it off. 1.25 if absent.
	RebalanceAbove float64
	// Upstreams have distinct names. There is at least one. No other upstream
	// of the organisation has the same address.
	Upstreams []*Upstream
}

// Upstream is a server that owns keys exclusively.
type Upstream struct {
	Name          string
	Address       string
	Region        string
	FailureDomain string
	// Slots is the number of requests that the upstream executes at a time.
	Slots int
	// Connections is the number of connections that the upstream accepts.
	Connections int
	Fencing     Fencing
}

// Account is a client account.
type Account struct {
	Name             string
	CredentialSHA256 [32]byte
	// Services lists the services that the client account may call.
	Services []string
	// Weight is at least 1.
	Weight int
	// Rate is in requests per second at each instance; 0 means no limit.
	Rate float64
	// Concurrency bounds the requests in flight at each instance; 0 means no
	// limit.
	Concurrency int
}

// Service returns the service of the given name, or nil.
func (o *Organisation) Service(name string) *Service {
	for _, s := range o.Services {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// Upstream returns the upstream of the given name, or nil.
func (s *Service) Upstream(name string) *Upstream {
	for _, u := range s.Upstreams {
		if u.Name == name {
			return u
		}
	}
	return nil
}
