package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrInvalid is matched by every error of Parse, ParseSettings and CheckChange.
var ErrInvalid = errors.New("configuration is invalid")

// Fault is one reason why a text is invalid.
type Fault struct {
	File string `json:"file"`
	// Line is the line number in the text, counted from 1.
	Line  int    `json:"line"`
	Cause string `json:"cause"`
}

// String returns the fault as "file:line: cause".
func (f Fault) String() string { return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Cause) }

// Error holds all faults of a text, ordered by line. It matches ErrInvalid.
type Error struct {
	Faults []Fault
}

// Error returns one line for each fault.
func (e *Error) Error() string {
	b := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		b[i] = f.String()
	}
	return strings.Join(b, "\n")
}

// Is reports whether target is ErrInvalid.
func (e *Error) Is(target error) bool { return target == ErrInvalid }

// asError returns an *Error with the sorted faults without duplicates, or nil if
// there are none.
func asError(f []Fault) error {
	if len(f) == 0 {
		return nil
	}
	slices.SortFunc(f, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Cause, b.Cause))
	})
	return &Error{Faults: slices.Compact(f)}
}
