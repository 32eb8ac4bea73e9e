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

// tokenOf is what the caller sees as one key, also where a mutant renames it.
func tokenOf(key string) string {
	token, _, _ := strings.Cut(key[strings.LastIndexByte(key, '.')+1:], "~")

	return token
}

// mutate plays a home without one of its guards by changing the key's name.
func (p *proc) mutate(text string) string {
	if p.w.mutant.noRecord && !strings.Contains(text, ".") {
		return tokenOf(text) + "~" + ulid.Make().String()
	}

	parts := strings.Split(text, ".")

	const life, generation = 2, 3

	if len(parts) != generation+2 {
		return text
	}

	if p.w.mutant.noRecord {
		parts[len(parts)-1] = tokenOf(text) + "~" + ulid.Make().String()
	}

	if p.w.mutant.noLife && parts[1] == nodeID(p.index) {
		parts[life] = p.home.Life()
	}

	return strings.Join(parts, ".")
}

// send sends a call through a node and notes what its caller is told.
func (w *world) send(via int, key string) {
	p := w.proc(via)
	froze := p.froze.Load()
	<-p.running()

	const limit = 5 * time.Second

	req := httptest.NewRequest(http.MethodPost, "/uploads/1", strings.NewReader("gift aid"))
	req.Header.Set(frontend.HeaderKey, p.mutate(key))

	start := time.Now()
	rec := httptest.NewRecorder()
	p.handler.ServeHTTP(rec, req)

	// A frozen process can't answer; all others must, in time.
	if late := time.Since(start) - limit; late > 0 && froze == p.froze.Load() {
		w.fault("%s: answer %s after the deadline", key, late)
	}

	<-p.running()

	if p.ended() {
		return // the caller sees a broken connection
	}

	w.note(key, rec)
}

func (w *world) note(key string, rec *httptest.ResponseRecorder) {
	ran := call.Ran(rec.Header().Get(frontend.HeaderRan))
	token := tokenOf(key)

	if rec.Code == http.StatusOK && rec.Body.String() != token {
		w.fault("%s: got the answer of %s", key, rec.Body)
	}

	if rec.Code != http.StatusOK {
		var t frontend.TurnedAway
		if json.Unmarshal(rec.Body.Bytes(), &t) != nil || t.Ran != ran {
			w.fault("%s: refusal %s", key, rec.Body)
		}
	}

	w.mu.Lock()
	defer w.mu.Unlock()

	if w.told[token] == nil {
		w.told[token] = map[call.Ran]int{}
	}

	w.told[token][ran]++
}

func (w *world) fault(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// check looks for broken promises.
func (w *world) check() []string {
	w.mu.Lock()
	defer w.mu.Unlock()

	out := append([]string(nil), w.faults...)

	for token, n := range w.ran {
		if n > 1 {
			out = append(out, fmt.Sprintf("%s ran %d times", token, n))
		}
	}

	for token, told := range w.told {
		if told[call.RanNo] > 0 && (w.ran[token] > 0 || told[call.RanYes] > 0) {
			out = append(out, fmt.Sprintf("%s ran %d times, told %v", token, w.ran[token], maps.Clone(told)))
		}
	}

	return out
}
