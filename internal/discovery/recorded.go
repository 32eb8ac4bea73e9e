package discovery

import (
	"strings"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/platform"
)

// recordedNode is a node that has a record.
type recordedNode struct{ id, address string }

// recordedNodes are those of the last read of the records.
type recordedNodes struct {
	mu     sync.Mutex
	nodes  []recordedNode
	readAt time.Time
}

func (r *recordedNodes) set(entries []platform.Entry) {
	nodes := make([]recordedNode, 0, len(entries))

	for _, e := range entries {
		if rec, err := DecodeRecord(e.Value); err == nil { // others were reported when they were read
			nodes = append(nodes, recordedNode{strings.TrimPrefix(e.Key, Prefix), rec.Address})
		}
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	r.nodes, r.readAt = nodes, time.Now()
}

// recent returns the nodes, unless their records may have expired since they were read.
func (r *recordedNodes) recent() []recordedNode {
	r.mu.Lock()
	defer r.mu.Unlock()

	if time.Since(r.readAt) > leaseTTL {
		return nil
	}

	return r.nodes
}
