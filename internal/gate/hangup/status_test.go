package hangup

import (
	"net/http/httptest"
	"testing"
)

// Guards against a number that is no status and is sent as a success.
func TestStatusAhead(t *testing.T) {
	for want, statuses := range map[int][][]int{
		200: {{}, {200, 404}, {103, 200}}, 404: {{404}, {100, 102, 404}}, 502: {{0}, {7}, {99}, {101}, {600}, {999}},
	} {
		for _, s := range statuses {
			p := &response{}
			for _, n := range s {
				p.WriteHeader(n)
			}
			w := httptest.NewRecorder()
			if err := p.writeTo(w); err != nil || w.Code != want {
				t.Errorf("%v: %d, want %d; %v", s, w.Code, want, err)
			}
		}
	}
}
