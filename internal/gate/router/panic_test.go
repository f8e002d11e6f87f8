package router

import (
	"reflect"
	"testing"

	"dandelionrock.example/dandelionrock/internal/gate/guard"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// Guards against a panic in a call of another instance that ends the process: an
// instance without its parts panics in each of them.
func TestCallsRecover(t *testing.T) {
	n := 0
	g := reflect.ValueOf(&gate{&Instance{guard: guard.New(zerolog.Nop(), func(string) { n++ }, t.FailNow)}})
	for i := range g.NumMethod() {
		m := g.Method(i)
		r := m.Call([]reflect.Value{reflect.New(m.Type().In(0).Elem()), reflect.New(m.Type().In(1).Elem())})
		if err, _ := r[0].Interface().(error); err != nil && !errors.Is(err, guard.ErrPanic) {
			t.Errorf("%s returns %v", g.Type().Method(i).Name, err)
		}
	}
	if n < g.NumMethod()-1 {
		t.Errorf("%d of %d calls panicked, so that the test shows nothing", n, g.NumMethod())
	}
}
