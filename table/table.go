// Package table reads and writes rows of a transactional table service.
//
// A [Store] provides the table; [Dynamo] is a client for the DynamoDB protocol and
// [Fake] a table in memory for tests. A write can take effect although its reply is
// lost. Store.Commit returns [ErrAmbiguous] for such a write, and [Settle]
// determines whether it took effect.
package table

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

var (
	// ErrConflict reports that a condition of a transaction does not hold. The
	// transaction has not taken effect and never will.
	ErrConflict = errors.New("table row was changed by another writer")
	// ErrAmbiguous reports that a transaction may have taken effect, or may yet
	// take effect.
	ErrAmbiguous = errors.New("outcome of the table transaction is not known")
	// ErrUnavailable reports that the service did not execute the call. A
	// transaction has not taken effect and never will.
	ErrUnavailable = errors.New("table service is not available")
	// ErrInvalid reports a malformed transaction or read. A transaction has not
	// taken effect and never will.
	ErrInvalid = errors.New("table call is malformed")
)

// MaxItems is the largest number of keys in one read, and of puts and checks
// together in one transaction. It is the limit of DynamoDB.
const MaxItems = 100

// maxTxnID is the longest ClientRequestToken that DynamoDB accepts, in bytes.
const maxTxnID = 36

// Key identifies a row, such as "home/guild/quotes/quotes-1".
type Key string

// TxnID identifies a transaction. It is unique and has 1 to 36 bytes.
type TxnID string

// NewTxnID returns a random ID.
func NewTxnID() TxnID { return TxnID(uuid.NewString()) }

// Version counts the writes of a row. 0 stands for a row that does not exist.
// Rows are never deleted, so a version never decreases.
type Version uint64

// RecentTxns is the number of transaction IDs that are stored with a row.
const RecentTxns = 8

// Row is a row of the table.
type Row struct {
	Key     Key
	Version Version
	Value   []byte
	// Txns holds the IDs of the last RecentTxns transactions that wrote the
	// row, newest last.
	Txns []TxnID
}

// Put returns a Put that writes a new value on condition that the row has not
// changed since it was read.
func (r Row) Put(value []byte) Put {
	return Put{Key: r.Key, Version: r.Version, Value: value, Txns: r.Txns}
}

// Check returns the condition that the row has not changed since it was read.
func (r Row) Check() Check { return Check{Key: r.Key, Version: r.Version} }

// Put is a conditional write. It sets the value of a row to Value and its version
// to Version + 1, on condition that the row still has the version Version.
type Put struct {
	Key     Key
	Version Version
	Value   []byte
	// Txns is the row's list of transaction IDs as it was read. Txn.Rows appends
	// the ID of the transaction.
	Txns []TxnID
}

// Check is the condition that a row still has the given version.
type Check struct {
	Key     Key
	Version Version
}

// Txn is a transaction. It takes effect as a whole or not at all.
type Txn struct {
	ID TxnID
	// Puts has at least one element. No key occurs twice in Puts and Checks
	// together.
	Puts   []Put
	Checks []Check
	// Repeat reports whether the transaction may have been sent before, for
	// example by a call of Settle that returned ErrAmbiguous.
	Repeat bool
}

// Rows returns the rows that the transaction writes, as they are after its commit.
func (t Txn) Rows() []Row {
	l := make([]Row, 0, len(t.Puts))
	for _, p := range t.Puts {
		r := Row{Key: p.Key, Version: p.Version + 1, Value: p.Value, Txns: recent(p.Txns, t.ID)}
		l = append(l, r.clone())
	}
	return l
}

// clone returns a copy that shares no memory with r.
func (r Row) clone() Row {
	r.Value, r.Txns = slices.Clone(r.Value), slices.Clone(r.Txns)
	return r
}

// Validate returns nil if the transaction is well-formed, and otherwise an error
// that wraps ErrInvalid.
func (t Txn) Validate() error {
	if len(t.ID) == 0 || len(t.ID) > maxTxnID {
		return errors.Wrapf(ErrInvalid, "transaction ID %q does not have 1 to %d bytes", t.ID, maxTxnID)
	}
	if len(t.Puts) == 0 {
		return errors.Wrapf(ErrInvalid, "transaction %s has no puts", t.ID)
	}
	k := t.keys()
	if len(k) > MaxItems {
		return errors.Wrapf(ErrInvalid, "transaction %s has %d items, more than %d", t.ID, len(k), MaxItems)
	}
	m := make(map[Key]bool, len(k))
	for _, x := range k {
		if m[x] || x == "" {
			return errors.Wrapf(ErrInvalid, "transaction %s: key %q is empty or occurs twice", t.ID, x)
		}
		m[x] = true
	}
	return nil
}

// keys returns the keys of the puts, then those of the checks.
func (t Txn) keys() []Key {
	k := make([]Key, 0, len(t.Puts)+len(t.Checks))
	for _, p := range t.Puts {
		k = append(k, p.Key)
	}
	for _, x := range t.Checks {
		k = append(k, x.Key)
	}
	return k
}

// recent returns the transaction IDs of a row with the IDs l after a write by the
// transaction i.
func recent(l []TxnID, i TxnID) []TxnID {
	l = l[max(0, len(l)-RecentTxns+1):]
	return append(append(make([]TxnID, 0, len(l)+1), l...), i)
}

// Store reads and writes the table. Implementations are safe for concurrent
// use.
type Store interface {
	// Read returns the rows of the keys, in the order of the keys, as of one
	// point in time. A row that does not exist has version 0. The error wraps
	// ErrUnavailable or ErrInvalid.
	Read(c context.Context, keys ...Key) ([]Row, error)
	// Scan returns all rows whose key begins with the prefix, sorted by key. The
	// rows may be as of different points in time. The error wraps
	// ErrUnavailable.
	Scan(c context.Context, prefix Key) ([]Row, error)
	// Versions returns the versions of all rows whose key begins with the prefix.
	// It costs the service as much as Scan, but transfers less data. The versions
	// may be as of different points in time. The error wraps ErrUnavailable.
	Versions(c context.Context, prefix Key) (map[Key]Version, error)
	// Commit applies the transaction. The error wraps ErrConflict, ErrAmbiguous,
	// ErrUnavailable or ErrInvalid. Errors other than ErrAmbiguous hold for this
	// call only: an earlier call with the same transaction may have taken
	// effect.
	Commit(c context.Context, t Txn) error
}
