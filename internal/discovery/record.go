package discovery

import (
	"encoding/json"
	"net/http"
	"net/netip"

	"github.com/pollencart/pollencart/pkg/errs"
)

// Record is the value stored under a node's key.
type Record struct {
	Address       string `json:"Address"`
	FailureDomain string `json:"FailureDomain"`
}

// ErrRecord is returned for a record without a usable address.
var ErrRecord = errs.New("rendezvous.record", http.StatusUnprocessableEntity, "record not understood")

// DecodeRecord decodes and validates a node's record. Other writers may store values below
// Prefix.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, ErrRecord.Wrap(err)
	}

	if _, err := netip.ParseAddrPort(r.Address); err != nil {
		return Record{}, ErrRecord.With("address %q", r.Address)
	}

	return r, nil
}
