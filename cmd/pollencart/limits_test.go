package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/quota/ledger"
)

// The use at the homes of two sides of a partition could be printed as two limits.
func TestLimitsAddUpTheHomes(t *testing.T) {
	serve := func(body string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
		t.Cleanup(s.Close)

		return strings.TrimPrefix(s.URL, "http://")
	}

	first := serve(`[{"Workspace":"acme","Rate":10,"Burst":10,"Version":3,"Share":0.5,"Granted":20,"Room":2,"WindowSeconds":5}]`)
	second := serve(`[{"Workspace":"acme","Rate":8,"Burst":2,"Version":4,"Share":0.25,"Granted":1,"Room":1,"WindowSeconds":5},
		{"Workspace":"corp","Rate":1,"Burst":0,"Version":4,"Share":1,"Granted":5,"Room":0,"WindowSeconds":5}]`)

	total := map[string]ledger.Use{}

	for _, address := range []string{first, second} {
		uses, err := fetchUses(address)
		assert.NilError(t, err)

		for _, u := range uses {
			addUse(total, u)
		}
	}

	var b strings.Builder

	assert.NilError(t, writeUses(&b, total, 2, 3))
	assert.Equal(t, b.String(), `2 of 3 nodes answered
workspace  rate  burst  version  granted   use   room  delegated
corp       1     0      4        5 in 5s   1.00  0     1.00
acme       8     2      4        21 in 5s  0.50  3     0.75
`)
}
