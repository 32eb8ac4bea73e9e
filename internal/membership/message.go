package membership

import (
	"errors"
	"io"
	"net/http"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/pollencart/pollencart/pkg/errs"
)

// Peer methods of the membership protocol.
const (
	// MethodExchange is a probe that carries changes in both directions.
	MethodExchange = "Member.Exchange"
	// MethodProbe asks a node to probe another one.
	MethodProbe = "Member.Probe"
	// MethodDigest and MethodRecords compare the tables of two nodes and repair differences.
	MethodDigest  = "Member.Digest"
	MethodRecords = "Member.Records"
)

// ErrBusy asks the peer to compare later.
var ErrBusy = errs.New("membership.busy", http.StatusServiceUnavailable, "too many comparisons at the same time")

// maxChanges bounds the changes in a message: some 1.5 KB, at most five messages a second.
const maxChanges = 8

// maxRecords bounds the records transferred in one step of a comparison, and the records and
// beliefs accepted in a message.
const maxRecords = 512

// Exchange is a probe or the reply to one.
type Exchange struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	From    string
	Address string
	Hash    uint64
	Version uint64
	Records []Record
	Beliefs []Belief
	// StoreEpoch is the latest epoch of the platform's store known to the sender, 0 if none.
	StoreEpoch uint64 `msgpack:"-"`
}

// exchangeBody is the part of an exchange that all versions of the program can decode.
type exchangeBody Exchange

// EncodeMsgpack writes the epoch after the array, where nodes that do not know the epoch stop
// reading. They would reject an array with an additional field.
func (e Exchange) EncodeMsgpack(m *msgpack.Encoder) error {
	if err := m.Encode((*exchangeBody)(&e)); err != nil {
		return err
	}

	return m.EncodeUint(e.StoreEpoch)
}

// DecodeMsgpack reads an exchange; the epoch is 0 if the message ends after the array.
func (e *Exchange) DecodeMsgpack(m *msgpack.Decoder) error {
	if err := m.Decode((*exchangeBody)(e)); err != nil {
		return err
	}

	number, err := m.DecodeUint64()
	if errors.Is(err, io.EOF) {
		number, err = 0, nil
	}

	e.StoreEpoch = number

	return err
}

// Check validates a decoded message.
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

// ProbeRequest asks for a probe of the node with the ID at the address.
type ProbeRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	ID      string
	Address string
}

// ProbeAnswer reports whether the node answered, and the ID of the node that probed it.
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

// Check validates a decoded message.
func (d *DigestRequest) Check() error {
	if len(d.Sums) != bucketCount*sumBytes {
		return ErrRecord.With("%d bytes of digests", len(d.Sums))
	}

	return nil
}

// DigestAnswer carries the entries of the buckets that differ.
type DigestAnswer struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Buckets []byte
	Entries []Entry
}

// RecordsRequest carries the records that the receiver lacks and the keys of the records that
// the sender lacks.
type RecordsRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	From    string
	Records []Record
	Want    []uint64
}

// Check validates a decoded message.
func (r *RecordsRequest) Check() error {
	if r.From == "" || len(r.Records) > maxRecords || len(r.Want) > maxRecords {
		return ErrRecord.With("%d records, %d wanted", len(r.Records), len(r.Want))
	}

	return checkAll(r.Records)
}

// RecordsAnswer carries the requested records.
type RecordsAnswer struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	From    string
	Records []Record
}

// Check validates a decoded message.
func (r *RecordsAnswer) Check() error { return checkAll(r.Records) }
