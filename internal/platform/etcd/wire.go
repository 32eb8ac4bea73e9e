package etcd

// The messages of the JSON gateway of etcd v3, as far as this package uses them.
// 64-bit numbers are encoded as strings, keys and values as base64.

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
}

type rangeResponse struct {
	Kvs []keyValue `json:"kvs"`
}

type compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

type requestOp struct {
	RequestPut    *putRequest   `json:"request_put,omitempty"`
	RequestRange  *rangeRequest `json:"request_range,omitempty"`
	RequestDelete *rangeRequest `json:"request_delete_range,omitempty"`
}

type responseOp struct {
	ResponseRange *rangeResponse `json:"response_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare,omitempty"`
	Success []requestOp `json:"success"`
}

type header struct {
	Revision int64 `json:"revision,string"`
}

type txnResponse struct {
	Header    header       `json:"header"`
	Succeeded bool         `json:"succeeded"`
	Responses []responseOp `json:"responses"`
}

type watchCreate struct {
	Key           []byte `json:"key"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

type watchRequest struct {
	CreateRequest watchCreate `json:"create_request"`
}

type watchEvent struct {
	Type string   `json:"type"`
	Kv   keyValue `json:"kv"`
}

type watchResult struct {
	Created bool         `json:"created"`
	Events  []watchEvent `json:"events"`
}

type watchResponse struct {
	Result watchResult `json:"result"`
}

type leaseRequest struct {
	TTL int64 `json:"TTL,string,omitempty"`
	ID  int64 `json:"ID,string"`
}

type leaseResponse struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

type keepAliveResponse struct {
	Result leaseResponse `json:"result"`
}
