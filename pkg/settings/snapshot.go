package settings

import (
	"maps"
	"slices"
	"time"
)

// Version identifies an accepted tree.
type Version struct {
	Number       uint64            `json:"Number" msgpack:"Number"`
	Digest       Digest            `json:"Digest" msgpack:"Digest"`
	AcceptanceID string            `json:"AcceptanceID" msgpack:"AcceptanceID"`
	AcceptedAt   time.Time         `json:"AcceptedAt" msgpack:"AcceptedAt"`
	Operator     string            `json:"Operator,omitempty" msgpack:"Operator,omitempty"`
	Message      string            `json:"Message,omitempty" msgpack:"Message,omitempty"`
	Branches     map[string]Digest `json:"Branches,omitempty" msgpack:"Branches,omitempty"`
}

// Snapshot is one accepted version of the tree. It is complete and immutable.
type Snapshot struct {
	version Version
	records Records
	nodes   map[string]Branch
	tree    Tree
	index   index
}

// NewSnapshot verifies the complete set of records against the digest of the version,
// validates the tree and returns the snapshot.
//
// A partial or mixed set of records would route calls by rules that no operator
// accepted; the digest detects this before a node activates the snapshot.
func NewSnapshot(v Version, records Records) (*Snapshot, error) {
	nodes, err := records.nodes()
	if err != nil {
		return nil, err
	}

	return newSnapshot(v, records, nodes, records.Digests())
}

// Apply returns a new snapshot with some branches changed or removed, verified like
// one from NewSnapshot. It decodes and hashes only the changed branches, so that a
// change of one route in a large tree costs little on each node.
func (s *Snapshot) Apply(v Version, changed Records, removed []string) (*Snapshot, error) {
	decoded, err := changed.nodes()
	if err != nil {
		return nil, err
	}

	records, nodes, digests := maps.Clone(s.records), maps.Clone(s.nodes), maps.Clone(s.version.Branches)
	maps.Copy(records, changed)
	maps.Copy(nodes, decoded)
	maps.Copy(digests, changed.Digests())

	for _, path := range removed {
		delete(records, path)
		delete(nodes, path)
		delete(digests, path)
	}

	return newSnapshot(v, records, nodes, digests)
}

func newSnapshot(v Version, records Records, nodes map[string]Branch, digests map[string]Digest) (*Snapshot, error) {
	if got := TreeDigest(digests); got != v.Digest {
		return nil, ErrRecord.With("version %d has digest %s, records have %s", v.Number, v.Digest, got)
	}

	tree, err := assemble(nodes)
	if err != nil {
		return nil, err
	}

	if err := tree.CheckErr(); err != nil {
		return nil, err
	}

	v.Branches = digests

	return &Snapshot{version: v, records: records, nodes: nodes, tree: tree, index: newIndex(tree.Resolve())}, nil
}

// Version returns the version.
func (s *Snapshot) Version() Version { return s.version }

// Records returns the records; callers must not change them.
func (s *Snapshot) Records() Records { return s.records }

// Tree returns the tree; callers must not change it.
func (s *Snapshot) Tree() Tree { return s.tree }

// UnknownService returns the path of the first route whose service is not declared,
// or an empty string. NewSnapshot rejects such trees, so a path is an invariant
// violation.
func (s *Snapshot) UnknownService() string {
	known := s.tree.Services()

	for _, r := range s.tree.Resolve() {
		if _, ok := known[r.Values.Service]; !ok {
			return r.Path
		}
	}

	return ""
}

// Match returns the route of the method with the longest matching path prefix.
func (s *Snapshot) Match(method, path string) (Resolved, bool) {
	return s.index.match(method, path)
}

// Paths returns the sorted paths of all branches.
func (s *Snapshot) Paths() []string { return slices.Sorted(maps.Keys(s.records)) }
