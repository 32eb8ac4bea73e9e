package soak

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/standin/backend"
)

// told is what the callers of one key were told.
type told struct {
	answered int
	notRun   bool
}

// verify checks an answer against its request; a repeat gets the answer of the
// attempt that ran, which was of the same request.
func (c *callers) verify(data []byte, a attempt, path, body string) {
	var got backend.Answer

	err := json.Unmarshal(data, &got)
	sum := sha256.Sum256([]byte(body))
	own := err == nil && got.Echo == a.echo && got.Path == path && got.Digest == hex.EncodeToString(sum[:8])

	c.recorder.check(PromiseAnswersMatch, own, "%s %s: got %s", a.route.Path, a.echo, data)
}

func (c *callers) count(a attempt, o outcome) {
	c.recorder.add(func(r *Report) {
		r.Calls.Sent++

		switch {
		case o.ok:
			r.Calls.Answered++
		case o.ran == call.RanNo:
			r.Calls.NotRun++
		case o.ran == call.RanUnknown:
			r.Calls.Unknown++
		case o.ran == call.RanYes:
			r.Calls.Ran++
		default:
			r.Calls.NoAnswer++
		}
	})

	if a.key == "" {
		return
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	t := c.told[a.key]
	if t == nil {
		t = &told{}
		c.told[a.key] = t
	}

	if o.ok || o.ran == call.RanYes {
		t.answered++
	}

	t.notRun = t.notRun || o.ran == call.RanNo
}

// settle checks at the end what each key ran against what its callers were told.
func (c *callers) settle() {
	c.mu.Lock()
	defer c.mu.Unlock()

	for key, ran := range c.ledger.all() {
		c.recorder.check(PromiseKeyOnce, len(ran) <= 1, "key %s ran on %v", key, ran)
	}

	for key, t := range c.told {
		ran := c.ledger.ran(key)

		c.recorder.check(PromiseRan, t.answered == 0 || len(ran) > 0, "key %s was answered and never ran", key)

		if t.notRun {
			c.recorder.check(PromiseNotRun, len(ran) == 0, "key %s was told not-run and ran on %v", key, ran)
		}

		c.recorder.add(func(r *Report) {
			r.Calls.KeysRun += min(len(ran), 1)
			r.Calls.KeysAnswer += min(t.answered, 1)
		})
	}
}
