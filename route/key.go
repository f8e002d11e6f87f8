package route

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"dandelionrock.example/dandelionrock/schema"
	"dandelionrock.example/dandelionrock/table"
)

// ErrKey reports a table key that has none of the known forms.
var ErrKey = errors.New("table key has no known form")

// Kind is the kind of a row, the first part of its table key.
type Kind string

const (
	// KindConfig is a row with the configuration of an organisation; its key is
	// "config/ORGANISATION".
	KindConfig Kind = "config"
	// KindHome is a row with the home of an upstream; its key is
	// "home/ORGANISATION/SERVICE/UPSTREAM".
	KindHome Kind = "home"
	// KindBlock is a row with a block of shards; its key is
	// "block/ORGANISATION/SERVICE/NUMBER".
	KindBlock Kind = "block"
)

// ParsedKey holds the parts of a table key.
type ParsedKey struct {
	Kind         Kind
	Organisation string
	// Service is empty for KindConfig.
	Service string
	// Upstream is set for KindHome only.
	Upstream string
	// Block is the number of the block, set for KindBlock only.
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

// Key returns the table key with the parts of n, or "" if its kind is unknown.
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

// ParseKey splits a table key into its parts. It returns an error that wraps
// ErrKey if the key has none of the known forms.
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
		// On an error Atoi returns 0 or the nearest int, which gives a key
		// other than k in the comparison below.
		n.Block, _ = strconv.Atoi(n.Upstream)
		n.Upstream = ""
	}
	if k == "" || n.Key() != k || n.Block < 0 || strings.Contains(string(k)+"/", "//") {
		return ParsedKey{}, errors.Wrapf(ErrKey, "key %q", string(k))
	}
	return n, nil
}

// Encode converts a row to its schema message.
func Encode(r table.Row) *schema.Row {
	m := &schema.Row{Key: string(r.Key), Version: uint64(r.Version), Value: r.Value}
	for _, t := range r.Txns {
		m.Transactions = append(m.Transactions, string(t))
	}
	return m
}

// Decode converts a schema message to a row. A nil message gives the zero row.
func Decode(m *schema.Row) table.Row {
	r := table.Row{Key: table.Key(m.GetKey()), Version: table.Version(m.GetVersion()), Value: m.GetValue()}
	for _, t := range m.GetTransactions() {
		r.Txns = append(r.Txns, table.TxnID(t))
	}
	return r
}
