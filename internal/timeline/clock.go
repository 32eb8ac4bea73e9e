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

// Compare orders stamps by wall time, then by the logical part.
func (s Stamp) Compare(o Stamp) int {
	if c := cmp.Compare(s.WallMs, o.WallMs); c != 0 {
		return c
	}

	return cmp.Compare(s.Logical, o.Logical)
}

// Clock is a hybrid logical clock: a stamp taken after a message was received is
// higher than the stamp in the message, however much the clocks of the hosts differ.
// On the merged time line causes therefore come before effects.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Now returns a stamp higher than all earlier ones.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.advance(Stamp{WallMs: time.Now().UnixMilli()})

	return c.last
}

// Observe raises the clock to the stamp of a received message.
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
