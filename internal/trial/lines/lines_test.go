package lines

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/internal/trial/bound"
)

const text = `a line that is no JSON
   2.5495 edge-1 {"level":"info","event":"request-failed","route":"r","service":"s","status":503,"reason":"full","took":50.5,"key":7,"objective":1000,"store-age":775.5,"time":10000}
{"event":"request-answered","route":"r","service":"s","took":100,"sent":1,"unsent":0,"late":false,"key":7,"objective":1000,"time":10100}
{"event":"request-answered","route":"r","service":"s","took":100,"sent":1,"unsent":1,"late":false,"key":7,"objective":1000,"time":10100}
{"event":"request-answered","route":"r","service":"s","took":1100,"sent":1,"unsent":0,"late":true,"key":7,"objective":1000,"time":11100}
{"event":"request-refused","host":"h","reason":"configuration-outdated","status":503,"time":10000}
{"event":"request-refused","host":"h","reason":"no-route","status":404,"time":10000}
{"event":"keys-taken","service":"s","from":1,"to":9,"how":"released","time":10000}
{"event":"keys-taken","service":"s","from":1,"to":9,"how":"grants-run-out","time":10000}
{"event":"log-lines-dropped","count":3,"time":10000}
{"event":"log-lines-dropped","count":4,"time":10000}
{"event":"started","time":10000}
{"event":"request-fai`

func TestRead(t *testing.T) {
	var got Log
	if err := got.Read(strings.NewReader(text)); err != nil {
		t.Fatal(err)
	}
	s := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	d := func(at time.Duration, o bound.Outcome, stands int) bound.Demand {
		return bound.Demand{At: at, Service: "s", Kind: "r", Key: 7, Objective: s(1000), Outcome: o, Stands: stands}
	}
	failed := d(9949500*time.Microsecond, bound.Refused, 1)
	failed.Reason, failed.Age = "full", 775500*time.Microsecond
	want := Log{
		Requests: []bound.Demand{
			failed, d(s(10000), bound.InTime, 64), d(s(10000), bound.InTime, 1), d(s(10000), bound.Late, 1),
			{At: s(10000), Outcome: bound.Refused, Reason: "configuration-outdated", Stands: 1},
		},
		Freed:   []bound.Freed{{At: s(10000), Service: "s", From: 1, To: 9}, {At: s(10000), Service: "s", From: 1, To: 9, Lost: true}},
		Dropped: 7,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
