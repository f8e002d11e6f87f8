// Package config parses and checks the configuration text of an organisation and
// the settings of an instance.
package config

import "time"

// Fencing states whether an upstream checks the token of a request.
type Fencing string

const (
	// FencingChecked marks an upstream that refuses a stale token.
	FencingChecked Fencing = "checked"
	// FencingNone marks an upstream that executes requests without checking the
	// token.
	FencingNone Fencing = "none"
)

// Bytes is a size in bytes.
type Bytes int64

// Organisation is the checked configuration of one organisation.
type Organisation struct {
	// File is the file name for faults that are found after Parse.
	File     string
	Name     string
	Services []*Service
	Accounts []*Account
}

// Service is a keyed service of an organisation.
type Service struct {
	// Line is the line of the shard count in the text, or that of the service if
	// the text states none. CheckChange states it in faults.
	Line      int
	Name      string
	DependsOn []string
	// Idempotent permits retries of all requests. GET and HEAD requests are
	// retried in any case.
	Idempotent bool
	// ShardCount is between 1 and 4096.
	ShardCount uint32
	// Timeout applies to requests that state none. It is at most MaxTimeout.
	Timeout, MaxTimeout time.Duration
	MaxBody, MaxAnswer  Bytes
	HoldTime            time.Duration
	GrantTTL            time.Duration
	EvacuateAfter       time.Duration
	// RebalanceAbove is the ratio of the highest to the mean load of the upstreams
	// above which shards are moved; 0 disables rebalancing. The default is 1.25.
	RebalanceAbove float64
	// Upstreams has at least one element. The names are unique within the service,
	// the addresses within the organisation.
	Upstreams []*Upstream
}

// Upstream is a server that owns keys exclusively.
type Upstream struct {
	Name          string
	Address       string
	Region        string
	FailureDomain string
	// Slots is the number of requests that the upstream executes concurrently.
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
