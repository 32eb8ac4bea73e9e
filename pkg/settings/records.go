package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/pollencart/pollencart/internal/nesting"

	"github.com/pollencart/pollencart/pkg/errs"
)

// ErrRecord is returned for records that do not make up a tree.
var ErrRecord = errs.New("settings.record", http.StatusUnprocessableEntity, "records do not make up a tree")

// Digest is the content hash of a record: SHA-256 truncated to 128 bits, in hex.
type Digest string

// DigestOf returns the digest of data.
func DigestOf(data []byte) Digest {
	sum := sha256.Sum256(data)

	return Digest(hex.EncodeToString(sum[:16]))
}

// Records holds the encoded branches of a tree by path.
type Records map[string][]byte

// Records encodes each branch of the tree. The encoding is deterministic, so that
// equal branches have equal digests on every node.
func (t Tree) Records() (Records, error) {
	records := Records{}

	var failed error

	t.Walk(func(path string, b Branch) {
		data, err := encode(b)
		if err != nil {
			failed = err
		}

		records[path] = data
	})

	return records, failed
}

// record is the encoded form of a branch without its child branches. Routes are a
// sorted list, since a varying map order would change the digest.
type record struct {
	Region    *Region      `msgpack:"Region,omitempty"`
	Service   *Service     `msgpack:"Service,omitempty"`
	Overrides Overrides    `msgpack:"Overrides"`
	Routes    []namedRoute `msgpack:"Routes,omitempty"`
}

type namedRoute struct {
	Name  string `msgpack:"Name"`
	Route Route  `msgpack:"Route"`
}

func encode(b Branch) ([]byte, error) {
	r := record{Region: b.Region, Service: b.Service, Overrides: b.Overrides}
	for _, name := range slices.Sorted(maps.Keys(b.Routes)) {
		r.Routes = append(r.Routes, namedRoute{Name: name, Route: b.Routes[name]})
	}

	data, err := msgpack.Marshal(r)
	if err != nil {
		return nil, ErrRecord.Wrap(err)
	}

	return data, nil
}

func decode(path string, data []byte) (Branch, error) {
	var r record
	if err := nesting.UnmarshalMsgpack(data, &r); err != nil {
		return Branch{}, ErrRecord.With("/%s", path).Wrap(err)
	}

	b := Branch{Region: r.Region, Service: r.Service, Overrides: r.Overrides}
	if len(r.Routes) > 0 {
		b.Routes = make(map[string]Route, len(r.Routes))
	}

	for _, leaf := range r.Routes {
		b.Routes[leaf.Name] = leaf.Route
	}

	return b, nil
}

// Digests returns the digest of each record by path.
func (r Records) Digests() map[string]Digest {
	out := make(map[string]Digest, len(r))
	for path, data := range r {
		out[path] = DigestOf(data)
	}

	return out
}

// TreeDigest returns one digest over the paths and digests of all branches.
func TreeDigest(branches map[string]Digest) Digest {
	var b strings.Builder

	for _, path := range slices.Sorted(maps.Keys(branches)) {
		b.WriteString(path)
		b.WriteByte(0)
		b.WriteString(string(branches[path]))
		b.WriteByte('\n')
	}

	return DigestOf([]byte(b.String()))
}

// Tree decodes the records and assembles the tree.
func (r Records) Tree() (Tree, error) {
	nodes, err := r.nodes()
	if err != nil {
		return Tree{}, err
	}

	return assemble(nodes)
}

// nodes decodes each record into a branch without child branches.
func (r Records) nodes() (map[string]Branch, error) {
	nodes := make(map[string]Branch, len(r))

	for path, data := range r {
		b, err := decode(path, data)
		if err != nil {
			return nil, err
		}

		nodes[path] = b
	}

	return nodes, nil
}

// assemble builds a tree from decoded branches without modifying them.
func assemble(nodes map[string]Branch) (Tree, error) {
	if _, ok := nodes[RootPath]; !ok {
		return Tree{}, ErrRecord.With("the root is missing")
	}

	children := map[string][]string{}

	for path := range nodes {
		if path == RootPath {
			continue
		}

		parent := parentOf(path)
		if _, ok := nodes[parent]; !ok {
			return Tree{}, ErrRecord.With("%s has no parent", path)
		}

		children[parent] = append(children[parent], path)
	}

	return Tree{Branch: withChildren(RootPath, nodes, children)}, nil
}

func withChildren(path string, nodes map[string]Branch, children map[string][]string) Branch {
	b := nodes[path]

	if len(children[path]) > 0 {
		b.Branches = make(map[string]Branch, len(children[path]))
	}

	for _, child := range children[path] {
		b.Branches[lastName(child)] = withChildren(child, nodes, children)
	}

	return b
}

func parentOf(path string) string {
	i := strings.LastIndexByte(path, '/')
	if i < 0 {
		return RootPath
	}

	return path[:i]
}
