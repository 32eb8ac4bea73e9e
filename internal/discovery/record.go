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

	// An address of a group, or of any host, would connect this node to itself or to nobody.
	a, err := netip.ParseAddrPort(r.Address)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		return Record{}, ErrRecord.With("address %q", r.Address)
	}

	return r, nil
}
