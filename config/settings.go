package config

import (
	"regexp"
	"strings"
	"time"

	"dandelionrock.example/dandelionrock/schema"
)

// Settings holds the checked settings of one instance.
type Settings struct {
	// InstanceID is unique among all instances.
	InstanceID, Region, FailureDomain string
	// HTTPAddress serves callers, operators and health; RPCAddress serves other
	// instances. Both are an IP address and port.
	HTTPAddress, RPCAddress string
	// MetricsAddress serves the metrics, which contain the names of all
	// organisations. It is empty if metrics aren't served.
	MetricsAddress string
	Platform       Platform
	// HeartbeatInterval is at most half of SuspectAfter.
	HeartbeatInterval, SuspectAfter time.Duration
	Operators                       []*Operator
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// DrainTimeout bounds the wait for the requests in flight at shutdown.
	DrainTimeout time.Duration
	// CloseDelay is how long a leaving instance accepts new requests after it has
	// reported that it is not ready.
	CloseDelay time.Duration
	// Delays are one-way network delays that are simulated on connections to other
	// instances, for experiments only. The keys state the place of the other
	// instance as "region/failure-domain".
	Delays map[string]time.Duration
}

// Platform holds the addresses and time limits of the platform's services.
type Platform struct {
	// TableURL is the URL of the table service, which uses the DynamoDB protocol.
	TableURL, TableName string
	// InstancesURL returns the list of live and leaving instances.
	InstancesURL              string
	PollInterval, CallTimeout time.Duration
}

// Operator may submit the configuration of one organisation and authenticates with
// a credential.
type Operator struct {
	Organisation     string
	CredentialSHA256 [32]byte
}

// Defaults and ranges of the settings.
var (
	heartbeatIntervals = bounds[time.Duration]{100 * time.Millisecond, 10 * time.Millisecond, time.Minute}
	suspectTimes       = bounds[time.Duration]{400 * time.Millisecond, 20 * time.Millisecond, 10 * time.Minute}
	pollIntervals      = bounds[time.Duration]{time.Second, 10 * time.Millisecond, time.Minute}
	callTimeouts       = bounds[time.Duration]{time.Second, 10 * time.Millisecond, time.Minute}
	drainTimeouts      = bounds[time.Duration]{10 * time.Second, 0, time.Hour}
	closeDelays        = bounds[time.Duration]{2 * time.Second, 0, 5 * time.Minute}
	delays             = bounds[time.Duration]{0, 0, 10 * time.Second}
)

// tableName matches the names that the DynamoDB protocol permits.
var tableName = regexp.MustCompile(`^[A-Za-z0-9_.-]{3,255}$`)

// ParseSettings parses the settings of an instance. The file name is only used in
// faults. An error matches ErrInvalid and is an *Error that lists all faults.
func ParseSettings(file string, text []byte) (*Settings, error) {
	m := &schema.Settings{}
	c, ok := decode(file, text, m)
	if !ok {
		return nil, asError(c.faults)
	}
	s := c.settings(m)
	if err := asError(c.faults); err != nil {
		return nil, err
	}
	return s, nil
}

func (c *checker) settings(m *schema.Settings) *Settings {
	s := &Settings{
		InstanceID:    c.name("", "instance-id", m.GetInstanceId()),
		Region:        c.name("", "region", m.GetRegion()),
		FailureDomain: c.name("", "failure-domain", m.GetFailureDomain()),
		HTTPAddress:   c.address("", "http-address", m.GetHttpAddress()),
		RPCAddress:    c.address("", "rpc-address", m.GetRpcAddress()),
		DrainTimeout:  c.duration("", "drain-timeout", m.GetDrainTimeout(), drainTimeouts),
		CloseDelay:    c.duration("", "close-delay", m.GetCloseDelay(), closeDelays),
		Platform:      c.platform(m.GetPlatform()),
		Operators:     c.operators(m.GetOperators()),
		LogLevel:      "info",
		Delays:        c.delays(m.GetLab().GetDelays()),
	}
	if c.hasValue(path("").key("metrics-address")) {
		s.MetricsAddress = c.address("", "metrics-address", m.GetMetricsAddress())
	}
	if k := path("").key("rpc-address"); c.hasValue(k) && s.RPCAddress == s.HTTPAddress {
		c.fault(k, "rpc-address = %q is also the http-address", s.RPCAddress)
	}
	p := path("").key("peer")
	s.HeartbeatInterval = c.duration(p, "heartbeat-interval", m.GetPeer().GetHeartbeatInterval(), heartbeatIntervals)
	s.SuspectAfter = c.duration(p, "suspect-after", m.GetPeer().GetSuspectAfter(), suspectTimes)
	if s.SuspectAfter < 2*s.HeartbeatInterval {
		k := p.key("suspect-after")
		if !c.hasValue(k) {
			k = p.key("heartbeat-interval")
		}
		c.fault(k, "suspect-after = %s is less than twice the heartbeat-interval = %s",
			formatDuration(s.SuspectAfter), formatDuration(s.HeartbeatInterval))
	}
	if p := path("").key("log"); c.hasValue(p.key("level")) {
		s.LogLevel = m.GetLog().GetLevel()
		c.choice(p, "level", s.LogLevel, "debug", "info", "warn", "error")
	}
	return s
}

func (c *checker) platform(m *schema.PlatformSettings) Platform {
	p := path("").key("platform")
	if !c.require("", "platform") {
		return Platform{}
	}
	r := Platform{
		TableURL:     c.httpURL(p, "table-url", m.GetTableUrl()),
		TableName:    m.GetTableName(),
		InstancesURL: c.httpURL(p, "instances-url", m.GetInstancesUrl()),
		PollInterval: c.duration(p, "poll-interval", m.GetPollInterval(), pollIntervals),
		CallTimeout:  c.duration(p, "call-timeout", m.GetCallTimeout(), callTimeouts),
	}
	if c.require(p, "table-name") && !tableName.MatchString(r.TableName) {
		c.fault(p.key("table-name"), "table-name = %q: want 3 to 255 letters, digits, underscores, dots and hyphens", r.TableName)
	}
	return r
}

// operators checks the operators. Credentials must be unique, because an operator
// of one organisation must not act for another.
func (c *checker) operators(operators []*schema.OperatorSettings) []*Operator {
	seen := map[[32]byte]int{}
	p := path("").key("operators")
	var r []*Operator
	for i, m := range operators {
		q := p.index(i)
		if c.invalid[q] {
			continue
		}
		o := &Operator{
			Organisation:     c.name(q, "organisation", m.GetOrganisation()),
			CredentialSHA256: c.credential(q, m.GetCredentialSha256()),
		}
		unique(c, seen, o.CredentialSHA256, q.key("credential-sha256"),
			"credential of an operator of %q is a duplicate", o.Organisation)
		r = append(r, o)
	}
	return r
}

// delays checks the delays, whose keys are a region and a failure domain.
func (c *checker) delays(texts map[string]string) map[string]time.Duration {
	p := path("").key("lab").key("delays")
	r := make(map[string]time.Duration, len(texts))
	for k, v := range texts {
		a, b, ok := strings.Cut(k, "/")
		if !ok {
			c.fault(p.key(k), "delays: %q is not of the form region/failure-domain", k)
			continue
		}
		if c.kebab(p.key(k), "region", a) && c.kebab(p.key(k), "failure-domain", b) {
			r[k] = c.duration(p, k, v, delays)
		}
	}
	return r
}
