// Package key parses and creates idempotency keys that name their owner, the one process that may
// run them.
//
// Every answer of a node carries the name of its process in the header Pollencart-Home. A caller
// appends a dot and a token of its own to form a key:
//
//	pc1.nottm-a-browse-1.mjf2k0x1-9f8e7d6c5b4a3021.7.01JE2Z9T4S0W5Q8R6M3N1P7XKD
//
// The name consists of the node ID, the boot ID of the process and the generation of its records.
// Boot IDs are unique, so a process never accepts the keys of its predecessor on the same node.
// Generations are dropped as a whole, so a key of a dropped generation is detected as too old
// without a clock.
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

// ErrKey is returned for an invalid key.
var ErrKey = errs.New("once.key", http.StatusBadRequest, "Idempotency-Key not accepted")

// MaxLength bounds the length of a key, since the owner stores it with its record.
const MaxLength = 255

const (
	prefix      = "pc1."
	base        = 36
	randomBytes = 8
)

// Home names an owner process and a generation of its records.
type Home struct {
	Node       string
	BootID     string
	Generation uint64
}

// Key is a key that names its owner.
type Key struct {
	Home  Home
	Token string
}

// NewBootID returns a unique boot ID for a process. The incarnation alone is not unique, since it
// comes from a wall clock that can be set back; two processes with the same boot ID would both run
// a key.
func NewBootID(incarnation uint64) string {
	var b [randomBytes]byte

	_, _ = rand.Read(b[:]) // never fails

	return strconv.FormatUint(incarnation, base) + "-" + hex.EncodeToString(b[:])
}

// String returns the name in the form that the header carries.
func (h Home) String() string {
	return prefix + h.Node + "." + h.BootID + "." + strconv.FormatUint(h.Generation, 10)
}

// Key returns the key made of the name and a caller's token.
func (h Home) Key(token string) string { return h.String() + "." + token }

// Check validates the length of a key, whether it names its owner or is opaque.
func Check(text string) error {
	if text == "" || len(text) > MaxLength {
		return ErrKey.With("want 1 to %d bytes, got %d", MaxLength, len(text))
	}

	return nil
}

// Parse splits a key that names its owner; false means that the key is opaque. It parses from the
// end, since a node ID may contain dots.
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

	node, bootID, ok := cutLast(rest)
	if !ok || node == "" || bootID == "" {
		return Key{}, false
	}

	return Key{Home: Home{Node: node, BootID: bootID, Generation: generation}, Token: token}, true
}

func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, '.')
	if i < 0 {
		return s, "", false
	}

	return s[:i], s[i+1:], true
}
