package bound

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// Print writes the rows as a table, with a row of sums, and below what is ours by reason, and
// the least numbers of requests.
func Print(w io.Writer, rows []Row, least []Least) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "attempts\tkind\tin time, about\tlate\trefused\tunknown\tmove\tkey\troom\tshed\tours\t")
	all := Row{Service: "all", Left: map[string]int{}}
	for _, r := range rows {
		printRow(t, r)
		all.InTime += r.InTime
		all.Late += r.Late
		all.Refused += r.Refused
		for c, n := range r.By {
			all.By[c] += n
		}
		for s, n := range r.Left {
			all.Left[s] += n
		}
	}
	printRow(t, all)
	if err := t.Flush(); err != nil {
		return err
	}
	t = tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\nours, by reason")
	for _, s := range slices.SortedFunc(maps.Keys(all.Left), func(a, b string) int {
		return cmp.Or(cmp.Compare(all.Left[b], all.Left[a]), cmp.Compare(a, b))
	}) {
		fmt.Fprintf(t, "%s\t%d", s, all.Left[s])
		for _, r := range rows {
			if n := r.Left[s]; n > 0 {
				fmt.Fprintf(t, "\t%s %d", r.Kind, n)
			}
		}
		fmt.Fprintln(t)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	t = tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\nrequests, at least\tkey\troom\tshed\t")
	for _, l := range least {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t\n", l.Service, l.Key, l.Room, l.Shed)
	}
	return t.Flush()
}

func printRow(w io.Writer, r Row) {
	fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t", r.Service, r.Kind, r.InTime, r.Late, r.Refused)
	for _, c := range []Cause{Unknown, Move, Key, Room, Shed, Ours} {
		fmt.Fprintf(w, "%d\t", r.By[c])
	}
	fmt.Fprintln(w)
}
