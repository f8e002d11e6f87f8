package config

import (
	"bytes"
	"strconv"

	"github.com/pelletier/go-toml/v2/unstable"
)

// path identifies a value in a text. It consists of keys and array indexes, each
// preceded by a zero byte, which no valid name contains. The root is empty.
type path string

func (p path) key(k string) path { return p + "\x00" + path(k) }

func (p path) index(i int) path { return p.key(strconv.Itoa(i)) }

// lineIndex collects the line of each key, table and array element of a text.
type lineIndex struct {
	text  []byte
	lines map[path]int
	// sizes holds the number of elements found so far in each array of tables.
	sizes map[path]int
	// offset and line are the position of the last call of lineOf.
	offset, line int
}

// indexLines returns the line of each value of a text. The text must be valid TOML.
func indexLines(text []byte) map[path]int {
	x := &lineIndex{text: text, lines: map[path]int{"": 1}, sizes: map[path]int{}, line: 1}
	var p unstable.Parser
	p.Reset(text)
	var t path
	for p.NextExpression() {
		switch n := p.Expression(); n.Kind {
		case unstable.Table, unstable.ArrayTable:
			t = x.header(n)
		case unstable.KeyValue:
			x.pair(t, n)
		}
	}
	return x.lines
}

// header records the header of a table and returns the path of the table.
func (x *lineIndex) header(n *unstable.Node) path {
	var p path
	for i := n.Key(); i.Next(); {
		k := i.Node()
		p = p.key(string(k.Data))
		l := x.lineOf(k)
		x.record(p, l)
		if n.Kind == unstable.ArrayTable && i.IsLast() {
			x.sizes[p]++
		}
		if s := x.sizes[p]; s > 0 {
			p = p.index(s - 1)
			x.record(p, l)
		}
	}
	return p
}

// pair records a key and its value in the table t. The line is that of the key,
// because the first child of the node is the value.
func (x *lineIndex) pair(t path, n *unstable.Node) {
	l := 0
	for i := n.Key(); i.Next(); {
		t, l = t.key(string(i.Node().Data)), x.lineOf(i.Node())
		x.record(t, l)
	}
	x.value(t, n.Value(), l)
}

// value records a value and, if it is an array or an inline table, the values that
// it contains. The line l is used for values without a position of their own.
func (x *lineIndex) value(p path, n *unstable.Node, l int) {
	if n.Raw.Length > 0 {
		l = x.lineOf(n)
	}
	x.record(p, l)
	c := n.Children()
	switch n.Kind {
	case unstable.Array:
		for i := 0; c.Next(); i++ {
			x.value(p.index(i), c.Node(), l)
		}
	case unstable.InlineTable:
		for c.Next() {
			x.pair(p, c.Node())
		}
	}
}

// record stores the line of a path unless it already has one.
func (x *lineIndex) record(p path, l int) {
	if _, ok := x.lines[p]; !ok {
		x.lines[p] = l
	}
}

// lineOf returns the line of a node. It counts newlines from the position of the
// previous call, so that the text is read about once in all.
func (x *lineIndex) lineOf(n *unstable.Node) int {
	o := int(n.Raw.Offset)
	if o < x.offset {
		x.line -= bytes.Count(x.text[o:x.offset], []byte{'\n'})
	} else {
		x.line += bytes.Count(x.text[x.offset:o], []byte{'\n'})
	}
	x.offset = o
	return x.line
}
