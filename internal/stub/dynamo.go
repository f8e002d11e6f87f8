package stub

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// targetPrefix precedes the name of the operation in the header X-Amz-Target.
const targetPrefix = "DynamoDB_20120810."

// maxTransactionActions is the limit of DynamoDB for the actions of a transaction.
const maxTransactionActions = 100

// serviceError is the body of an error response of the table service.
type serviceError struct {
	Type                string `json:"__type"`
	Message             string
	CancellationReasons []cancellationReason `json:",omitempty"`
}

// Error implements error.
func (e *serviceError) Error() string { return e.Type + ": " + e.Message }

// cancellationReason is the result of one action of a cancelled transaction.
type cancellationReason struct {
	Code    string
	Message string `json:",omitempty"`
}

// validationError returns the error for a call that is invalid or not supported.
func validationError(s string) error { return &serviceError{Type: "ValidationException", Message: s} }

// writeInput is the input of TransactWriteItems.
type writeInput struct {
	ClientRequestToken string
	TransactItems      []struct{ Put, ConditionCheck *write }
}

// writes returns the actions in order, or an error if one is not supported.
func (i *writeInput) writes(table string) ([]write, error) {
	var l []write
	for _, x := range i.TransactItems {
		w := x.Put
		if w == nil {
			w = x.ConditionCheck
		}
		if w == nil || w.TableName != table {
			return nil, validationError("an action is neither Put nor ConditionCheck on table " + table)
		}
		if (x.Put != nil) != (w.Item != nil) {
			return nil, validationError("a Put has an Item, a ConditionCheck a Key")
		}
		l = append(l, *w)
	}
	if len(l) == 0 || len(l) > maxTransactionActions {
		return nil, validationError("a transaction has 1 to 100 actions")
	}
	return l, nil
}

// readInput is the input of TransactGetItems.
type readInput struct {
	TransactItems []struct {
		Get struct {
			TableName string
			Key       item
		}
	}
}

// keys returns the keys in order.
func (i *readInput) keys(table string) ([]item, error) {
	var l []item
	for _, x := range i.TransactItems {
		if x.Get.TableName != table {
			return nil, validationError("the only table is " + table)
		}
		l = append(l, x.Get.Key)
	}
	if len(l) == 0 || len(l) > maxTransactionActions {
		return nil, validationError("a transaction has 1 to 100 actions")
	}
	return l, nil
}

// queryInput is the input of Query.
type queryInput struct {
	TableName                 string
	KeyConditionExpression    string
	ProjectionExpression      string
	ExpressionAttributeValues item
	ExclusiveStartKey         item
	Limit                     int
}

// query serves a Query call.
func (p *Platform) query(b []byte) (any, error) {
	var q queryInput
	if err := decode(b, &q); err != nil {
		return nil, err
	}
	switch q.KeyConditionExpression {
	case "#s = :s", "#s = :s AND begins_with(#k, :p)":
	default:
		return nil, validationError("the stand-in does not know condition " + q.KeyConditionExpression)
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

// project returns the items with the attributes that expression names, with all
// attributes if it is empty.
func project(l []item, expression string) ([]item, error) {
	switch expression {
	case "":
		return l, nil
	case "#k, #v":
	default:
		return nil, validationError("the stand-in does not know projection " + expression)
	}
	r := make([]item, 0, len(l))
	for _, m := range l {
		r = append(r, item{"row-key": m["row-key"], "version": m["version"]})
	}
	return r, nil
}

// read serves a TransactGetItems call.
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

// decode parses the body of a call into v.
func decode(b []byte, v any) error {
	if err := json.Unmarshal(b, v); err != nil {
		return &serviceError{Type: "SerializationException", Message: err.Error()}
	}
	return nil
}

// encode returns the response of the table service: v, or err if it is not nil.
func encode(v any, err error) *reply {
	p := jsonReply(http.StatusOK, v)
	var e *serviceError
	switch {
	case errors.As(err, &e):
		p = jsonReply(http.StatusBadRequest, e)
		p.header.Set("X-Amzn-Errortype", e.Type)
	case err != nil:
		p = jsonReply(http.StatusInternalServerError, &serviceError{Type: "InternalServerError", Message: err.Error()})
	}
	p.header.Set("Content-Type", "application/x-amz-json-1.0")
	return p
}

// operation returns the name of the called operation, or "" if the header is
// missing or of another service.
func operation(r *http.Request) string {
	s, ok := strings.CutPrefix(r.Header.Get("X-Amz-Target"), targetPrefix)
	if !ok {
		return ""
	}
	return s
}
