package stub

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

// PlatformConfig configures a Platform. The tags name the flags of cmd/standin.
type PlatformConfig struct {
	// Address is an IP address and port; port 0 chooses one.
	Address string `long:"address" required:"true" description:"IP address and port"`
	// Table is the name of the only table; "dandelionrock" if empty.
	Table string `long:"table" default:"dandelionrock" description:"name of the table"`
	// PageItems is the largest number of items in a page of a query; 100 if 0.
	PageItems int `long:"page-items" default:"100" description:"items in a page of a query"`
	// Delay is the latency in each direction.
	Delay Duration `long:"delay" description:"one-way latency"`
	// MaxReads is the number of read calls per second, and MaxWrites that of
	// written or checked items, beyond which calls are throttled; no limit if 0.
	MaxReads  float64 `long:"max-reads" description:"read calls per second; 0 for no limit"`
	MaxWrites float64 `long:"max-writes" description:"written items per second; 0 for no limit"`
	// File holds the list of instances in TOML or JSON; none if empty.
	File string         `long:"instances" description:"file with the list of instances"`
	Log  zerolog.Logger `no-flag:"true"`
}

// Platform is a stand-in for the table service and the list of instances. It keeps
// its data in memory.
type Platform struct {
	config    PlatformConfig
	items     items
	instances instanceHistory
	faults    faults[PlatformFaults]
	stats     stats
	// reads and writes limit the rates; nil for no limit.
	reads, writes *rate.Limiter
	server        *server
	delayed       delayedTasks
}

// NewPlatform starts a platform.
func NewPlatform(c PlatformConfig) (*Platform, error) {
	if c.Table == "" {
		c.Table = "dandelionrock"
	}
	if c.PageItems <= 0 {
		c.PageItems = 100
	}
	p := &Platform{config: c, reads: newLimiter(c.MaxReads), writes: newLimiter(c.MaxWrites)}
	p.instances.file = c.File
	p.faults.onChange = func(f *PlatformFaults) func() {
		c.Log.Info().Interface("faults", f).Msg("faults changed")
		return nil
	}
	if _, err := p.instances.list(0); err != nil {
		return nil, err
	}
	m := http.NewServeMux()
	m.Handle("POST /{$}", handler(p.serveTable).withLatency(time.Duration(c.Delay)))
	m.Handle("/instances", handler(p.serveInstances).withLatency(time.Duration(c.Delay)))
	m.Handle("/faults", handler(p.faults.serve))
	m.Handle("GET /stats", handler(func(*http.Request) *reply { return jsonReply(http.StatusOK, p.Stats()) }))
	var err error
	p.server, err = listen(c.Address, &listener{}, m)
	return p, err
}

// newLimiter returns a limiter with f events per second, or nil if f is not
// positive. The burst admits a transaction of any size.
func newLimiter(f float64) *rate.Limiter {
	if f <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(f), max(maxTransactionActions, int(f)))
}

// Address returns the IP address and port at which the platform listens.
func (p *Platform) Address() string { return p.server.address() }

// URL returns the URL of the table service.
func (p *Platform) URL() string { return "http://" + p.Address() }

// SetFaults replaces all faults.
func (p *Platform) SetFaults(f PlatformFaults) { p.faults.set(f) }

// Stats returns the load since the start.
func (p *Platform) Stats() Stats { return p.stats.report(time.Now()) }

// Close waits for calls in flight for a bounded time, and drops late writes that
// have not started.
func (p *Platform) Close() error {
	p.delayed.stop()
	err := p.server.close()
	p.delayed.wait()
	return err
}

// serveTable serves one call of the DynamoDB protocol.
func (p *Platform) serveTable(r *http.Request) *reply {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return noReply
	}
	f := p.faults.get()
	time.Sleep(milliseconds(f.SlowMs))
	switch {
	case f.Outage:
		return noReply
	case f.Throttle:
		return throttledReply()
	}
	switch operation(r) {
	case "TransactWriteItems":
		return p.write(b)
	case "TransactGetItems":
		return p.rateLimited(p.reads, b, p.read)
	case "Query":
		return p.rateLimited(p.reads, b, p.query)
	}
	return encode(nil, &serviceError{Type: "UnknownOperationException", Message: "the stand-in does not know the operation"})
}

func throttledReply() *reply {
	return encode(nil, &serviceError{Type: "ThrottlingException", Message: "rate of requests exceeded"})
}

// rateLimited returns the reply of f, or a throttling error if the call exceeds the
// rate of l.
func (p *Platform) rateLimited(l *rate.Limiter, b []byte, f func([]byte) (any, error)) *reply {
	if l != nil && !l.Allow() {
		return throttledReply()
	}
	return encode(f(b))
}

// write serves a TransactWriteItems call.
func (p *Platform) write(b []byte) *reply {
	var i writeInput
	if err := decode(b, &i); err != nil {
		return encode(nil, err)
	}
	l, err := i.writes(p.config.Table)
	if err != nil {
		return encode(nil, err)
	}
	if p.writes != nil && !p.writes.AllowN(time.Now(), len(l)) {
		return throttledReply()
	}
	p.stats.count(0, len(l))
	if p.faults.get().ForgetTokens {
		i.ClientRequestToken = ""
	}
	switch {
	case p.faults.consume(func(f *PlatformFaults) *int { return &f.LoseRequests }):
		return noReply
	case p.faults.consume(func(f *PlatformFaults) *int { return &f.LateWrites }):
		p.commitLater(i.ClientRequestToken, l)
		return noReply
	}
	err = p.items.commit(i.ClientRequestToken, l)
	if p.faults.consume(func(f *PlatformFaults) *int { return &f.LoseAnswers }) {
		return noReply
	}
	return encode(struct{}{}, err)
}

// commitLater commits the writes after PlatformFaults.LateMs, unless the platform
// is closed before. t is the ClientRequestToken.
func (p *Platform) commitLater(t string, l []write) {
	p.delayed.runAfter(milliseconds(p.faults.get().LateMs), func() {
		err := p.items.commit(t, l)
		p.config.Log.Info().Str("token", t).AnErr("refused", err).Msg("late write attempted")
	})
}

// serveInstances handles /instances: GET returns the list, PUT replaces it.
func (p *Platform) serveInstances(r *http.Request) *reply {
	f := p.faults.get()
	switch {
	case f.ListOutage:
		return noReply
	case r.Method == http.MethodGet:
		l, err := p.instances.list(milliseconds(f.LagMs))
		if err != nil {
			return errorReply(http.StatusInternalServerError, err)
		}
		return jsonReply(http.StatusOK, l)
	case r.Method == http.MethodPut:
		l, err := decodeInstances(r.Body)
		if err != nil {
			return errorReply(http.StatusBadRequest, err)
		}
		p.SetInstances(l...)
		return jsonReply(http.StatusOK, instanceList{l})
	}
	return errorReply(http.StatusMethodNotAllowed, errors.New("use GET or PUT"))
}

// SetInstances replaces the list of instances.
func (p *Platform) SetInstances(l ...Instance) { p.instances.set(l) }
