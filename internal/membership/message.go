package membership

import (
	"net/http"

	"github.com/pollencart/pollencart/pkg/errs"
)

// Peer methods of membership.
const (
	// MethodExchange is a probe that carries news both ways.
	MethodExchange = "Member.Exchange"
	// MethodProbe asks another node to probe a third.
	MethodProbe = "Member.Probe"
	// MethodDigest and MethodRecords compare and repair.
	MethodDigest  = "Member.Digest"
	MethodRecords = "Member.Records"
)

// ErrBusy tells a node to compare later.
var ErrBusy = errs.New("membership.busy", http.StatusServiceUnavailable, "too many comparisons at the same time")

// maxNews bounds the changes in one message: some 1.5 KB, five messages a second
// at the most.
const maxNews = 8

// maxRecords bounds what one comparison moves, and what a message may hold.
const maxRecords = 512

// Exchange is a probe, and its answer.
type Exchange struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	From    string
	Address string
	Hash    uint64
	Version uint64
	Records []Record
	Beliefs []Belief
}

// Check reports whether a decoded message can be used.
func (e *Exchange) Check() error {
	if e.From == "" || len(e.Records) > maxRecords || len(e.Beliefs) > maxRecords {
		return ErrRecord.With("exchange from %q with %d records, %d beliefs", e.From, len(e.Records), len(e.Beliefs))
	}

	for i := range e.Beliefs {
		if err := e.Beliefs[i].Check(); err != nil {
			return err
		}
	}

	return checkAll(e.Records)
}

func checkAll(records []Record) error {
	for i := range records {
		if err := records[i].Check(); err != nil {
			return err
		}
	}

	return nil
}

// ProbeRequest asks to probe the node with the ID at the address.
type ProbeRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	ID      string
	Address string
}

// ProbeAnswer tells whether the node answered, and who asked it.
type ProbeAnswer struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	By       string
	Answered bool
}

// DigestRequest carries the digests of all buckets.
type DigestRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Sums []byte
}

// Check reports whether a decoded message can be used.
func (d *DigestRequest) Check() error {
	if len(d.Sums) != buckets*sumBytes {
		return ErrRecord.With("%d bytes of digests", len(d.Sums))
	}

	return nil
}

// DigestAnswer carries the entries of buckets that differ.
type DigestAnswer struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Buckets []byte
	Entries []Entry
}

// RecordsRequest pushes what the other lacks and asks for what lacks here.
type RecordsRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	From    string
	Records []Record
	Want    []uint64
}

// Check reports whether a decoded message can be used.
func (r *RecordsRequest) Check() error {
	if r.From == "" || len(r.Records) > maxRecords || len(r.Want) > maxRecords {
		return ErrRecord.With("%d records, %d wanted", len(r.Records), len(r.Want))
	}

	return checkAll(r.Records)
}

// RecordsAnswer carries what was asked for.
type RecordsAnswer struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	From    string
	Records []Record
}

// Check reports whether a decoded message can be used.
func (r *RecordsAnswer) Check() error { return checkAll(r.Records) }
