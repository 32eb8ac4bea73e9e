package ledger

import "time"

// Use is the use of a workspace's limit by this home's count.
type Use struct {
	Workspace string  `json:"Workspace"`
	Rate      float64 `json:"Rate"`
	Burst     float64 `json:"Burst"`
	Version   uint64  `json:"Version"`
	// Share is the part of the limit that is delegated to this home. Granted is the number of calls
	// granted in the last window, Room that of calls that may run at once.
	Share         float64 `json:"Share"`
	Granted       int     `json:"Granted"`
	Room          int     `json:"Room"`
	WindowSeconds float64 `json:"WindowSeconds"`
}

// Uses returns the use of all limits that this home has counted lately, unordered.
func (l *Ledger) Uses() []Use {
	l.mu.Lock()
	defer l.mu.Unlock()

	now := time.Now()
	out := make([]Use, 0, len(l.buckets))

	for name, b := range l.buckets {
		b.refill(now)
		b.count(0, now)
		out = append(out, Use{
			Workspace: name, Rate: b.limit.Rate, Burst: b.limit.Burst, Version: b.limit.Version, Share: b.share,
			Granted: b.counted(), Room: int(b.tokens), WindowSeconds: l.bound.Window.Seconds(),
		})
	}

	return out
}
