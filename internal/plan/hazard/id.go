package hazard

import (
	"crypto/sha256"
	"encoding/binary"
)

// ID identifies what comes again with a request: who sends what to where. Attempts of the
// same request have the same ID.
type ID [16]byte

// IDOf returns the ID of a request from its body and the other parts, in this order.
func IDOf(body []byte, parts ...string) ID {
	h := sha256.New()
	for _, p := range parts {
		// The length keeps apart parts that are divided differently.
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(p))))
		h.Write([]byte(p))
	}
	h.Write(body)
	var id ID
	copy(id[:], h.Sum(nil))
	return id
}
