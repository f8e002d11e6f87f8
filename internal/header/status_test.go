package header

import "testing"

// Guards against a number that is taken for a status.
func TestStatus(t *testing.T) {
	for status := -1; status <= 1000; status++ {
		if got, want := IsFinal(status), status >= 200 && status <= 599; got != want {
			t.Errorf("%d is final: %v", status, got)
		}
		if got, want := IsInterim(status), status == 100 || status >= 102 && status <= 199; got != want {
			t.Errorf("%d is interim: %v", status, got)
		}
	}
}
