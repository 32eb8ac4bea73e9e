package timeline

import (
	"cmp"
	"sync"
	"time"
)

// Stamp is a time of the hybrid logical clock.
type Stamp struct {
	WallMs  int64  `json:"WallMs" msgpack:"WallMs"`
	Logical uint32 `json:"Logical" msgpack:"Logical"`
}

// Compare orders stamps.
func (s Stamp) Compare(o Stamp) int {
	if c := cmp.Compare(s.WallMs, o.WallMs); c != 0 {
		return c
	}

	return cmp.Compare(s.Logical, o.Logical)
}

// Clock is a hybrid logical clock: a stamp taken after a message arrived is
// higher than the stamp that the message carried, however the hosts' clocks
// differ, so that causes come before effects on the merged time line.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Now returns a stamp higher than all before.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.advance(Stamp{WallMs: time.Now().UnixMilli()})

	return c.last
}

// Observe takes the stamp of a received message into account.
func (c *Clock) Observe(remote Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if remote.Compare(c.last) > 0 {
		c.last = remote
	}
}

func (c *Clock) advance(wall Stamp) {
	if wall.Compare(c.last) > 0 {
		c.last = wall

		return
	}

	c.last.Logical++
}
