package membership

import (
	"errors"
	"io"
	"net/http"

	"github.com/vmihailenco/msgpack/v5"

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
	// StoreEpoch is the newest epoch of the platform's store that the sender heard of, 0 if none.
	StoreEpoch uint64 `msgpack:"-"`
}

// exchange is the part of an exchange that all nodes read.
type exchange Exchange

// EncodeMsgpack writes the epoch behind the rest, where a node that does not know of it
// reads no further. An array with one more field would be refused there.
func (e Exchange) EncodeMsgpack(m *msgpack.Encoder) error {
	if err := m.Encode((*exchange)(&e)); err != nil {
		return err
	}

	return m.EncodeUint(e.StoreEpoch)
}

// DecodeMsgpack reads an exchange; without an epoch behind it none is known.
func (e *Exchange) DecodeMsgpack(m *msgpack.Decoder) error {
	if err := m.Decode((*exchange)(e)); err != nil {
		return err
	}

	number, err := m.DecodeUint64()
	if errors.Is(err, io.EOF) {
		number, err = 0, nil
	}

	e.StoreEpoch = number

	return err
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
