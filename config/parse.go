package config

import (
	"slices"
	"time"

	"dandelionrock.example/dandelionrock/schema"
)

// Defaults and ranges of the values of an organisation.
var (
	timeouts    = bounds[time.Duration]{2 * time.Second, time.Millisecond, 10 * time.Minute}
	maxTimeouts = bounds[time.Duration]{10 * time.Second, time.Millisecond, 10 * time.Minute}
	// Bodies and answers are buffered in memory, which is scarce on small instances.
	bodySizes = bounds[Bytes]{1 << 20, 1, 64 << 20}
	holdTimes = bounds[time.Duration]{15 * time.Minute, 200 * time.Millisecond, 24 * time.Hour}
	// Grants are renewed every 100 ms; below 200 ms, a single delayed renewal
	// lets a grant expire.
	grantTTLs       = bounds[time.Duration]{500 * time.Millisecond, 200 * time.Millisecond, time.Minute}
	evacuateTimes   = bounds[time.Duration]{0, 0, 24 * time.Hour}
	shardCounts     = bounds[uint32]{256, 1, 4096}
	rebalanceRatios = bounds[float64]{1.25, 0, 100}
	// By default an upstream executes one request at a time.
	slotCounts  = bounds[uint32]{1, 1, 1024}
	weights     = bounds[uint32]{1, 1, 1000}
	rates       = bounds[float64]{0, 0, 1e9}
	concurrency = bounds[uint32]{0, 0, 1e6}
)

// maxConnections bounds the connections to one upstream.
const maxConnections = 65535

// reservedNames are the first path segments that an instance serves itself, so that
// no organisation can have these names.
var reservedNames = []string{"operate", "metrics", "healthz", "readyz"}

// Parse parses the configuration text of an organisation. The file name is used
// in faults only. An error matches ErrInvalid and is an *Error that lists all
// faults of the text.
func Parse(file string, text []byte) (*Organisation, error) {
	m := &schema.Organisation{}
	c, ok := decode(file, text, m)
	if !ok {
		return nil, asError(c.faults)
	}
	o := c.organisation(m)
	if err := asError(c.faults); err != nil {
		return nil, err
	}
	return o, nil
}

func (c *checker) organisation(m *schema.Organisation) *Organisation {
	o := &Organisation{File: c.file, Name: c.name("", "organisation", m.GetOrganisation())}
	if k := path("").key("organisation"); slices.Contains(reservedNames, o.Name) {
		c.fault(k, "organisation = %q is reserved", o.Name)
	}
	addresses := map[string]int{}
	names := map[string]int{}
	p := path("").key("services")
	for i, s := range m.GetServices() {
		if q := p.index(i); !c.invalid[q] {
			unique(c, names, s.GetName(), q.key("name"), "service %q is a duplicate", s.GetName())
			o.Services = append(o.Services, c.service(q, s, addresses))
		}
	}
	if len(m.GetServices()) == 0 && !c.invalid[p] {
		c.missing("", "services are missing: want at least one [[services]]")
	}
	c.dependencies(m.GetServices())
	c.accounts(o, m.GetClientAccounts(), names)
	return o
}

func (c *checker) service(p path, m *schema.Service, addresses map[string]int) *Service {
	s := &Service{
		Line:           max(c.lines[p.key("shard-count")], c.lines[p]),
		Name:           c.name(p, "name", m.GetName()),
		DependsOn:      m.GetDependsOn(),
		Idempotent:     m.GetIdempotent(),
		ShardCount:     c.count(p, "shard-count", m.GetShardCount(), shardCounts),
		MaxBody:        c.size(p, "max-body", m.GetMaxBody(), bodySizes),
		MaxAnswer:      c.size(p, "max-answer", m.GetMaxAnswer(), bodySizes),
		HoldTime:       c.duration(p, "hold-time", m.GetHoldTime(), holdTimes),
		GrantTTL:       c.duration(p, "grant-ttl", m.GetGrantTtl(), grantTTLs),
		EvacuateAfter:  c.duration(p, "evacuate-after", m.GetEvacuateAfter(), evacuateTimes),
		RebalanceAbove: c.number(p, "rebalance-above", m.GetRebalanceAbove(), rebalanceRatios),
		MaxTimeout:     c.duration(p, "max-timeout", m.GetMaxTimeout(), maxTimeouts),
	}
	t := timeouts
	t.absent = min(t.absent, s.MaxTimeout)
	s.Timeout = c.duration(p, "timeout", m.GetTimeout(), t)
	c.consistency(p, s)
	names := map[string]int{}
	q := p.key("upstreams")
	for i, u := range m.GetUpstreams() {
		if r := q.index(i); !c.invalid[r] {
			unique(c, names, u.GetName(), r.key("name"), "upstream %q is a duplicate", u.GetName())
			s.Upstreams = append(s.Upstreams, c.upstream(r, u, addresses))
		}
	}
	if len(m.GetUpstreams()) == 0 && !c.invalid[q] {
		c.missing(p, "upstreams are missing: want at least one [[services.upstreams]]")
	}
	return s
}

// consistency checks related values of a service against each other.
func (c *checker) consistency(p path, s *Service) {
	if s.Timeout > s.MaxTimeout {
		c.fault(p.key("timeout"), "timeout = %s exceeds max-timeout = %s", formatDuration(s.Timeout), formatDuration(s.MaxTimeout))
	}
	if k := p.key("hold-time"); s.HoldTime < s.GrantTTL && c.hasValue(k) {
		c.fault(k, "hold-time = %s is shorter than grant-ttl = %s", formatDuration(s.HoldTime), formatDuration(s.GrantTTL))
	}
	if r := s.RebalanceAbove; r > 0 && r <= 1 {
		c.fault(p.key("rebalance-above"), "rebalance-above = %s is out of range, want 0 or more than 1", formatFloat(r))
	}
}

func (c *checker) upstream(p path, m *schema.Upstream, addresses map[string]int) *Upstream {
	u := &Upstream{
		Name:          c.name(p, "name", m.GetName()),
		Address:       c.address(p, "address", m.GetAddress()),
		Region:        c.name(p, "region", m.GetRegion()),
		FailureDomain: c.name(p, "failure-domain", m.GetFailureDomain()),
		Slots:         int(c.count(p, "slots", m.GetSlots(), slotCounts)),
		Fencing:       Fencing(m.GetFencing()),
	}
	// An upstream that is listed twice would have two homes.
	unique(c, addresses, u.Address, p.key("address"), "upstream address %s is a duplicate", u.Address)
	// One connection more than there are slots carries grants while all slots
	// execute requests.
	n := uint32(u.Slots) + 1
	u.Connections = int(c.count(p, "connections", m.GetConnections(), bounds[uint32]{n, n, maxConnections}))
	c.choice(p, "fencing", m.GetFencing(), string(FencingChecked), string(FencingNone))
	return u
}

func (c *checker) accounts(o *Organisation, accounts []*schema.ClientAccount, services map[string]int) {
	names, credentials := map[string]int{}, map[[32]byte]int{}
	p := path("").key("client-accounts")
	for i, m := range accounts {
		q := p.index(i)
		if c.invalid[q] {
			continue
		}
		a := &Account{
			Name:             c.name(q, "name", m.GetName()),
			CredentialSHA256: c.credential(q, m.GetCredentialSha256()),
			Services:         m.GetServices(),
			Weight:           int(c.count(q, "weight", m.GetWeight(), weights)),
			Rate:             c.number(q, "rate", m.GetRate(), rates),
			Concurrency:      int(c.count(q, "concurrency", m.GetConcurrency(), concurrency)),
		}
		unique(c, names, a.Name, q.key("name"), "client account %q is a duplicate", a.Name)
		unique(c, credentials, a.CredentialSHA256, q.key("credential-sha256"),
			"credential of client account %q is a duplicate", a.Name)
		if k := q.key("services"); c.require(q, "services") {
			if len(a.Services) == 0 {
				c.fault(k, "services is empty: client account %q may call nothing", a.Name)
			}
			c.references(k, "services", a.Services, services)
		}
		o.Accounts = append(o.Accounts, a)
	}
}
