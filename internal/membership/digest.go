package membership

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// buckets is into how many parts the records are divided for comparison: at
// 4,300 nodes some 17 records each, so that one record that differs costs a
// kilobyte of bucket digests and a few hundred bytes of entries, not the table.
const buckets = 256

// digest is the sum of what is held of live nodes. Dead and left ones are not in
// it: each node forgets them at a time of its own, and that is no difference.
type digest struct {
	sums  [buckets]uint64
	total uint64
}

func (d *digest) replace(old, r Record) {
	d.flip(old)
	d.flip(r)
}

func (d *digest) flip(r Record) {
	if !r.Live() {
		return
	}

	h := hashOf(r)
	d.sums[bucketOf(r.ID)] ^= h
	d.total ^= h
}

func hashOf(r Record) uint64 {
	var buf [24]byte

	binary.BigEndian.PutUint64(buf[:], xxhash.Sum64String(r.ID))
	binary.BigEndian.PutUint64(buf[8:], r.Epoch)
	binary.BigEndian.PutUint64(buf[16:], r.Seq)

	return xxhash.Sum64(buf[:])
}

func bucketOf(id string) uint8 { return uint8(xxhash.Sum64String(id) % buckets) }

// Hash is equal on two nodes that hold the same records of live nodes.
func (t *Table) Hash() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return t.digest.total
}

// sumBytes is the size of a bucket's digest in a message.
const sumBytes = 4

// Sums returns the digests of all buckets as they are sent.
func (t *Table) Sums() []byte {
	t.mu.RLock()
	defer t.mu.RUnlock()

	out := make([]byte, 0, buckets*sumBytes)
	for _, s := range t.digest.sums {
		out = binary.BigEndian.AppendUint32(out, uint32(s))
	}

	return out
}

// Entry is the number of a record in the comparison of a bucket.
type Entry struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Key   uint64
	Epoch uint64
	Seq   uint64
	Live  bool
}

// Differing returns the buckets whose digests differ from those of another node,
// with the entries of these buckets; at most limit entries, the rest is for the
// next comparison.
func (t *Table) Differing(sums []byte, limit int) ([]byte, []Entry) {
	t.mu.RLock()
	defer t.mu.RUnlock()

	var differ []byte

	for i := range buckets {
		theirs := binary.BigEndian.Uint32(sums[i*sumBytes:])
		if theirs != uint32(t.digest.sums[i]) {
			differ = append(differ, uint8(i))
		}
	}

	byBucket := t.entries(differ)

	var (
		entries []Entry
		chosen  []byte
	)

	for _, b := range shuffled(differ) {
		if len(entries)+len(byBucket[b]) > limit && len(chosen) > 0 {
			break
		}

		chosen = append(chosen, b)
		entries = append(entries, byBucket[b]...)
	}

	return chosen, entries
}

func (t *Table) entries(wanted []byte) map[uint8][]Entry {
	var in [buckets]bool

	for _, b := range wanted {
		in[b] = true
	}

	out := map[uint8][]Entry{}

	for id, m := range t.members {
		if b := bucketOf(id); in[b] {
			r := m.record
			out[b] = append(out[b], Entry{Key: xxhash.Sum64String(id), Epoch: r.Epoch, Seq: r.Seq, Live: r.Live()})
		}
	}

	return out
}

// Difference is what two nodes hold differently.
type Difference struct {
	// Push are records that the other lacks or has older, Want the keys of those
	// that are lacking or older here.
	Push []Record
	Want []uint64
	// Doubt are nodes that are dead here and live there, at the same number:
	// one of the two is wrong, and only asking tells which.
	Doubt []string
}

// Compare returns how the table differs from another node's entries.
func (t *Table) Compare(chosen []byte, theirs []Entry) Difference {
	t.mu.RLock()
	defer t.mu.RUnlock()

	var d Difference

	byKey := make(map[uint64]Entry, len(theirs))
	for _, e := range theirs {
		byKey[e.Key] = e
	}

	for id, m := range t.members {
		if !slices.Contains(chosen, bucketOf(id)) {
			continue
		}

		key := xxhash.Sum64String(id)
		e, known := byKey[key]
		delete(byKey, key)
		d.add(m.record, key, e, known)
	}

	for key, e := range byKey {
		if e.Live {
			d.Want = append(d.Want, key)
		}
	}

	return d
}

func (d *Difference) add(r Record, key uint64, e Entry, known bool) {
	c := r.compareWritten(Record{Epoch: e.Epoch, Seq: e.Seq})

	switch {
	case !known:
		if r.Live() {
			d.Push = append(d.Push, r)
		}
	case c > 0:
		d.Push = append(d.Push, r)
	case c < 0:
		d.Want = append(d.Want, key)
	case r.State == StateDead && e.Live:
		d.Doubt = append(d.Doubt, r.ID)
	}
}

// Pick returns the records with the keys.
func (t *Table) Pick(keys []uint64) []Record {
	t.mu.RLock()
	defer t.mu.RUnlock()

	wanted := make(map[uint64]bool, len(keys))
	for _, k := range keys {
		wanted[k] = true
	}

	var out []Record

	for id, m := range t.members {
		if wanted[xxhash.Sum64String(id)] {
			out = append(out, m.record)
		}
	}

	return out
}
