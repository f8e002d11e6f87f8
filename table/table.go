// Package table is the client of the platform's transactional table service.
//
// A write can take effect although its answer is lost. Commit reports such a
// write as ErrAmbiguous, and Settle finds out what became of it.
package table

import (
	"context"

	"github.com/cockroachdb/errors"
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
)

// Key names a row, such as "home/guild/quotes/quotes-1".
type Key string

// TxnID is unique for each transaction.
type TxnID string

// Version counts the writes of a row. 0 stands for a row that does not exist.
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
}

// Store reads and writes the table. Implementations are safe for concurrent
// use.
type Store interface {
	// Read returns the rows of the keys, in their order, as of one instant. A
	// row that does not exist has version 0. It returns ErrUnavailable.
	Read(c context.Context, keys ...Key) ([]Row, error)
	// Scan returns all rows whose key begins with the prefix, in the order of
	// their keys. The rows may stem from different instants. It returns
	// ErrUnavailable.
	Scan(c context.Context, prefix Key) ([]Row, error)
	// Commit applies the transaction once. It returns ErrConflict,
	// ErrAmbiguous or ErrUnavailable.
	Commit(c context.Context, t Txn) error
}
