package stub

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

const targetPrefix = "DynamoDB_20120810."

// maxItems is the limit of DynamoDB for one transaction.
const maxItems = 100

// serviceError is an error answer of the table service.
type serviceError struct {
	Type                string `json:"__type"`
	Message             string
	CancellationReasons []reason `json:",omitempty"`
}

// Error implements error.
func (e *serviceError) Error() string { return e.Type + ": " + e.Message }

// reason tells why an action cancelled its transaction.
type reason struct {
	Code    string
	Message string `json:",omitempty"`
}

func invalid(s string) error { return &serviceError{Type: "ValidationException", Message: s} }

type writeInput struct {
	ClientRequestToken string
	TransactItems      []struct{ Put, ConditionCheck *write }
}

// writes returns the actions in order.
func (i *writeInput) writes(table string) ([]write, error) {
	var l []write
	for _, x := range i.TransactItems {
		w := x.Put
		if w == nil {
			w = x.ConditionCheck
		}
		if w == nil || w.TableName != table {
			return nil, invalid("an action is neither Put nor ConditionCheck on table " + table)
		}
		if (x.Put != nil) != (w.Item != nil) {
			return nil, invalid("a Put has an Item, a ConditionCheck a Key")
		}
		l = append(l, *w)
	}
	if len(l) == 0 || len(l) > maxItems {
		return nil, invalid("a transaction has 1 to 100 actions")
	}
	return l, nil
}

type readInput struct {
	TransactItems []struct {
		Get struct {
			TableName string
			Key       item
		}
	}
}

func (i *readInput) keys(table string) ([]item, error) {
	var l []item
	for _, x := range i.TransactItems {
		if x.Get.TableName != table {
			return nil, invalid("the only table is " + table)
		}
		l = append(l, x.Get.Key)
	}
	if len(l) == 0 || len(l) > maxItems {
		return nil, invalid("a transaction has 1 to 100 actions")
	}
	return l, nil
}

type queryInput struct {
	TableName                 string
	KeyConditionExpression    string
	ProjectionExpression      string
	ExpressionAttributeValues item
	ExclusiveStartKey         item
	Limit                     int
}

func (p *Platform) query(b []byte) (any, error) {
	var q queryInput
	if err := decode(b, &q); err != nil {
		return nil, err
	}
	switch q.KeyConditionExpression {
	case "#s = :s", "#s = :s AND begins_with(#k, :p)":
	default:
		return nil, invalid("the stand-in does not know condition " + q.KeyConditionExpression)
	}
	n := p.config.PageItems
	if q.Limit > 0 {
		n = min(n, q.Limit)
	}
	v := q.ExpressionAttributeValues
	l, more := p.items.query(v.text(":s"), v.text(":p"), q.ExclusiveStartKey.text("row-key"), n)
	p.stats.count(max(1, len(l)), 0)
	l, err := project(l, q.ProjectionExpression)
	if err != nil {
		return nil, err
	}
	o := map[string]any{"Items": l, "Count": len(l)}
	if more {
		o["LastEvaluatedKey"] = item{"space": v[":s"], "row-key": l[len(l)-1]["row-key"]}
	}
	return o, nil
}

// project returns the attributes of items that an expression names.
func project(l []item, expression string) ([]item, error) {
	switch expression {
	case "":
		return l, nil
	case "#k, #v":
	default:
		return nil, invalid("the stand-in does not know projection " + expression)
	}
	r := make([]item, 0, len(l))
	for _, m := range l {
		r = append(r, item{"row-key": m["row-key"], "version": m["version"]})
	}
	return r, nil
}

func (p *Platform) read(b []byte) (any, error) {
	var i readInput
	if err := decode(b, &i); err != nil {
		return nil, err
	}
	k, err := i.keys(p.config.Table)
	if err != nil {
		return nil, err
	}
	p.stats.count(len(k), 0)
	l, err := p.items.get(k)
	if err != nil {
		return nil, err
	}
	type response struct {
		Item item `json:",omitempty"`
	}
	r := make([]response, len(l))
	for i, m := range l {
		r[i].Item = m
	}
	return map[string]any{"Responses": r}, nil
}

func decode(b []byte, v any) error {
	if err := json.Unmarshal(b, v); err != nil {
		return &serviceError{Type: "SerializationException", Message: err.Error()}
	}
	return nil
}

// encode returns the answer of the table service.
func encode(v any, err error) *reply {
	p := answer(http.StatusOK, v)
	var e *serviceError
	switch {
	case errors.As(err, &e):
		p = answer(http.StatusBadRequest, e)
		p.header.Set("X-Amzn-Errortype", e.Type)
	case err != nil:
		p = answer(http.StatusInternalServerError, &serviceError{Type: "InternalServerError", Message: err.Error()})
	}
	p.header.Set("Content-Type", "application/x-amz-json-1.0")
	return p
}

// operation returns the name of the called operation, or "".
func operation(r *http.Request) string {
	s, ok := strings.CutPrefix(r.Header.Get("X-Amz-Target"), targetPrefix)
	if !ok {
		return ""
	}
	return s
}
