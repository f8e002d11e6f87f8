package config

import (
	"bytes"
	"strconv"

	"github.com/pelletier/go-toml/v2/unstable"
)

// path names a value in a text: keys and array indexes, each preceded by a
// zero byte, which occurs in no valid name.
type path string

func (p path) key(k string) path { return p + "\x00" + path(k) }

func (p path) index(i int) path { return p.key(strconv.Itoa(i)) }

// lineIndex records the line of each key, table and array element of a text.
type lineIndex struct {
	text  []byte
	lines map[path]int
	// sizes holds the number of elements of each array of tables so far.
	sizes map[path]int
	// offset and line are the last position that was looked up.
	offset, line int
}

// indexLines reads a text that is known to be valid TOML.
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

// header records the header of a table and returns the path of its contents.
func (x *lineIndex) header(n *unstable.Node) path {
	var p path
	for i := n.Key(); i.Next(); {
		k := i.Node()
		p = p.key(string(k.Data))
		l := x.at(k)
		x.set(p, l)
		if n.Kind == unstable.ArrayTable && i.IsLast() {
			x.sizes[p]++
		}
		if s := x.sizes[p]; s > 0 {
			p = p.index(s - 1)
			x.set(p, l)
		}
	}
	return p
}

// pair records a key with its value. The value comes first among the children
// of the node, so that the line is taken from the key.
func (x *lineIndex) pair(t path, n *unstable.Node) {
	l := 0
	for i := n.Key(); i.Next(); {
		t, l = t.key(string(i.Node().Data)), x.at(i.Node())
		x.set(t, l)
	}
	x.value(t, n.Value(), l)
}

// value records what a value contains; l is the line of values without a
// position of their own.
func (x *lineIndex) value(p path, n *unstable.Node, l int) {
	if n.Raw.Length > 0 {
		l = x.at(n)
	}
	x.set(p, l)
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

// set keeps the first line that is recorded for a path.
func (x *lineIndex) set(p path, l int) {
	if _, ok := x.lines[p]; !ok {
		x.lines[p] = l
	}
}

// at returns the line of a node. Counting starts at the previous position, so
// that a whole text is read about once.
func (x *lineIndex) at(n *unstable.Node) int {
	o := int(n.Raw.Offset)
	if o < x.offset {
		x.line -= bytes.Count(x.text[o:x.offset], []byte{'\n'})
	} else {
		x.line += bytes.Count(x.text[x.offset:o], []byte{'\n'})
	}
	x.offset = o
	return x.line
}
