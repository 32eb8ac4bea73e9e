package membership

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of buckets into which records are divided for comparison. At 4,300
// nodes a bucket holds some 17 records, so repairing one record costs a kilobyte of bucket
// digests and a few hundred bytes of entries instead of the whole table.
const bucketCount = 256

// digest is a hash over the records of live nodes. Dead and left nodes are excluded, because
// each node forgets them at a different time.
type digest struct {
	sums  [bucketCount]uint64
	total uint64
}

func (d *digest) replace(old, r Record) {
	d.toggle(old)
	d.toggle(r)
}

func (d *digest) toggle(r Record) {
	if !r.Live() {
		return
	}

	h := recordHash(r)
	d.sums[bucketOf(r.ID)] ^= h
	d.total ^= h
}

func recordHash(r Record) uint64 {
	var buf [24]byte

	binary.BigEndian.PutUint64(buf[:], xxhash.Sum64String(r.ID))
	binary.BigEndian.PutUint64(buf[8:], r.Epoch)
	binary.BigEndian.PutUint64(buf[16:], r.Seq)

	return xxhash.Sum64(buf[:])
}

func bucketOf(id string) uint8 { return uint8(xxhash.Sum64String(id) % bucketCount) }

// Hash returns a hash over the records of live nodes; it is equal on two nodes that store the
// same records.
func (t *Table) Hash() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return t.digest.total
}

// sumBytes is the size of a bucket digest in a message.
const sumBytes = 4

// Sums returns the encoded digests of all buckets.
func (t *Table) Sums() []byte {
	t.mu.RLock()
	defer t.mu.RUnlock()

	out := make([]byte, 0, bucketCount*sumBytes)
	for _, s := range t.digest.sums {
		out = binary.BigEndian.AppendUint32(out, uint32(s))
	}

	return out
}

// Entry identifies the stored revision of a record during a comparison. Key is the hash of the
// node ID.
type Entry struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Key   uint64
	Epoch uint64
	Seq   uint64
	Live  bool
}

// Differing returns the buckets whose digests differ from those of another node, and the
// entries of these buckets. It stops at limit entries and leaves the remaining buckets to the
// next comparison.
func (t *Table) Differing(sums []byte, limit int) ([]byte, []Entry) {
	t.mu.RLock()
	defer t.mu.RUnlock()

	var differ []byte

	for i := range bucketCount {
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
	var in [bucketCount]bool

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

// Difference is the result of comparing the records of two nodes.
type Difference struct {
	// Push holds records that are missing or older on the other node, Want the keys of records
	// that are missing or older in this table.
	Push []Record
	Want []uint64
	// Disputed holds nodes that are dead in this table and live on the other node at the same
	// epoch and sequence number; a probe resolves which view is right.
	Disputed []string
}

// Compare returns the differences between the table and another node's entries of the chosen
// buckets.
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
	c := r.compareEpochSeq(Record{Epoch: e.Epoch, Seq: e.Seq})

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
		d.Disputed = append(d.Disputed, r.ID)
	}
}

// RecordsByKey returns the records with the keys.
func (t *Table) RecordsByKey(keys []uint64) []Record {
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
