package caller_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/pollencart/pollencart/pkg/caller"
)

// An upload that must be booked once. The node rejects the first request because its
// queue is full; the retry with a new key is answered.
func Example() {
	tries := 0
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(caller.HeaderHome, "pc1.nottm-a-ledger-1.life.1")

		switch {
		case r.Method == http.MethodOptions:
			refuse("entry.no_route", "not-run", 0)(w)
		case tries == 0:
			refuse("admission.full", "not-run", 10)(w)

			tries++
		default:
			answer(w)
		}
	}))
	defer node.Close()

	c := caller.New(caller.Nodes(strings.TrimPrefix(node.URL, "http://")), caller.Name("food-bank"))

	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()

	a, err := c.Do(ctx, caller.Request{Method: http.MethodPost, Path: "/uploads/1", Body: []byte("gift aid"), Once: true})

	switch {
	case err == nil:
		fmt.Println(a.Status, string(a.Body))
	case errors.Is(err, caller.ErrNotRun):
		fmt.Println("not booked, try again")
	case errors.Is(err, caller.ErrUnknown):
		fmt.Println("check whether it was booked before trying again")
	}
	// Output: 200 receipt
}
