package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"dandelionrock.example/dandelionrock/internal/trial/lines"
)

// Thirty lookups for a key arrive within 250 ms; the faster targets, of 8 a second, answer 10
// of them within 1 s. Nothing is known of the kind of the last request.
func TestBound(t *testing.T) {
	f, err := os.Open("testdata/sheet.toml")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	s, err := readSheet(f)
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	for i := range 30 {
		fmt.Fprintf(&b, `{"event":"request-failed","route":"r-lookup","service":"svc-a","reason":"full","took":10,"key":7,"objective":1000,"time":%d}`+"\n", 10000+i)
	}
	b.WriteString(`{"event":"request-failed","route":"r-order","service":"svc-a","reason":"no-owner","took":10,"key":8,"objective":1000,"time":10000}
{"event":"request-failed","route":"r-test","service":"svc-a","reason":"full","took":10,"key":7,"objective":300,"time":10000}
{"event":"log-lines-dropped","count":3}
`)
	var l lines.Log
	if err := l.Read(&b); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := s.print(&out, &l); err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/bound.txt")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("got\n%s\nwant\n%s", out.Bytes(), want)
	}
}

func TestReadSheetInvalid(t *testing.T) {
	for _, c := range []struct{ name, text string }{
		{"no slots", "[[services]]\ntargets = [{ count = 1, factor = 1.0 }]"},
		{"no factor", "[[services]]\ntargets = [{ count = 1, slots = 1 }]"},
		{"no work", "[[services]]\nkinds = [{ name = 'a' }]"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := readSheet(strings.NewReader(c.text)); !errors.Is(err, errSheet) {
				t.Errorf("got %v", err)
			}
		})
	}
	if _, err := readSheet(strings.NewReader("grant = 3")); err == nil {
		t.Error("an unknown field is no error")
	}
}
