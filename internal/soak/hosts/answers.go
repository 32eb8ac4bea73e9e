package hosts

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/platform"
	"github.com/pollencart/pollencart/platform/standin"
)

const (
	// answerStream sets the schedule of broken answers apart from those of the other faults.
	answerStream = 0xa45
	// longestBreaking is how long a backend server sends broken answers at the most.
	longestBreaking = 2 * time.Second
	// breakOneIn of the calls get a broken answer meanwhile, and of the long uploads an early one.
	breakOneIn = 2
	// brokenMark is in malformed answers and in the parts of early ones. No caller may get it.
	brokenMark = "b3c0ffee"
	// tooLarge is the body of a sound answer to a long upload that is not read.
	tooLarge = "too large"
	// longBytes is the length of a long upload. The buffers of a connection don't hold it, and neither does a
	// message between nodes: the gate is the entry.
	longBytes = 5 << 20
	// longPrefix begins the names of long uploads.
	longPrefix = "long-"
	// maxLongBytes is what versions allow in runs with long uploads.
	maxLongBytes = "6000000"
	// lingerTime is how long a backend server keeps a connection after an early answer.
	lingerTime = 50 * time.Millisecond
	// longRate is how many long uploads all callers send in a second.
	longRate = 18
)

// Answers counts the answers of backend servers in a run with broken ones.
type Answers struct {
	// Broken counts broken answers, Early those among them that came before the body of a long upload was read.
	Broken, Early atomic.Int64
	// Sound counts sound answers that came so early, Checked those of hosts that were well, and Long all long uploads.
	Sound, Checked, Long atomic.Int64
}

// String describes the answers for the report.
func (a *Answers) String() string {
	return fmt.Sprintf("broken answers %d, early ones %d, sound early ones %d, checked %d, long uploads %d",
		a.Broken.Load(), a.Early.Load(), a.Sound.Load(), a.Checked.Load(), a.Long.Load())
}

// answerSeries has backend servers send broken answers in spans that overlap, until a moment.
func (r *run) answerSeries(ctx context.Context, random *rand.Rand, end time.Time) {
	for time.Now().Before(end) && ctx.Err() == nil {
		h, length := r.hosts[random.IntN(len(r.hosts))], time.Duration(random.Int64N(int64(longestBreaking)))

		fmt.Fprintln(r.options.Log, time.Now().Format(clock), "broken answers:", h.config.Node, length)
		r.report.fault("broken answers")

		go func() {
			h.backend.breaking.Add(1)
			idle.For(ctx, length)
			h.backend.breaking.Add(-1)
		}()

		idle.For(ctx, time.Duration(random.Int64N(int64(time.Second/2))))
	}
}

// breakingHandler sends broken answers to some calls while the backend server is to, and answers some long
// uploads early at any time.
func (b *backend) breakingHandler(next *standin.Backend, other http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ours := r.URL.Path != "/health" && r.Header.Get(platform.Headers().Expected) == next.Instance

		switch {
		case !ours:
			other.ServeHTTP(w, r)
		case strings.Contains(r.URL.Path, longPrefix) && rand.IntN(breakOneIn) == 0:
			b.answerEarly(w, r, next.Instance)
		case b.breaking.Load() == 0 || rand.IntN(breakOneIn) > 0:
			other.ServeHTTP(w, r)
		default:
			b.answerBroken(w, r, next)
		}
	})
}

// answerBroken runs a call and sends a broken form of its answer.
func (b *backend) answerBroken(w http.ResponseWriter, r *http.Request, next http.Handler) {
	b.report.answeredBroken(r.Header.Get(platform.Headers().Call))

	recorder := httptest.NewRecorder()
	next.ServeHTTP(recorder, r)

	if r.Context().Err() != nil {
		return
	}

	text, reset := breakAnswer(recorder)

	b.sendRaw(w, text, reset, 0)
}

// answerEarly answers a long upload before its body is read, with a part that is reset or with a sound answer.
func (b *backend) answerEarly(w http.ResponseWriter, r *http.Request, instance string) {
	names := platform.Headers()
	id := r.Header.Get(names.Call)

	b.ran(instance, id)

	head := fmt.Sprintf("%s: %s\r\n%s: s\r\nConnection: close\r\n", names.Call, id, names.Signature)

	if rand.IntN(2) == 0 {
		b.report.answeredBroken(id)
		b.report.Answered.Early.Add(1)
		b.sendRaw(w, "HTTP/1.1 200 OK\r\n"+head+"\r\n"+brokenMark, true, time.Millisecond)

		return
	}

	b.report.answeredEarly(id)
	b.sendRaw(w, fmt.Sprintf("HTTP/1.1 413 Content Too Large\r\n%sContent-Length: %d\r\n\r\n%s", head, len(tooLarge), tooLarge), false, lingerTime)
}

// sendRaw sends bytes in place of an answer and ends the connection after a pause.
func (b *backend) sendRaw(w http.ResponseWriter, text string, reset bool, pause time.Duration) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}

	defer func() { _ = conn.Close() }()

	// A caller that has left doesn't read.
	if conn.SetDeadline(time.Now().Add(callTime)) != nil {
		return
	}

	_, _ = io.WriteString(conn, text) // a caller that has left closes the connection

	tcp, ok := conn.(*net.TCPConn)
	if ok && !reset {
		_ = tcp.CloseWrite()
	}

	time.Sleep(pause)

	if ok && reset {
		_ = tcp.SetLinger(0)
	}
}

// breakAnswer returns a broken form of an answer, and whether the connection is reset after it.
func breakAnswer(a *httptest.ResponseRecorder) (text string, reset bool) {
	var fields bytes.Buffer

	_ = a.Header().Write(&fields) // a buffer takes all

	body := a.Body.String()
	status := fmt.Sprintf("HTTP/1.1 %d OK\r\n", a.Code)
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	chunks := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n", len(body), body)
	whole := fields.String() + length + body

	malformed := []string{
		"HTTP/1.1 000 " + brokenMark + "\r\n" + whole,
		"HTTP/1.1 999 " + brokenMark + "\r\n" + whole,
		"HTTP/2.0 200 " + brokenMark + "\r\n" + whole,
		status + "X " + brokenMark + ": v\r\n" + whole,
		status + "X\x01" + brokenMark + ": v\r\n" + whole,
		status + fields.String() + " " + brokenMark + ": v\r\n" + length + body,
		status + fields.String() + "Content-Length : 1\r\n\r\n" + body + brokenMark,
		status + fields.String() + "Transfer-Encoding: " + brokenMark + "\r\n\r\n" + body,
		status + fields.String() + chunks + "X " + brokenMark + ": v\r\n\r\n",
		brokenMark,
	}

	if rand.IntN(2) == 0 {
		return malformed[rand.IntN(len(malformed))], false
	}

	framed := []string{status + whole, status + fields.String() + chunks + "\r\n", status + fields.String() + "\r\n" + body}
	kind := rand.IntN(len(framed))
	text = framed[kind][:rand.IntN(len(framed[kind]))]

	// An orderly end of the connection ends a body without a length.
	return text, kind == len(framed)-1 || rand.IntN(2) == 0
}

// hasBrokenMark reports whether a caller got bytes of a broken answer.
func hasBrokenMark(h http.Header, body string) bool {
	return strings.Contains(body, brokenMark) || strings.Contains(fmt.Sprint(h), brokenMark)
}

// checkAnswer checks an answer against what backend servers sent for the call.
func (r *Report) checkAnswer(id string, upload bool, status int, h http.Header, body string) {
	if hasBrokenMark(h, body) {
		r.broken("call %s got bytes of a broken answer, with %d: %.80q %v", id, status, body, h)
	}

	if upload && status == http.StatusOK && r.hadBrokenAnswer(id) {
		r.broken("upload %s was answered brokenly, and its caller got %d: %.80q", id, status, body)
	}
}

// sendLong sends long uploads from a host, again and again.
func (r *run) sendLong(ctx context.Context, h *host) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()

	pause := time.Second * time.Duration(r.options.Hosts) / longRate

	for ctx.Err() == nil {
		r.longUpload(ctx, client, h)
		idle.For(ctx, pause/2+rand.N(pause))
	}
}

// longUpload sends one long upload and checks its answer.
func (r *run) longUpload(ctx context.Context, client *http.Client, h *host) {
	id := fmt.Sprintf("l%d", lastID.Add(1))
	path, upload := "/once/"+longPrefix+id, strings.Repeat(id+" ", longBytes/(len(id)+1))
	began := time.Now()
	well := h.isWell(began)

	r.report.upload(id)
	r.report.Answered.Long.Add(1)

	status, header, body := postLong(ctx, client, h, id, path, upload)
	r.report.answered(status)
	r.report.checkAnswer(id, true, status, header, body)

	switch {
	case status == http.StatusServiceUnavailable:
		r.report.refused(id)
	case status == http.StatusOK && body != path+" "+upload, status == http.StatusRequestEntityTooLarge && body != tooLarge:
		r.report.broken("long upload %s got %d with %d bytes: %.60q", id, status, len(body), body)
	}

	// What breaks beside the answer may take it away, and callers leave when the run ends.
	if ctx.Err() != nil || !r.report.hadEarlyAnswer(id) || !well || !h.isWell(time.Now()) || r.stalls.overlap(began, time.Now()) ||
		!slices.Equal(r.report.ranAt(id), []string{h.backend.name}) {
		return
	}

	r.report.Answered.Checked.Add(1)

	if status != http.StatusRequestEntityTooLarge {
		r.report.broken("long upload %s was answered early at %s, and its caller got %d after %s", id, h.config.Node, status, time.Since(began))
	}
}

// postLong sends a long upload once. The status is 0 if there is no whole answer.
func postLong(ctx context.Context, client *http.Client, h *host, id, path, upload string) (int, http.Header, string) {
	ctx, cancel := context.WithTimeout(ctx, callTime+late)
	defer cancel()

	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.config.CallerAddress+path, strings.NewReader(upload))
	if err != nil {
		return 0, nil, ""
	}

	names := platform.Headers()
	request.GetBody = nil // net/http would send it again by itself
	request.Header.Set(names.Call, id)
	request.Header.Set(names.Deadline, strconv.FormatInt(callTime.Milliseconds(), 10))

	response, err := client.Do(request)
	if err != nil {
		return 0, nil, ""
	}
	defer func() { _ = response.Body.Close() }()

	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, ""
	}

	return response.StatusCode, response.Header, string(body)
}
