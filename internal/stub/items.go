package stub

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// tokenValidity is the time for which DynamoDB recognises a ClientRequestToken.
const tokenValidity = 10 * time.Minute

// attribute is an attribute value in the JSON format of DynamoDB. One field is
// set.
type attribute struct {
	S *string      `json:"S,omitempty"`
	N *string      `json:"N,omitempty"`
	B *[]byte      `json:"B,omitempty"`
	L *[]attribute `json:"L,omitempty"`
}

// item maps the names of attributes to their values.
type item map[string]attribute

// write is one action of a transaction: a Put if Item is set, otherwise a
// ConditionCheck.
type write struct {
	TableName                 string
	Item                      item `json:",omitempty"`
	Key                       item `json:",omitempty"`
	ConditionExpression       string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues item `json:",omitempty"`
}

// itemKey is the primary key of an item: its partition key and its sort key.
type itemKey struct{ space, row string }

// items holds the data of the table. The zero value is empty.
type items struct {
	mu   sync.Mutex
	rows map[itemKey]item
	// tokens holds the applied transactions by ClientRequestToken.
	tokens map[string]tokenRecord
}

// tokenRecord describes an applied transaction that had a ClientRequestToken.
type tokenRecord struct {
	// writesHash tells a retry from another transaction with the same token.
	writesHash uint64
	committed  time.Time
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
		return k, validationError("an item has no string attributes space and row-key")
	}
	return k, nil
}

// commit applies all writes if all conditions hold, otherwise none. A transaction
// that was applied under the same token is not applied again, and another one under
// that token is an error. An empty token stands for none.
func (t *items) commit(token string, l []write) error {
	h, err := json.Marshal(l)
	if err != nil {
		return err
	}
	f := xxhash.Sum64(h)
	t.mu.Lock()
	defer t.mu.Unlock()
	if x, ok := t.tokens[token]; ok && token != "" && time.Since(x.committed) < tokenValidity {
		if x.writesHash != f {
			return &serviceError{Type: "IdempotentParameterMismatchException", Message: "token of another transaction"}
		}
		return nil
	}
	if err := t.verify(l); err != nil {
		return err
	}
	t.apply(l)
	t.recordToken(token, f)
	return nil
}

// verify checks the keys and conditions of the writes. The caller holds t.mu.
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
			return validationError("a transaction has two actions on one item")
		}
		m[k] = true
		ok, err := w.holds(t.rows[k])
		if err != nil {
			return err
		}
		r := cancellationReason{Code: "None"}
		if !ok {
			r, bad = cancellationReason{"ConditionalCheckFailed", "the condition does not hold"}, true
		}
		e.CancellationReasons = append(e.CancellationReasons, r)
	}
	if bad {
		return e
	}
	return nil
}

// apply stores the items of verified writes. The caller holds t.mu.
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

// recordToken records an applied transaction, if it has a token, and deletes
// expired records. The caller holds t.mu.
func (t *items) recordToken(token string, f uint64) {
	if t.tokens == nil {
		t.tokens = map[string]tokenRecord{}
	}
	n := time.Now()
	for k, x := range t.tokens {
		if n.Sub(x.committed) >= tokenValidity {
			delete(t.tokens, k)
		}
	}
	if token != "" {
		t.tokens[token] = tokenRecord{f, n}
	}
}

func (w write) key() (itemKey, error) {
	if w.Item != nil {
		return w.Item.key()
	}
	return w.Key.key()
}

// holds evaluates the condition on the current item m, which may be nil. It knows
// the two condition expressions that table.Dynamo uses.
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
			return false, validationError("value :v is not a number")
		}
		return v.N != nil && *v.N == *x.N, nil
	}
	return false, validationError("the stand-in does not know condition " + w.ConditionExpression)
}

// get returns the items of the keys in order, nil for one that does not exist.
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

// query returns up to n items of a partition in the order of their sort keys,
// which begin with prefix and are greater than start. It reports whether more
// follow.
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
