// Package table is the client of the platform's transactional table service.
//
// A write can take effect although its answer is lost. Commit reports such a
// write as ErrAmbiguous, and Settle finds out what became of it.
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
	// ErrAmbiguous reports that a transaction may or may not take effect.
	ErrAmbiguous = errors.New("outcome of the table transaction is not known")
	// ErrUnavailable reports that the service did not take the call; a
	// transaction has not taken effect and never will.
	ErrUnavailable = errors.New("table service is not available")
	// ErrInvalid reports a transaction or a read that no service takes. It has
	// not taken effect and never will.
	ErrInvalid = errors.New("table call is malformed")
)

// MaxItems is the largest number of keys in one read, and of puts and checks
// together in one transaction. It is the limit of DynamoDB.
const MaxItems = 100

// maxTxnID is the longest ClientRequestToken that DynamoDB takes, in bytes.
const maxTxnID = 36

// Key names a row, such as "home/guild/quotes/quotes-1".
type Key string

// TxnID is unique for each transaction, and has 1 to 36 bytes.
type TxnID string

// NewTxnID returns a random id.
func NewTxnID() TxnID { return TxnID(uuid.NewString()) }

// Version counts the writes of a row. 0 stands for a row that does not exist.
// Rows are never deleted, so a version never decreases.
type Version uint64

// RecentTxns is the number of transaction ids that a row keeps.
const RecentTxns = 8

// Row is a row of the table.
type Row struct {
	Key     Key
	Version Version
	Value   []byte
	// Txns holds the ids of the last RecentTxns transactions that wrote the
	// row, newest last.
	Txns []TxnID
}

// Put returns the write of a new value over the row as it was read.
func (r Row) Put(value []byte) Put {
	return Put{Key: r.Key, Version: r.Version, Value: value, Txns: r.Txns}
}

// Check returns the condition that the row is still as it was read.
func (r Row) Check() Check { return Check{Key: r.Key, Version: r.Version} }

// Put writes Value to a row whose version is still Version, and makes it
// Version + 1.
type Put struct {
	Key     Key
	Version Version
	Value   []byte
	// Txns is the row's list of transaction ids as it was read; the service
	// client appends the id of the transaction.
	Txns []TxnID
}

// Check demands that a row still has the given version.
type Check struct {
	Key     Key
	Version Version
}

// Txn takes effect as a whole or not at all.
type Txn struct {
	ID TxnID
	// Puts has at least one element. No key occurs twice in Puts and Checks.
	Puts   []Put
	Checks []Check
	// Repeat states that the transaction may have been sent before, for
	// example by a call of Settle that returned ErrAmbiguous.
	Repeat bool
}

// Rows returns the written rows as they are once the transaction has committed.
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

// Validate returns ErrInvalid with the cause, or nil.
func (t Txn) Validate() error {
	if len(t.ID) == 0 || len(t.ID) > maxTxnID {
		return errors.Wrapf(ErrInvalid, "transaction id %q must have 1 to %d bytes", t.ID, maxTxnID)
	}
	if len(t.Puts) == 0 {
		return errors.Wrapf(ErrInvalid, "transaction %s writes no row", t.ID)
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

// recent returns the list of transaction ids after a write by i.
func recent(l []TxnID, i TxnID) []TxnID {
	l = l[max(0, len(l)-RecentTxns+1):]
	return append(append(make([]TxnID, 0, len(l)+1), l...), i)
}

// Store reads and writes the table. Implementations are safe for concurrent
// use.
type Store interface {
	// Read returns the rows of the keys, in their order, as of one instant. A
	// row that does not exist has version 0. It returns ErrUnavailable or
	// ErrInvalid.
	Read(c context.Context, keys ...Key) ([]Row, error)
	// Scan returns all rows whose key begins with the prefix, in the order of
	// their keys. The rows may stem from different instants. It returns
	// ErrUnavailable.
	Scan(c context.Context, prefix Key) ([]Row, error)
	// Versions returns the versions of all rows whose key begins with the prefix.
	// It costs the service as much as Scan, but little on the network. The
	// versions may stem from different instants. It returns ErrUnavailable.
	Versions(c context.Context, prefix Key) (map[Key]Version, error)
	// Commit applies the transaction once. It returns ErrConflict,
	// ErrAmbiguous, ErrUnavailable or ErrInvalid. Apart from ErrAmbiguous the
	// errors tell nothing about earlier calls with the same transaction.
	Commit(c context.Context, t Txn) error
}
