package table

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/cockroachdb/errors"
)

// Names of the attributes of an item. attrSpace is the partition key, attrKey the
// sort key.
const (
	attrSpace   = "space"
	attrKey     = "row-key"
	attrVersion = "version"
	attrValue   = "value"
	attrTxns    = "txns"
)

// DynamoConfig is the configuration of a Dynamo.
type DynamoConfig struct {
	// URL is the URL of the service, such as "http://127.0.0.1:8000".
	URL string
	// Table is the name of the table.
	Table string
	// Space is the partition key of all rows; if empty, it is "rows".
	Space string
	// Timeout limits the duration of each call; if 0, it is one second.
	Timeout time.Duration
}

// Dynamo is a Store that uses the DynamoDB protocol. Create one with NewDynamo.
type Dynamo struct {
	config    DynamoConfig
	transport *http.Transport
	client    *dynamodb.Client
}

// NewDynamo returns a client of the table. It opens no connection. It returns an
// error if the URL has no http or https scheme or no host.
func NewDynamo(c DynamoConfig) (*Dynamo, error) {
	u, err := url.Parse(c.URL)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return nil, errors.Newf("table service URL %q does not have an http or https scheme and a host", c.URL)
	}
	if c.Space == "" {
		c.Space = "rows"
	}
	if c.Timeout <= 0 {
		c.Timeout = time.Second
	}
	t := &http.Transport{
		DialContext: (&net.Dialer{Timeout: c.Timeout}).DialContext,
		// An instance makes few calls at a time, so more idle connections would
		// only use memory.
		MaxIdleConns: 4, MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second,
		DisableCompression: true,
	}
	d := &Dynamo{config: c, transport: t}
	d.client = dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(c.URL),
		Region:       "local",
		Credentials:  credentials.NewStaticCredentialsProvider("dandelionrock", "dandelionrock", ""),
		HTTPClient: &http.Client{
			Transport: bodyCopier{t},
			// A redirect would send a write a second time.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		// Settle retries writes. A retry inside the SDK would hide a lost reply
		// from it.
		Retryer: aws.NopRetryer{},
	})
	return d, nil
}

// Close closes the idle connections.
func (d *Dynamo) Close() { d.transport.CloseIdleConnections() }

// Read implements Store with one TransactGetItems call.
func (d *Dynamo) Read(c context.Context, keys ...Key) ([]Row, error) {
	if len(keys) > MaxItems {
		return nil, errors.Wrapf(ErrInvalid, "read of %d keys, more than %d", len(keys), MaxItems)
	}
	if len(keys) == 0 {
		return nil, nil
	}
	c, stop := context.WithTimeout(c, d.config.Timeout)
	defer stop()
	var l []types.TransactGetItem
	for _, k := range keys {
		l = append(l, types.TransactGetItem{Get: &types.Get{TableName: &d.config.Table, Key: d.key(k)}})
	}
	o, err := d.client.TransactGetItems(c, &dynamodb.TransactGetItemsInput{TransactItems: l})
	if err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "read: %v", err)
	}
	if len(o.Responses) != len(keys) {
		return nil, errors.Wrapf(ErrUnavailable, "read returned %d items for %d keys", len(o.Responses), len(keys))
	}
	r := make([]Row, len(keys))
	for i, x := range o.Responses {
		if r[i], err = decodeRow(x.Item); err != nil {
			return nil, err
		}
		if r[i].Key != keys[i] && r[i].Version != 0 {
			return nil, errors.Wrapf(ErrUnavailable, "read returned row %q for key %q", r[i].Key, keys[i])
		}
		r[i].Key = keys[i]
	}
	return r, nil
}

// Scan implements Store with one Query call for each page.
func (d *Dynamo) Scan(c context.Context, prefix Key) ([]Row, error) {
	var r []Row
	err := d.forEachItem(c, d.query(prefix), func(m map[string]types.AttributeValue) error {
		w, err := decodeRow(m)
		r = append(r, w)
		return err
	})
	if err != nil {
		return nil, err
	}
	return r, nil
}

// Versions implements Store with one Query call for each page, whose reply holds
// only the keys and versions.
func (d *Dynamo) Versions(c context.Context, prefix Key) (map[Key]Version, error) {
	q := d.query(prefix)
	q.ProjectionExpression = aws.String("#k, #v")
	q.ExpressionAttributeNames["#k"], q.ExpressionAttributeNames["#v"] = attrKey, attrVersion
	r := make(map[Key]Version)
	err := d.forEachItem(c, q, func(m map[string]types.AttributeValue) error {
		k, v, err := decodeVersion(m)
		r[k] = v
		return err
	})
	if err != nil {
		return nil, err
	}
	return r, nil
}

// forEachItem calls f for each item that a query finds. It stops at the first error
// of f and returns it.
func (d *Dynamo) forEachItem(c context.Context, q *dynamodb.QueryInput, f func(m map[string]types.AttributeValue) error) error {
	for {
		o, err := d.queryPage(c, q)
		if err != nil {
			return errors.Wrapf(ErrUnavailable, "scan: %v", err)
		}
		for _, x := range o.Items {
			if err := f(x); err != nil {
				return err
			}
		}
		if len(o.LastEvaluatedKey) == 0 {
			return nil
		}
		q.ExclusiveStartKey = o.LastEvaluatedKey
	}
}

// query returns the consistent query for all rows whose key begins with the prefix.
func (d *Dynamo) query(prefix Key) *dynamodb.QueryInput {
	q := &dynamodb.QueryInput{
		TableName:                &d.config.Table,
		ConsistentRead:           aws.Bool(true),
		KeyConditionExpression:   aws.String("#s = :s"),
		ExpressionAttributeNames: map[string]string{"#s": attrSpace},
		ExpressionAttributeValues: map[string]types.AttributeValue{
			":s": &types.AttributeValueMemberS{Value: d.config.Space},
		},
	}
	if prefix != "" { // DynamoDB rejects an empty operand of begins_with
		q.KeyConditionExpression = aws.String("#s = :s AND begins_with(#k, :p)")
		q.ExpressionAttributeNames["#k"] = attrKey
		q.ExpressionAttributeValues[":p"] = &types.AttributeValueMemberS{Value: string(prefix)}
	}
	return q
}

// queryPage reads one page of a query.
func (d *Dynamo) queryPage(c context.Context, q *dynamodb.QueryInput) (*dynamodb.QueryOutput, error) {
	c, stop := context.WithTimeout(c, d.config.Timeout)
	defer stop()
	return d.client.Query(c, q)
}

// Commit implements Store with one TransactWriteItems call whose
// ClientRequestToken is the ID of the transaction.
func (d *Dynamo) Commit(c context.Context, t Txn) error {
	if err := t.Validate(); err != nil {
		return err
	}
	c, stop := context.WithTimeout(c, d.config.Timeout)
	defer stop()
	var s atomic.Bool
	c = httptrace.WithClientTrace(c, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { s.Store(true) },
	})
	_, err := d.client.TransactWriteItems(c, &dynamodb.TransactWriteItemsInput{
		TransactItems: d.writeItems(t), ClientRequestToken: aws.String(string(t.ID)),
	})
	if err == nil {
		return nil
	}
	return errors.Wrapf(classify(err, s.Load()), "transaction %s: %v", t.ID, err)
}

// writeItems returns the conditional writes and the checks of t.
func (d *Dynamo) writeItems(t Txn) []types.TransactWriteItem {
	var l []types.TransactWriteItem
	for i, r := range t.Rows() {
		e, n, v := condition(t.Puts[i].Version)
		l = append(l, types.TransactWriteItem{Put: &types.Put{
			TableName: &d.config.Table, Item: d.item(r),
			ConditionExpression: e, ExpressionAttributeNames: n, ExpressionAttributeValues: v,
		}})
	}
	for _, x := range t.Checks {
		e, n, v := condition(x.Version)
		l = append(l, types.TransactWriteItem{ConditionCheck: &types.ConditionCheck{
			TableName: &d.config.Table, Key: d.key(x.Key),
			ConditionExpression: e, ExpressionAttributeNames: n, ExpressionAttributeValues: v,
		}})
	}
	return l
}

// condition returns the condition expression that a row has version v, with its
// attribute names and values.
func condition(v Version) (*string, map[string]string, map[string]types.AttributeValue) {
	n := map[string]string{"#v": attrVersion}
	if v == 0 {
		return aws.String("attribute_not_exists(#v)"), n, nil
	}
	return aws.String("#v = :v"), n, map[string]types.AttributeValue{":v": number(v)}
}

// key returns the primary key of a row.
func (d *Dynamo) key(k Key) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		attrSpace: &types.AttributeValueMemberS{Value: d.config.Space},
		attrKey:   &types.AttributeValueMemberS{Value: string(k)},
	}
}

// item encodes a row as an item.
func (d *Dynamo) item(r Row) map[string]types.AttributeValue {
	var l []types.AttributeValue
	for _, x := range r.Txns {
		l = append(l, &types.AttributeValueMemberS{Value: string(x)})
	}
	m := d.key(r.Key)
	m[attrVersion] = number(r.Version)
	m[attrValue] = &types.AttributeValueMemberB{Value: append([]byte{}, r.Value...)}
	m[attrTxns] = &types.AttributeValueMemberL{Value: l}
	return m
}

// number encodes a version as an attribute value.
func number(v Version) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(uint64(v), 10)}
}

// decodeVersion returns the key and the version of the row in an item. The error
// wraps ErrUnavailable.
func decodeVersion(m map[string]types.AttributeValue) (Key, Version, error) {
	k, ok := m[attrKey].(*types.AttributeValueMemberS)
	n, okn := m[attrVersion].(*types.AttributeValueMemberN)
	if !ok || !okn {
		return "", 0, errors.Wrap(ErrUnavailable, "item has no row key or no version")
	}
	v, err := strconv.ParseUint(n.Value, 10, 64)
	if err != nil {
		return "", 0, errors.Wrapf(ErrUnavailable, "row %s has the invalid version %q", k.Value, n.Value)
	}
	return Key(k.Value), Version(v), nil
}

// decodeRow returns the row in an item, or a row with version 0 if the item is
// empty. The error wraps ErrUnavailable.
func decodeRow(m map[string]types.AttributeValue) (Row, error) {
	var r Row
	if len(m) == 0 {
		return r, nil
	}
	k, v, err := decodeVersion(m)
	if err != nil {
		return r, err
	}
	b, okb := m[attrValue].(*types.AttributeValueMemberB)
	l, okl := m[attrTxns].(*types.AttributeValueMemberL)
	if !okb || !okl {
		return r, errors.Wrapf(ErrUnavailable, "row %s has no value or no transaction IDs", k)
	}
	r = Row{Key: k, Version: v, Value: b.Value}
	for _, x := range l.Value {
		s, ok := x.(*types.AttributeValueMemberS)
		if !ok {
			return r, errors.Wrapf(ErrUnavailable, "row %s has a transaction ID that is not a string", k)
		}
		r.Txns = append(r.Txns, TxnID(s.Value))
	}
	return r, nil
}
