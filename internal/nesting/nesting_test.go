package nesting_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/nesting"
)

// Guards against a process that ends by a stack overflow, since a message is nested without a bound.
func TestDeepMessageIsFound(t *testing.T) {
	const levels = 1 << 20

	for name, level := range map[string]string{
		"Arrays": "\x91", "Pairs": "\x92\x01", "Maps": "\x81\xa1x", "Arrays16": "\xdc\x00\x01", "Maps32": "\xdf\x00\x00\x00\x01\x01",
	} {
		deep := bytes.Repeat([]byte(level), levels)

		assert.ErrorIs(t, nesting.CheckMsgpack(deep), nesting.ErrDepth, name)
		assert.ErrorIs(t, nesting.CheckMsgpack(append([]byte{0x01}, deep...)), nesting.ErrDepth, name)
	}
}

// A large message of any kind must pass.
func TestFlatMessagePasses(t *testing.T) {
	type row struct {
		Name    string
		Values  []any
		Options map[string]float64
	}

	rows := make([]row, 5000)
	for i := range rows {
		rows[i] = row{
			Name: strings.Repeat("n", i%300), Options: map[string]float64{"a": float64(i), "b": 1},
			Values: []any{i, -i, uint64(1) << 40, "text", nil, true, []byte{1}, []any{}, map[string]any{}, int8(-100), float32(1)},
		}
	}

	for _, v := range []any{rows, strings.Repeat("\x91", 1<<20), bytes.Repeat([]byte{0x91}, 70_000), []any{rows, rows}} {
		data, err := msgpack.Marshal(v)
		assert.NilError(t, err)
		assert.NilError(t, nesting.CheckMsgpack(data))
		assert.NilError(t, nesting.CheckMsgpack(append(data, data...)))
		assert.NilError(t, nesting.CheckMsgpack(data[:len(data)-1]))
	}
}

func TestPruneKeepsTheRestOfADocument(t *testing.T) {
	for in, out := range map[string]string{
		`{"a":[1,{"b":[2,[3]]}],"c":"[[[[\\"[["}`: `{"a":[1,{"b":{}}],"c":"[[[[\\"[["}`,
		`[[[[[]]]],5]`:              `[[[{}]],5]`,
		`[{"x":{"y":{"z":1}}},"]"]`: `[{"x":{"y":{}}},"]"]`,
		`[[["`:                      `[[["`,
	} {
		assert.Equal(t, string(nesting.PruneJSON([]byte(in), 3)), out)
	}

	deep := `[1,` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `,2]`

	var values []any

	assert.Assert(t, json.Unmarshal([]byte(deep), &values) != nil)
	assert.NilError(t, json.Unmarshal(nesting.PruneJSON([]byte(deep), 3), &values))
	assert.Equal(t, len(values), 3)
}

func TestCountMsgpackCountsNestedValues(t *testing.T) {
	data, err := msgpack.Marshal([]any{"a", []string{"b", "c"}, map[string]int{"d": 1}})
	assert.NilError(t, err)
	assert.Equal(t, nesting.CountMsgpack(data), 8)
	assert.Equal(t, nesting.CountMsgpack(data[:len(data)-1]), 7)
	assert.Equal(t, nesting.CountMsgpack(nil), 0)
}
