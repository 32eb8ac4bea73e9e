package platform

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"
)

type txnIn struct {
	Compare []txnCompare `json:"compare"`
	Success []txnOp      `json:"success"`
}

type txnCompare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

type txnOp struct {
	RequestPut   *txnPut  `json:"request_put"`
	RequestRange *rangeIn `json:"request_range"`
	RequestDrop  *rangeIn `json:"request_delete_range"`
}

type txnPut struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string"`
}

type txnOut struct {
	Header    wireHeader `json:"header"`
	Succeeded bool       `json:"succeeded"`
	Responses []txnRead  `json:"responses,omitempty"`
}

type txnRead struct {
	ResponseRange *rangeOut `json:"response_range,omitempty"`
}

func (t txnIn) writes() bool {
	for _, op := range t.Success {
		if op.RequestPut != nil || op.RequestDrop != nil {
			return true
		}
	}

	return false
}

func (p *Platform) txn(c echo.Context) error {
	var in txnIn
	if err := json.NewDecoder(c.Request().Body).Decode(&in); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}

	for _, op := range in.Success {
		if op.RequestPut != nil && len(op.RequestPut.Value) > MaxValue {
			return echo.NewHTTPError(http.StatusRequestEntityTooLarge, "request is too large")
		}
	}

	out, lose := p.apply(in)
	if lose {
		panic(http.ErrAbortHandler) // the connection ends without an answer
	}

	return c.JSON(http.StatusOK, out)
}

func (p *Platform) apply(in txnIn) (out txnOut, lose bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.expire()

	out = txnOut{Header: wireHeader{p.revision}, Succeeded: true}

	if !in.writes() {
		p.counts.Reads++

		for _, op := range in.Success {
			r := p.read(*op.RequestRange)
			out.Responses = append(out.Responses, txnRead{ResponseRange: &r})
		}

		return out, false
	}

	p.counts.Writes++

	loseWrite, loseAnswer := p.loses(in)
	if loseWrite {
		return out, true
	}

	for _, cmp := range in.Compare {
		if p.values[string(cmp.Key)].revision != cmp.ModRevision {
			out.Succeeded = false

			return out, false
		}
	}

	p.put(in)
	out.Header.Revision = p.revision

	return out, loseAnswer
}

// puts reports whether the write concerns a key with the prefix.
func (t txnIn) puts(prefix string) bool {
	return slices.ContainsFunc(t.Success, func(op txnOp) bool {
		return op.RequestPut != nil && bytes.HasPrefix(op.RequestPut.Key, []byte(prefix))
	})
}

// loses says what happens to the write at hand.
func (p *Platform) loses(in txnIn) (write, answer bool) {
	f := &p.faults

	switch {
	case f.Spared != "" && in.puts(f.Spared):
		return false, false
	case f.SpareWrites > 0:
		f.SpareWrites--

		return false, false
	case f.LoseWrites > 0:
		f.LoseWrites--

		write = true
	case f.LoseAnswers > 0:
		f.LoseAnswers--

		answer = true
	}

	if (write || answer) && f.DownAfterLoss && f.LoseWrites+f.LoseAnswers == 0 {
		f.Down = true
	}

	return write, answer
}

func (p *Platform) put(in txnIn) {
	p.revision++

	for _, op := range in.Success {
		if op.RequestPut != nil {
			p.values[string(op.RequestPut.Key)] = value{op.RequestPut.Value, p.revision, op.RequestPut.Lease}
		}

		if op.RequestDrop != nil {
			delete(p.values, string(op.RequestDrop.Key))
		}
	}

	p.notify()
}

type watchIn struct {
	CreateRequest struct {
		Key           []byte `json:"key"`
		StartRevision int64  `json:"start_revision,string"`
	} `json:"create_request"`
}

type watchOutEvent struct {
	Type string `json:"type"`
	Kv   wireKV `json:"kv"`
}

type watchOut struct {
	Result struct {
		Created bool            `json:"created,omitempty"`
		Events  []watchOutEvent `json:"events,omitempty"`
	} `json:"result"`
}

func (p *Platform) watch(c echo.Context) error {
	var in watchIn
	if err := json.NewDecoder(c.Request().Body).Decode(&in); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}

	p.mu.Lock()
	p.counts.Watches++
	broken := p.broken
	p.mu.Unlock()

	enc := json.NewEncoder(c.Response())

	var created watchOut

	created.Result.Created = true

	if err := enc.Encode(created); err != nil {
		return err
	}

	c.Response().Flush()

	key, seen := string(in.CreateRequest.Key), in.CreateRequest.StartRevision-1

	for {
		p.mu.Lock()
		v, ok := p.values[key]
		changed := p.changed
		p.mu.Unlock()

		if ok && v.revision > seen {
			seen = v.revision

			var out watchOut

			out.Result.Events = []watchOutEvent{{Type: "PUT", Kv: wireKV{[]byte(key), v.data, v.revision}}}
			if err := enc.Encode(out); err != nil {
				return err
			}

			c.Response().Flush()
		}

		select {
		case <-changed:
		case <-broken:
			panic(http.ErrAbortHandler) // an outage ends open watches
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

type leaseIn struct {
	TTL int64 `json:"TTL,string"`
	ID  int64 `json:"ID,string"`
}

type leaseOut struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

func (p *Platform) grant(c echo.Context) error {
	var in leaseIn
	if err := json.NewDecoder(c.Request().Body).Decode(&in); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	p.counts.Leases++
	p.revision++

	ttl := time.Duration(in.TTL) * time.Second
	p.leases[p.revision] = lease{ttl, time.Now().Add(ttl)}

	return c.JSON(http.StatusOK, leaseOut{ID: p.revision, TTL: in.TTL})
}

func (p *Platform) keepAlive(c echo.Context) error {
	var in leaseIn
	if err := json.NewDecoder(c.Request().Body).Decode(&in); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	p.counts.Leases++
	p.expire()

	out := leaseOut{ID: in.ID}

	if l, ok := p.leases[in.ID]; ok {
		l.expires = time.Now().Add(l.ttl)
		p.leases[in.ID] = l
		out.TTL = int64(l.ttl / time.Second)
	}

	return c.JSON(http.StatusOK, struct {
		Result leaseOut `json:"result"`
	}{out})
}
