package storage

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/catkingap/catkingap/ident"
)

// The messages of the table follow the JSON mapping of the etcd v3 key-value
// API: keys and values are in base64, 64-bit integers are strings.

// Int64 is a 64-bit integer that is encoded as a string in JSON.
type Int64 int64

// MarshalJSON implements json.Marshaler.
func (i Int64) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(i), 10) + `"`), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (i *Int64) UnmarshalJSON(data []byte) error {
	if len(data) >= 2 && data[0] == '"' {
		data = data[1 : len(data)-1]
	}
	n, err := strconv.ParseInt(string(data), 10, 64)
	*i = Int64(n)
	return err
}

// The names of compare targets and results.
const (
	CompareMod   = "MOD"
	CompareEqual = "EQUAL"
)

// Compare is a condition of a transaction.
type Compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision Int64  `json:"mod_revision"`
}

// RangeRequest reads rows.
type RangeRequest struct {
	Key          []byte `json:"key"`
	RangeEnd     []byte `json:"range_end,omitempty"`
	Limit        Int64  `json:"limit,omitempty"`
	Serializable bool   `json:"serializable,omitempty"`
	// MinModRevision excludes rows that were last written before it.
	MinModRevision Int64 `json:"min_mod_revision,omitempty"`
}

// PutRequest writes a row.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
}

// DeleteRangeRequest deletes rows.
type DeleteRangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RequestOp is one operation of a transaction.
type RequestOp struct {
	RequestRange       *RangeRequest       `json:"request_range,omitempty"`
	RequestPut         *PutRequest         `json:"request_put,omitempty"`
	RequestDeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
	RequestTxn         *TxnRequest         `json:"request_txn,omitempty"`
}

// TxnRequest is a transaction.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// Header starts each response.
type Header struct {
	Revision Int64 `json:"revision"`
}

// KeyValue is a row in a response.
type KeyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision Int64  `json:"mod_revision"`
}

// RangeResponse answers a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
}

// ResponseOp answers a RequestOp.
type ResponseOp struct {
	ResponseRange       *RangeResponse `json:"response_range,omitempty"`
	ResponsePut         *struct{}      `json:"response_put,omitempty"`
	ResponseDeleteRange *struct{}      `json:"response_delete_range,omitempty"`
	ResponseTxn         *TxnResponse   `json:"response_txn,omitempty"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// The paths of the table's API.
const (
	PathRange = "/v3/kv/range"
	PathTxn   = "/v3/kv/txn"
)

// RemoteTable is a client of the table over HTTP.
type RemoteTable struct {
	client *http.Client
	url    string
}

// NewRemoteTable returns a client of the table at the base URL url.
func NewRemoteTable(client *http.Client, url string) *RemoteTable {
	return &RemoteTable{client: client, url: url}
}

// Commit implements Table.
func (t *RemoteTable) Commit(ctx context.Context, writes []Write) ([]Result, error) {
	request := TxnRequest{Success: make([]RequestOp, 0, len(writes))}
	for _, w := range writes {
		request.Success = append(request.Success, RequestOp{RequestTxn: encodeWrite(w)})
	}
	var response TxnResponse
	if err := t.call(ctx, PathTxn, request, &response); err != nil {
		return nil, err
	}
	if len(response.Responses) != len(writes) {
		return nil, errors.Newf("table answered %d of %d writes", len(response.Responses), len(writes))
	}
	results := make([]Result, 0, len(writes))
	for _, r := range response.Responses {
		if r.ResponseTxn == nil {
			return nil, errors.New("table answered without the result of a write")
		}
		results = append(results, decodeResult(response.Header, r.ResponseTxn))
	}
	return results, nil
}

// Get implements Table.
func (t *RemoteTable) Get(ctx context.Context, key string) (*Row, ident.Revision, error) {
	var response RangeResponse
	if err := t.call(ctx, PathRange, RangeRequest{Key: []byte(key)}, &response); err != nil {
		return nil, 0, err
	}
	revision := ident.Revision(response.Header.Revision)
	if len(response.KVs) == 0 {
		return nil, revision, nil
	}
	row := decodeRow(response.KVs[0])
	return &row, revision, nil
}

// List implements Table.
func (t *RemoteTable) List(ctx context.Context, prefix, after string, limit int) ([]Row, ident.Revision, error) {
	start := []byte(prefix)
	if after != "" {
		start = append([]byte(after), 0)
	}
	request := RangeRequest{Key: start, RangeEnd: prefixEnd(prefix), Limit: Int64(limit)}
	var response RangeResponse
	if err := t.call(ctx, PathRange, request, &response); err != nil {
		return nil, 0, err
	}
	return decodeRows([]Row{}, response.KVs), ident.Revision(response.Header.Revision), nil
}

// ListChanged implements Table.
func (t *RemoteTable) ListChanged(ctx context.Context, r Read) ([]Row, error) {
	var response RangeResponse
	if err := t.call(ctx, PathRange, encodeRead(r), &response); err != nil {
		return nil, err
	}
	return decodeRows(nil, response.KVs), nil
}

func (t *RemoteTable) call(ctx context.Context, path string, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return &NotSentError{Cause: err}
	}
	data, err := roundTrip(ctx, t.client, http.MethodPost, t.url+path, body)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(data, response), "table's answer")
}

func encodeWrite(w Write) *TxnRequest {
	txn := &TxnRequest{}
	for _, c := range w.Conditions {
		txn.Compare = append(txn.Compare, Compare{
			Key: []byte(c.Key), Target: CompareMod, Result: CompareEqual, ModRevision: Int64(c.Revision),
		})
		txn.Failure = append(txn.Failure, RequestOp{RequestRange: &RangeRequest{Key: []byte(c.Key)}})
	}
	for _, p := range w.Puts {
		txn.Success = append(txn.Success, RequestOp{RequestPut: &PutRequest{Key: []byte(p.Key), Value: p.Value}})
	}
	for _, k := range w.Deletes {
		txn.Success = append(txn.Success, RequestOp{RequestDeleteRange: &DeleteRangeRequest{Key: []byte(k)}})
	}
	for _, r := range w.Reads {
		request := encodeRead(r)
		txn.Success = append(txn.Success, RequestOp{RequestRange: &request})
	}
	return txn
}

func encodeRead(r Read) RangeRequest {
	request := RangeRequest{Key: []byte(r.Prefix), RangeEnd: prefixEnd(r.Prefix)}
	if r.After > 0 {
		request.MinModRevision = Int64(r.After) + 1
	}
	return request
}

func decodeResult(header Header, txn *TxnResponse) Result {
	result := Result{Applied: txn.Succeeded, Revision: ident.Revision(header.Revision)}
	var rows []Row
	for _, r := range txn.Responses {
		if r.ResponseRange != nil {
			rows = decodeRows(rows, r.ResponseRange.KVs)
		}
	}
	if txn.Succeeded {
		result.Rows = rows
	} else {
		result.Current = rows
	}
	return result
}

// decodeRows appends the rows of kvs to rows.
func decodeRows(rows []Row, kvs []KeyValue) []Row {
	for _, kv := range kvs {
		rows = append(rows, decodeRow(kv))
	}
	return rows
}

func decodeRow(kv KeyValue) Row {
	return Row{Key: string(kv.Key), Value: kv.Value, Revision: ident.Revision(kv.ModRevision)}
}

// prefixEnd returns the end of the range of keys that start with prefix: the first key
// after all of them, or one zero byte if there is no such key.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
