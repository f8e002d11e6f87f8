package sender

import (
	"context"
	"strings"
	"testing"

	"dandelionrock.example/dandelionrock/internal/gate/depot"
	"github.com/cockroachdb/errors"
)

// Guards against a response whose status is none: it is no answer, no rejection, and not
// interim either.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "101", "600", "777", "999"} {
		invalid := strings.Replace(complete, "200 OK", status+" Odd", 1)
		for _, response := range []string{
			invalid, strings.Replace(rejected, "503", status, 1), "HTTP/1.1 " + status + " Odd\r\n\r\n" + complete,
		} {
			l := New(depot.New())
			p := startTarget(t, response, complete)
			if a, err := l.Do(context.Background(), p, request("a")); !errors.Is(err, ErrNoResponse) {
				t.Errorf("%q: %+v, %v", response, a, err)
			}
			_ = l.Close()
		}
	}
}
