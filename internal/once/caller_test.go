package once_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/frontend"
)

// tokenOf returns the part that identifies a key to its caller, also after a mutant renamed the
// key.
func tokenOf(key string) string {
	token, _, _ := strings.Cut(key[strings.LastIndexByte(key, '.')+1:], "~")

	return token
}

// mutate disables a guard of the owner by changing the name in the key.
func (p *proc) mutate(text string) string {
	if p.w.mutant.noRecord && !strings.Contains(text, ".") {
		return tokenOf(text) + "~" + ulid.Make().String()
	}

	parts := strings.Split(text, ".")

	const bootID, generation = 2, 3

	if len(parts) != generation+2 {
		return text
	}

	if p.w.mutant.noRecord {
		parts[len(parts)-1] = tokenOf(text) + "~" + ulid.Make().String()
	}

	if p.w.mutant.noBootID && parts[1] == nodeID(p.index) {
		parts[bootID] = p.home.BootID()
	}

	return strings.Join(parts, ".")
}

// send sends a call through a node and records the outcome that its caller receives.
func (w *world) send(via int, key string) {
	p := w.proc(via)
	stalls := p.stalls.Load()
	<-p.running()

	const limit = 5 * time.Second

	req := httptest.NewRequest(http.MethodPost, "/uploads/1", strings.NewReader("gift aid"))
	req.Header.Set(frontend.HeaderKey, p.mutate(key))

	start := time.Now()
	rec := httptest.NewRecorder()
	p.handler.ServeHTTP(rec, req)

	// A stalled process cannot answer; any other must answer before the deadline.
	if late := time.Since(start) - limit; late > 0 && stalls == p.stalls.Load() {
		w.violation("key %s: answered %s after the deadline", key, late)
	}

	<-p.running()

	if p.ended() {
		return // the connection of the caller broke
	}

	w.recordReport(key, rec)
}

func (w *world) recordReport(key string, rec *httptest.ResponseRecorder) {
	ran := call.Ran(rec.Header().Get(frontend.HeaderRan))
	token := tokenOf(key)

	if rec.Code == http.StatusOK && rec.Body.String() != token {
		w.violation("key %s: received the answer of key %s", key, rec.Body)
	}

	if rec.Code != http.StatusOK {
		var t frontend.Rejection
		if json.Unmarshal(rec.Body.Bytes(), &t) != nil || t.Ran != ran {
			w.violation("key %s: malformed refusal %s", key, rec.Body)
		}
	}

	w.mu.Lock()
	defer w.mu.Unlock()

	if w.reported[token] == nil {
		w.reported[token] = map[call.Ran]int{}
	}

	w.reported[token][ran]++
}

func (w *world) violation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// check returns the violated invariants: no key runs twice, and no key that was reported as not run
// ever runs.
func (w *world) check() []string {
	w.mu.Lock()
	defer w.mu.Unlock()

	out := append([]string(nil), w.violations...)

	for token, n := range w.ran {
		if n > 1 {
			out = append(out, fmt.Sprintf("key %s ran %d times", token, n))
		}
	}

	for token, reported := range w.reported {
		if reported[call.RanNo] > 0 && (w.ran[token] > 0 || reported[call.RanYes] > 0) {
			out = append(out, fmt.Sprintf("key %s ran %d times, but its callers received %v", token, w.ran[token], maps.Clone(reported)))
		}
	}

	return out
}
