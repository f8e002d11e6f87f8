package stub

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// tokenLife is the time for which DynamoDB recognises a ClientRequestToken.
const tokenLife = 10 * time.Minute

// attribute is an attribute value in the JSON form of DynamoDB; one field is
// set.
type attribute struct {
	S *string      `json:"S,omitempty"`
	N *string      `json:"N,omitempty"`
	B *[]byte      `json:"B,omitempty"`
	L *[]attribute `json:"L,omitempty"`
}

type item map[string]attribute

// write is one action of a transaction: a put if Item is set, else a check.
type write struct {
	TableName                 string
	Item                      item `json:",omitempty"`
	Key                       item `json:",omitempty"`
	ConditionExpression       string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues item `json:",omitempty"`
}

// itemKey orders items by partition key, then by sort key.
type itemKey struct{ space, row string }

// items is the data of the table. The zero value is empty.
type items struct {
	mu     sync.Mutex
	rows   map[itemKey]item
	tokens map[string]token
}

// token remembers a transaction that has taken effect.
type token struct {
	hash uint64
	at   time.Time
}

// text returns the string value of an attribute, or "".
func (m item) text(name string) string {
	if s := m[name].S; s != nil {
		return *s
	}
	return ""
}

func (m item) key() (itemKey, error) {
	k := itemKey{m.text("space"), m.text("row-key")}
	if k.space == "" || k.row == "" {
		return k, invalid("an item has no string attributes space and row-key")
	}
	return k, nil
}

// commit applies all writes if all conditions hold.
func (t *items) commit(name string, l []write) error {
	h, err := json.Marshal(l)
	if err != nil {
		return err
	}
	f := xxhash.Sum64(h)
	t.mu.Lock()
	defer t.mu.Unlock()
	if x, ok := t.tokens[name]; ok && name != "" && time.Since(x.at) < tokenLife {
		if x.hash != f {
			return &serviceError{Type: "IdempotentParameterMismatchException", Message: "token of another transaction"}
		}
		return nil
	}
	if err := t.verify(l); err != nil {
		return err
	}
	t.apply(l)
	t.remember(name, f)
	return nil
}

// verify checks the keys and conditions of the writes; t.mu is held.
func (t *items) verify(l []write) error {
	e := &serviceError{Type: "TransactionCanceledException", Message: "a condition does not hold"}
	m := map[itemKey]bool{}
	bad := false
	for _, w := range l {
		k, err := w.key()
		if err != nil {
			return err
		}
		if m[k] {
			return invalid("a transaction has two actions on one item")
		}
		m[k] = true
		ok, err := w.holds(t.rows[k])
		if err != nil {
			return err
		}
		r := reason{Code: "None"}
		if !ok {
			r, bad = reason{"ConditionalCheckFailed", "the condition does not hold"}, true
		}
		e.CancellationReasons = append(e.CancellationReasons, r)
	}
	if bad {
		return e
	}
	return nil
}

func (t *items) apply(l []write) {
	if t.rows == nil {
		t.rows = map[itemKey]item{}
	}
	for _, w := range l {
		if w.Item != nil {
			k, _ := w.Item.key() // verified
			t.rows[k] = w.Item
		}
	}
}

func (t *items) remember(name string, f uint64) {
	if t.tokens == nil {
		t.tokens = map[string]token{}
	}
	n := time.Now()
	for k, x := range t.tokens {
		if n.Sub(x.at) >= tokenLife {
			delete(t.tokens, k)
		}
	}
	if name != "" {
		t.tokens[name] = token{f, n}
	}
}

func (w write) key() (itemKey, error) {
	if w.Item != nil {
		return w.Item.key()
	}
	return w.Key.key()
}

// holds evaluates the two condition expressions that table.Dynamo uses.
func (w write) holds(m item) (bool, error) {
	v := m[w.ExpressionAttributeNames["#v"]]
	switch w.ConditionExpression {
	case "":
		return true, nil
	case "attribute_not_exists(#v)":
		return v.N == nil, nil
	case "#v = :v":
		x := w.ExpressionAttributeValues[":v"]
		if x.N == nil {
			return false, invalid("value :v is not a number")
		}
		return v.N != nil && *v.N == *x.N, nil
	}
	return false, invalid("the stand-in does not know condition " + w.ConditionExpression)
}

// get returns the items of the keys, nil for one that does not exist.
func (t *items) get(l []item) ([]item, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := make([]item, 0, len(l))
	for _, m := range l {
		k, err := m.key()
		if err != nil {
			return nil, err
		}
		r = append(r, t.rows[k])
	}
	return r, nil
}

// query returns up to n items of a partition whose sort key begins with prefix
// and comes after start, and whether more follow.
func (t *items) query(space, prefix, start string, n int) ([]item, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var l []string
	for k := range t.rows {
		if k.space == space && strings.HasPrefix(k.row, prefix) && k.row > start {
			l = append(l, k.row)
		}
	}
	slices.Sort(l)
	more := len(l) > n
	r := []item{}
	for _, k := range l[:min(n, len(l))] {
		r = append(r, t.rows[itemKey{space, k}])
	}
	return r, more
}
