package header

import "net/http"

// Package net/http passes on any status line of three characters that parse as a number,
// such as 000 and 999. RFC 9110, section 15, defines no status outside of 100 to 599.

// maxStatus is the highest status that a response may have.
const maxStatus = 599

// IsFinal reports whether a final response may have a status. One with another status is
// no answer: the request may have run.
func IsFinal(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// IsInterim reports whether a response with a status may precede the final one. No upgrade
// is ever asked for, so that 101 may not.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}
