package bound

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "write golden files")

const ms = time.Millisecond

// lookups returns n demands for a key, evenly spread over length from begin, of which the
// first served ones were in time.
func lookups(begin, length time.Duration, n, key, served int) []Demand {
	var l []Demand
	for i := range n {
		d := Demand{
			At: begin + length*time.Duration(i)/time.Duration(n), Service: "s", Kind: "lookup", Key: key,
			Objective: 1000 * ms, Work: 250 * ms, Stands: 1,
		}
		if i >= served {
			d.Outcome, d.Reason = Refused, "full"
		}
		l = append(l, d)
	}
	return l
}

// sampled returns demands without a key of which n in time are known by one of 64, and all
// refused ones.
func sampled(length time.Duration, n, refused int) []Demand {
	l := lookups(0, length, n/64, NoKey, n/64)
	for i := range l {
		l[i].Stands = 64
	}
	return append(l, lookups(0, length, refused, NoKey, 0)...)
}

func changed(l []Demand, f func(*Demand)) []Demand {
	for i := range l {
		f(&l[i])
	}
	return l
}

// one is a service of two targets of 4 slots; the faster one answers 20 lookups a second,
// both together 30.
var one = Figures{
	Services: map[string]Service{"s": {Targets: []Targets{{1, 4, 0.8}, {1, 4, 1.6}}}},
	Grant:    3 * time.Second, Stale: 2 * time.Second,
}

func withSpell(p Spell) Figures {
	s := one.Services["s"]
	s.Targets = []Targets{{1000, 4, 1}}
	s.Spells, s.Repeats, s.Allowance = []Spell{p}, 0.2, 10
	return Figures{Services: map[string]Service{"s": s}}
}

func TestTable(t *testing.T) {
	for _, c := range []struct {
		name    string
		figures Figures
		demands []Demand
		freed   []Freed
		want    [Causes]int
	}{
		// 500 in 5 s, of which the faster target answers 20 * (5 + 1) at most.
		{"hot key", one, lookups(0, 5*time.Second, 500, 7, 100), nil, [Causes]int{Ours: 20, Key: 380}},
		{"hot key, all refused", one, lookups(0, 5*time.Second, 500, 7, 0), nil, [Causes]int{Ours: 120, Key: 380}},
		// 400 in 4 s.
		{"hot key, none known to be in time", one, lookups(0, 5*time.Second, 500, 7, 100)[100:], nil, [Causes]int{Ours: 100, Key: 300}},
		{"two spells apart", one, append(lookups(0, 5*time.Second, 500, 7, 100), lookups(20*time.Second, 5*time.Second, 500, 7, 100)...), nil, [Causes]int{Ours: 40, Key: 760}},
		{"a burst that one target may hold", one, lookups(0, 250*ms, 20, 7, 0), nil, [Causes]int{Ours: 20}},
		// Two keys, each for itself within the faster target, are above both together:
		// 2 * 90 in 5 s, of 30 * (5 + 1).
		{"two keys within the room", one, append(lookups(0, 5*time.Second, 90, 1, 50), lookups(0, 5*time.Second, 90, 2, 50)...), nil, [Causes]int{Ours: 80}},
		{"two keys above the room", one, append(lookups(0, 5*time.Second, 120, 1, 50), lookups(0, 5*time.Second, 120, 2, 50)...), nil, [Causes]int{Ours: 80, Room: 60}},
		{"a key above a target, in a service above its room", one, append(lookups(0, 5*time.Second, 220, 1, 50), lookups(0, 5*time.Second, 120, 2, 50)...), nil, [Causes]int{Ours: 80, Key: 100, Room: 60}},
		// 400 samples of 25,600 are certain for 21,760. The last one is at 997.5 s, and
		// 9,978 are refused until 997.75 s: 31,738 - 30 * (997.75 + 1).
		{"samples", one, sampled(1000*time.Second, 25600, 10000), nil, [Causes]int{Ours: 8225, Room: 1775}},
		{"unknown time at work", one, changed(lookups(0, 5*time.Second, 500, 7, 0), func(d *Demand) { d.Work = 0 }), nil, [Causes]int{Ours: 500}},
		{"no figures", Figures{}, lookups(0, 5*time.Second, 500, 7, 0), nil, [Causes]int{Ours: 500}},
		{"late ones are bound last", one, changed(lookups(0, 5*time.Second, 500, 7, 100), func(d *Demand) {
			if d.At%(20*ms) == 0 && d.Outcome == Refused {
				d.Outcome = Late
			}
		}), nil, [Causes]int{Ours: 20, Key: 380}},
		// Half is shed of 1,000 in 11 s; 900 end in the spell: 900 - 0.5 * (900 * 1.2 + 10).
		{"shed", withSpell(Spell{0, 10 * time.Second, 0.5}), lookups(0, 10*time.Second, 1000, NoKey, 200), nil, [Causes]int{Ours: 445, Shed: 355}},
		{"shed elsewhen", withSpell(Spell{20 * time.Second, 30 * time.Second, 0.5}), lookups(0, 10*time.Second, 1000, NoKey, 200), nil, [Causes]int{Ours: 800}},
		// The owner is lost; its range is free 2 s after the first failure. To be in time a
		// lookup has to begin 800 ms after its arrival at the latest, so that those of the
		// first 1.2 s can't.
		{"lost owner", one, lost(), []Freed{{2 * time.Second, "s", 0, 9, true}}, [Causes]int{Ours: 7, Move: 13}},
		{"lost owner, freed too late", one, lost(), []Freed{{6 * time.Second, "s", 0, 9, true}}, [Causes]int{Ours: 20}},
		{"released", one, lost(), []Freed{{2 * time.Second, "s", 0, 9, false}}, [Causes]int{Ours: 20}},
		{"other keys", one, lost(), []Freed{{2 * time.Second, "s", 4, 9, true}}, [Causes]int{Ours: 20}},
		{"stale copy", one, changed(lost(), func(d *Demand) { d.Age = 3 * time.Second }), nil, [Causes]int{Unknown: 20}},
		{"fresh copy", one, changed(lost(), func(d *Demand) { d.Age = time.Second }), nil, [Causes]int{Ours: 20}},
		{"stale copy, but full", one, changed(lookups(0, 250*ms, 20, 7, 0), func(d *Demand) { d.Age = 3 * time.Second }), nil, [Causes]int{Ours: 20}},
		{"no configuration", Figures{}, []Demand{{Outcome: Refused, Reason: "no-configuration", Key: NoKey, Stands: 1}}, nil, [Causes]int{Unknown: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got [Causes]int
			for _, r := range Table(c.figures, c.demands, c.freed) {
				for i, n := range r.By {
					got[i] += n
				}
			}
			if got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// lost returns 20 lookups in 2 s for a key without an owner.
func lost() []Demand {
	return changed(lookups(0, 2*time.Second, 20, 3, 0), func(d *Demand) { d.Reason = "owner-lost" })
}

// Requests of two kinds: the bound takes the shorter time at work and the longer objective for
// both, or one kind alone, whichever is most.
func TestKinds(t *testing.T) {
	for _, c := range []struct {
		name                  string
		lookups, orders, want int
	}{
		// 100 - 10 * 8.
		{"orders", 10, 100, 20},
		// 200 - 20 * 8.
		{"both", 100, 100, 40},
		// 200 - 20 * 6, above 210 - 20 * 8.
		{"lookups", 200, 10, 80},
	} {
		t.Run(c.name, func(t *testing.T) {
			orders := changed(lookups(0, 5*time.Second, c.orders, 7, 0), func(d *Demand) { d.Kind, d.Work, d.Objective = "order", 500*ms, 3000*ms })
			n := 0
			for _, r := range Table(one, append(lookups(0, 5*time.Second, c.lookups, 7, 0), orders...), nil) {
				n += r.By[Key]
			}
			if n != c.want {
				t.Errorf("%d are bound, want %d", n, c.want)
			}
		})
	}
}

func TestRequests(t *testing.T) {
	twice := func(l []Demand) []Demand {
		return changed(l, func(d *Demand) { d.Attempts, d.Limit = 2, 4*time.Second })
	}
	hot := func() []Demand { return twice(lookups(10*time.Second, 5*time.Second, 500, 7, 0)) }
	for _, c := range []struct {
		name    string
		figures Figures
		demands []Demand
		want    Least
	}{
		// 500/2 - 20 * 6.
		{"hot key", one, hot(), Least{Key: 130}},
		// 20 of the attempts may repeat earlier ones: 480/2 - 20 * 6.
		{"refused before", one, append(twice(lookups(9*time.Second, 250*ms, 20, 7, 0)), hot()...), Least{Key: 120}},
		{"refused long before", one, append(twice(lookups(time.Second, 250*ms, 20, 7, 0)), hot()...), Least{Key: 130}},
		// 900 attempts are 450 requests, which have 2.4 + 10/450 tries: 0.5^2.422 of them.
		{"shed", withSpell(Spell{10 * time.Second, 20 * time.Second, 0.5}), twice(lookups(10*time.Second, 10*time.Second, 1000, NoKey, 200)), Least{Shed: 84}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.want.Service = "s"
			if got := Requests(c.figures, c.demands); len(got) != 1 || got[0] != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestPrint(t *testing.T) {
	d := append(lookups(0, 5*time.Second, 500, 7, 100), changed(lost(), func(d *Demand) { d.Kind = "order" })...)
	d[100].Outcome, d[100].Reason = Late, ""
	d[0].Stands = 64
	var b bytes.Buffer
	if err := Print(&b, Table(one, d, []Freed{{2 * time.Second, "s", 0, 9, true}}), Requests(one, d)); err != nil {
		t.Fatal(err)
	}
	f := filepath.Join("testdata", "print.txt")
	if *update {
		if err := os.WriteFile(f, b.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(f)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(b.Bytes(), want) {
		t.Errorf("got\n%s\nwant\n%s", b.Bytes(), want)
	}
}
