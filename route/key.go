package route

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"dandelionrock.example/dandelionrock/schema"
	"dandelionrock.example/dandelionrock/table"
)

// ErrKey reports a table key of no known form.
var ErrKey = errors.New("table key has no known form")

// Kind is the kind of a row.
type Kind string

const (
	// KindConfig marks the configuration of an organisation.
	KindConfig Kind = "config"
	// KindHome marks the home of an upstream.
	KindHome Kind = "home"
	// KindBlock marks a block of shards.
	KindBlock Kind = "block"
)

// ParsedKey is a table key taken apart.
type ParsedKey struct {
	Kind         Kind
	Organisation string
	// Service is empty for KindConfig.
	Service string
	// Upstream is set for KindHome only.
	Upstream string
	// Block is set for KindBlock only.
	Block int
}

// ConfigKey returns the key of an organisation's configuration.
func ConfigKey(organisation string) table.Key {
	return ParsedKey{Kind: KindConfig, Organisation: organisation}.Key()
}

// HomeKey returns the key of the home of an upstream.
func HomeKey(organisation, service, upstream string) table.Key {
	return ParsedKey{Kind: KindHome, Organisation: organisation, Service: service, Upstream: upstream}.Key()
}

// BlockKey returns the key of block n of a service.
func BlockKey(organisation, service string, n int) table.Key {
	return ParsedKey{Kind: KindBlock, Organisation: organisation, Service: service, Block: n}.Key()
}

// Key returns the table key of n, or "" if its kind is not known.
func (n ParsedKey) Key() table.Key {
	s := string(n.Kind) + "/" + n.Organisation
	switch n.Kind {
	case KindConfig:
	case KindHome:
		s += "/" + n.Service + "/" + n.Upstream
	case KindBlock:
		s += "/" + n.Service + "/" + strconv.Itoa(n.Block)
	default:
		return ""
	}
	return table.Key(s)
}

// ParseKey takes a table key apart. It returns ErrKey.
func ParseKey(k table.Key) (ParsedKey, error) {
	p := strings.Split(string(k), "/")
	n := ParsedKey{Kind: Kind(p[0])}
	if len(p) > 1 {
		n.Organisation = p[1]
	}
	if len(p) > 2 {
		n.Service = p[2]
	}
	if len(p) > 3 {
		n.Upstream = p[3]
	}
	if n.Kind == KindBlock {
		// An error leaves 0, which doesn't give back the same key below
		// unless the key is that of block 0.
		n.Block, _ = strconv.Atoi(n.Upstream)
		n.Upstream = ""
	}
	if k == "" || n.Key() != k || n.Block < 0 || strings.Contains(string(k)+"/", "//") {
		return ParsedKey{}, errors.Wrapf(ErrKey, "key %q", string(k))
	}
	return n, nil
}

// Encode returns the schema form of a row.
func Encode(r table.Row) *schema.Row {
	m := &schema.Row{Key: string(r.Key), Version: uint64(r.Version), Value: r.Value}
	for _, t := range r.Txns {
		m.Transactions = append(m.Transactions, string(t))
	}
	return m
}

// Decode returns the row of a schema form. A nil message gives the empty row.
func Decode(m *schema.Row) table.Row {
	r := table.Row{Key: table.Key(m.GetKey()), Version: table.Version(m.GetVersion()), Value: m.GetValue()}
	for _, t := range m.GetTransactions() {
		r.Txns = append(r.Txns, table.TxnID(t))
	}
	return r
}
