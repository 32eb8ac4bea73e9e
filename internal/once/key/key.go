// Package key reads and makes idempotency keys that name their home: the one
// process that may start them.
//
// Every answer of a node tells its home name in the header Pollencart-Home. A
// caller appends a dot and a token of its own, and has a key:
//
//	pc1.nottm-a-browse-1.mjf2k0x1-9f8e7d6c5b4a3021.7.01JE2Z9T4S0W5Q8R6M3N1P7XKD
//
// The name has the node's ID, the life of its process, and the generation of
// records. A life is unique: a process that is replaced never takes the keys of
// the one before it for its own. A generation is dropped as a whole; a key of a
// dropped one is known to be too old without any clock.
//
//	k, named := key.Parse(text)
//	text := home.Key(ulid.Make().String())
package key

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"

	"github.com/pollencart/pollencart/pkg/errs"
)

// ErrKey is returned for a key that can't be used.
var ErrKey = errs.New("once.key", http.StatusBadRequest, "Idempotency-Key not accepted")

// MaxLength bounds a key, since a home holds it for as long as its record.
const MaxLength = 255

const (
	prefix     = "pc1."
	base       = 36
	randomness = 8
)

// Home names a process and the generation of its records.
type Home struct {
	Node       string
	Life       string
	Generation uint64
}

// Key is a key that names its home.
type Key struct {
	Home  Home
	Token string
}

// NewLife names the life of a process. The incarnation alone comes from a wall
// clock that can be set back; two lives with one name would run a key twice, so
// the rest is random.
func NewLife(incarnation uint64) string {
	var b [randomness]byte

	_, _ = rand.Read(b[:]) // never fails

	return strconv.FormatUint(incarnation, base) + "-" + hex.EncodeToString(b[:])
}

// String returns the name as it stands in the header.
func (h Home) String() string {
	return prefix + h.Node + "." + h.Life + "." + strconv.FormatUint(h.Generation, 10)
}

// Key returns the key with a caller's token.
func (h Home) Key(token string) string { return h.String() + "." + token }

// Check reports whether any key, named or opaque, can be used.
func Check(text string) error {
	if text == "" || len(text) > MaxLength {
		return ErrKey.With("want 1 to %d bytes, got %d", MaxLength, len(text))
	}

	return nil
}

// Parse reads a key; false means that it names no home. It reads from the end,
// since a node's ID may have dots.
func Parse(text string) (Key, bool) {
	rest, ok := strings.CutPrefix(text, prefix)
	if !ok {
		return Key{}, false
	}

	rest, token, ok := cutLast(rest)
	if !ok || token == "" {
		return Key{}, false
	}

	rest, number, ok := cutLast(rest)
	if !ok {
		return Key{}, false
	}

	generation, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return Key{}, false
	}

	node, life, ok := cutLast(rest)
	if !ok || node == "" || life == "" {
		return Key{}, false
	}

	return Key{Home: Home{Node: node, Life: life, Generation: generation}, Token: token}, true
}

func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, '.')
	if i < 0 {
		return s, "", false
	}

	return s[:i], s[i+1:], true
}
