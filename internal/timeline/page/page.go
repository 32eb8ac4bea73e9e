// Package page draws a time line as one HTML page without outside resources: a
// lane for each node, with the version in force, the times in which it was down
// or left, and a mark for each event.
//
//	err := page.Write(w, "since 10:00", entries)
package page

import (
	_ "embed" // the template
	"html/template"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/timeline"
)

//go:embed page.html
var source string

// Sizes of the drawing, in the units of its view box.
const (
	laneHeight = 26
	laneTop    = 30
	labelWidth = 190
	plotWidth  = 1100
	ticks      = 8
	spread     = 4 // how far marks of one kind lie from the middle of a lane
)

// Kind groups events by what they are about.
type kind struct {
	Name  string
	Color string
	low   int
	dy    int
}

// The kinds by the hundreds of their numbers.
func kinds() []kind {
	return []kind{
		{"node", "#333333", 100, 0},
		{"settings", "#1f6fb4", 200, -spread},
		{"fleet", "#b45f06", 300, spread},
		{"calls", "#38761d", 400, -2 * spread},
		{"keys", "#741b47", 500, 2 * spread},
		{"broken promise", "#cc0000", 900, 0},
	}
}

func kindOf(number int) kind {
	all := kinds()

	for i := len(all) - 1; i > 0; i-- {
		if number >= all[i].low {
			return all[i]
		}
	}

	return all[0]
}

type mark struct {
	X, Y  float64
	Size  float64
	Color string
	Text  string
}

type bar struct {
	X, Y, Width float64
	Class       string
	Text        string
}

type lane struct {
	Node string
	Y    float64
}

type tick struct {
	X    float64
	Text string
}

type row struct {
	Time, Node, Name, Text, Color string
	Number                        int
}

type view struct {
	Title         string
	From, To      string
	Width, Height float64
	Lanes         []lane
	Bars          []bar
	Marks         []mark
	Ticks         []tick
	Rows          []row
	Kinds         []kind
	Meanings      map[string]string
}

// Write draws the entries, which are in the order of time.
func Write(w io.Writer, title string, entries []timeline.Entry) error {
	t, err := template.New("page").Parse(source)
	if err != nil {
		return err
	}

	return t.Execute(w, newView(title, entries))
}

// drawing places entries.
type drawing struct {
	from, to int64
	lanes    map[string]float64
}

func newView(title string, entries []timeline.Entry) view {
	d := drawing{lanes: map[string]float64{}}
	v := view{Title: title, Kinds: kinds(), Meanings: map[string]string{}}

	if len(entries) > 0 {
		d.from, d.to = entries[0].Stamp.WallMs, entries[len(entries)-1].Stamp.WallMs
	}

	for i, node := range nodes(entries) {
		y := float64(laneTop + laneHeight*i + laneHeight/2)
		d.lanes[node] = y
		v.Lanes = append(v.Lanes, lane{node, y})
	}

	v.From, v.To = clock(d.from), clock(d.to)
	v.Width = labelWidth + plotWidth + 2*laneHeight
	v.Height = float64(laneTop + laneHeight*(len(v.Lanes)+1))
	v.Bars = d.bars(entries)
	v.Ticks = d.ticks()

	for _, e := range entries {
		v.Marks = append(v.Marks, d.mark(e))
	}

	for _, e := range timeline.Collapse(entries) {
		v.Rows = append(v.Rows, row{clock(e.Stamp.WallMs), e.Node, e.Name, Describe(e), kindOf(e.Number).Color, e.Number})
	}

	for _, e := range event.All() {
		v.Meanings[e.Name] = e.Text
	}

	return v
}

// Events of the fleet, 3xx, are the ones whose peer is the ID of a node; of other
// events it can be an address or the platform.
const (
	firstOfFleet = 300
	lastOfFleet  = 399
)

func ofFleet(e timeline.Entry) bool { return e.Number >= firstOfFleet && e.Number <= lastOfFleet }

// nodes returns who has a lane: who tells something, and who is told of.
func nodes(entries []timeline.Entry) []string {
	seen := map[string]bool{}

	var out []string

	for _, e := range entries {
		named := []string{e.Node}
		if ofFleet(e) {
			named = append(named, e.Peer)
		}

		for _, node := range named {
			if node != "" && !seen[node] {
				seen[node] = true
				out = append(out, node)
			}
		}
	}

	slices.Sort(out)

	return out
}

func clock(ms int64) string { return time.UnixMilli(ms).UTC().Format("15:04:05.000") }

func (d drawing) x(ms int64) float64 {
	return labelWidth + plotWidth*float64(ms-d.from)/float64(max(d.to-d.from, 1))
}

func (d drawing) ticks() []tick {
	var out []tick

	for i := range ticks + 1 {
		ms := d.from + (d.to-d.from)*int64(i)/ticks
		out = append(out, tick{d.x(ms), clock(ms)})
	}

	return out
}

func (d drawing) mark(e timeline.Entry) mark {
	const small, large = 2.2, 4

	k := kindOf(e.Number)
	m := mark{X: d.x(e.Stamp.WallMs), Y: d.lanes[e.Node] + float64(k.dy), Size: small, Color: k.Color}
	m.Text = clock(e.Stamp.WallMs) + " " + e.Name + " " + Describe(e)

	switch e.Number {
	case event.MemberDead.Number, event.VersionRefused.Number, event.InvariantBroken.Number, event.CallUnknown.Number:
		m.Size = large
	}

	return m
}

// bars returns what lasts: the version in force on each node, and the times in
// which a node drained or was taken for dead by anyone.
func (d drawing) bars(entries []timeline.Entry) []bar {
	var out []bar

	open := map[string]bar{}
	start := func(class, node, text string, ms int64) {
		open[class+node] = bar{X: d.x(ms), Y: d.lanes[node], Class: class, Text: text}
	}
	end := func(class, node string, ms int64) {
		if b, ok := open[class+node]; ok {
			b.Width = d.x(ms) - b.X
			out = append(out, b)

			delete(open, class+node)
		}
	}

	for _, e := range entries {
		ms := e.Stamp.WallMs

		switch e.Number {
		case event.VersionInForce.Number:
			d.endVersions(open, &out, e.Node, ms)
			start(version(e.Version), e.Node, "version "+strconv.FormatUint(e.Version, 10), ms)
		case event.MemberDead.Number:
			if _, known := open["down"+e.Peer]; !known {
				start("down", e.Peer, "taken for dead "+e.Detail, ms)
			}
		case event.MemberJoined.Number:
			end("down", e.Peer, ms)
		case event.NodeDraining.Number:
			start("draining", e.Node, "draining", ms)
		case event.NodeStopped.Number, event.NodeStarted.Number:
			end("draining", e.Node, ms)
			end("down", e.Node, ms)
			d.endVersions(open, &out, e.Node, ms)
		}
	}

	for key, b := range open {
		b.Width = d.x(d.to) - b.X
		out = append(out, b)

		delete(open, key)
	}

	slices.SortFunc(out, func(a, b bar) int { return int(a.Y - b.Y) })

	return out
}

const versions = "version"

// version gives neighbouring versions different shades.
func version(number uint64) string { return versions + strconv.FormatUint(number%2, 10) }

func (d drawing) endVersions(open map[string]bar, out *[]bar, node string, ms int64) {
	for _, shade := range []uint64{0, 1} {
		key := version(shade) + node
		if b, ok := open[key]; ok {
			b.Width = d.x(ms) - b.X
			*out = append(*out, b)

			delete(open, key)
		}
	}
}

// Describe returns what an entry says besides its name.
func Describe(e timeline.Entry) string {
	var out string

	if e.Version > 0 {
		out += "version=" + strconv.FormatUint(e.Version, 10) + " "
	}

	for _, f := range []struct{ name, value string }{
		{"call", e.Call}, {"key", e.Key}, {"peer", e.Peer}, {"detail", e.Detail},
	} {
		if f.value != "" {
			out += f.name + "=" + f.value + " "
		}
	}

	return out
}
