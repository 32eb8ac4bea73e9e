package hosts

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pollencart/pollencart/platform"
)

// outcome is what a caller saw.
type outcome struct {
	id     string
	status int
	took   time.Duration
	err    error
	left   bool
}

// lastID numbers calls.
var lastID atomic.Int64

const (
	// callTime is how long a caller waits.
	callTime = 2 * time.Second
	// late is what an answer may take beyond that.
	late = 600 * time.Millisecond
	// leaveOneIn of the calls their callers leave early.
	leaveOneIn = 20
	// uploadOneIn of the calls must not run twice.
	uploadOneIn = 3
)

// call sends a host's share of the calls over kept connections.
func (r *run) call(ctx context.Context, h *host) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}}
	defer client.CloseIdleConnections()

	pause := time.Second * time.Duration(r.options.Hosts) / time.Duration(r.options.Rate)

	for ctx.Err() == nil {
		patience := callTime
		if rand.IntN(leaveOneIn) == 0 {
			patience = time.Duration(rand.Int64N(int64(100 * time.Millisecond)))
		}

		go func() {
			o := r.one(ctx, client, h, rand.IntN(uploadOneIn) == 0, patience)
			r.judge(h, o)
		}()

		time.Sleep(pause/2 + rand.N(pause))
	}
}

// message is what a caller sends. The path ends in its name, and the name is the body.
type message struct {
	id, name string
	upload   bool
}

// one sends a call and reads its answer.
func (r *run) one(ctx context.Context, client *http.Client, h *host, upload bool, patience time.Duration) outcome {
	id := fmt.Sprintf("c%d", lastID.Add(1))

	return r.send(ctx, client, h, message{id, id, upload}, patience)
}

func (r *run) send(ctx context.Context, client *http.Client, h *host, m message, patience time.Duration) outcome {
	o := outcome{id: m.id}
	names := platform.Headers()

	ctx, cancel := context.WithTimeout(ctx, patience+late)
	defer cancel()

	path, method := "/safe/", http.MethodGet
	if m.upload {
		path, method = "/once/", http.MethodPost
	}

	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.config.CallerAddress+path+m.name, strings.NewReader(m.name))
	if err != nil {
		return outcome{err: err}
	}

	// net/http would send an upload again by itself if its body could be read again.
	request.GetBody = nil
	request.Header.Set(names.Call, o.id)
	request.Header.Set(names.Deadline, strconv.FormatInt(callTime.Milliseconds(), 10))

	if m.upload {
		r.report.upload(o.id)
	}

	if r.options.Signals {
		r.signals.send(o.id, h)
	}

	start := time.Now()
	response, err := client.Do(request)

	if err == nil {
		defer func() { _ = response.Body.Close() }()

		var body []byte

		body, err = io.ReadAll(response.Body)
		o.status = response.StatusCode

		if r.options.Signals {
			r.signals.answered(h, response.Header)
		}

		if err == nil {
			r.report.checkAnswer(o.id, m.upload, o.status, response.Header, string(body))
		}

		if err == nil && o.status == http.StatusOK && string(body) != path+m.name+" "+m.name {
			r.report.broken("call %s got the answer %.60q", o.id, body)
		}
	}

	o.took, o.err, o.left = time.Since(start), err, patience < callTime

	return o
}

// judge keeps what the answer promises.
func (r *run) judge(h *host, o outcome) {
	r.report.answered(o.status)

	switch {
	case o.status == http.StatusServiceUnavailable:
		r.report.refused(o.id)
	case o.left || o.status != 0:
	case errors.Is(o.err, context.DeadlineExceeded) && !h.disturbed() && !h.wasShort(span{time.Now().Add(-o.took), time.Now()}) &&
		!r.stalls.overlap(time.Now().Add(-o.took), time.Now()):
		r.report.broken("call %s at %s had no answer after %s", o.id, h.config.Node, o.took)
	}
}

// disturbed reports whether the process was stopped, killed or paused lately: what it
// held then may be lost.
func (h *host) disturbed() bool {
	const lately = callTime + late + grace

	h.mu.Lock()
	defer h.mu.Unlock()

	return !h.planned.IsZero() && time.Since(h.planned) < lately
}
