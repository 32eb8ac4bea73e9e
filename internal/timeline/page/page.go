// Package page renders a time line as one HTML page without external resources: a lane
// for each node, with the active version, the times in which the node was down or
// draining, and a mark for each event.
//
//	err := page.Write(w, "since 10:00", entries)
package page

import (
	_ "embed" // for the template
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
	markOffset = 4 // vertical distance between the marks of two kinds
)

// kind is a group of events with their color and vertical offset in a lane.
type kind struct {
	Name   string
	Color  string
	first  int
	offset int
}

// kinds returns the groups in ascending order of their first event number.
func kinds() []kind {
	return []kind{
		{"node", "#333333", 100, 0},
		{"settings", "#1f6fb4", 200, -markOffset},
		{"fleet", "#b45f06", 300, markOffset},
		{"calls", "#38761d", 400, -2 * markOffset},
		{"keys", "#741b47", 500, 2 * markOffset},
		{"broken promise", "#cc0000", 900, 0},
	}
}

func kindOf(number int) kind {
	all := kinds()

	for i := len(all) - 1; i > 0; i-- {
		if number >= all[i].first {
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

// Write renders the entries, which must be sorted by time.
func Write(w io.Writer, title string, entries []timeline.Entry) error {
	t, err := template.New("page").Parse(source)
	if err != nil {
		return err
	}

	return t.Execute(w, newView(title, entries))
}

// drawing maps times and nodes to coordinates.
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

	for i, node := range laneNodes(entries) {
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

// Range of the fleet event numbers. Only for fleet events is the peer a node ID; for
// other events it can be an address or the platform.
const (
	firstFleetEvent = 300
	lastFleetEvent  = 399
)

func isFleetEvent(e timeline.Entry) bool {
	return e.Number >= firstFleetEvent && e.Number <= lastFleetEvent
}

// laneNodes returns the nodes that have a lane: those with entries, and those that a
// fleet event is about.
func laneNodes(entries []timeline.Entry) []string {
	seen := map[string]bool{}

	var out []string

	for _, e := range entries {
		named := []string{e.Node}
		if isFleetEvent(e) {
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
	m := mark{X: d.x(e.Stamp.WallMs), Y: d.lanes[e.Node] + float64(k.offset), Size: small, Color: k.Color}
	m.Text = clock(e.Stamp.WallMs) + " " + e.Name + " " + Describe(e)

	switch e.Number {
	case event.MemberDead.Number, event.VersionRefused.Number, event.InvariantBroken.Number, event.CallUnknown.Number:
		m.Size = large
	}

	return m
}

// bars returns the periods to draw: the active version of each node, and the times in
// which a node was draining or considered failed by any node.
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
			start(versionClass(e.Version), e.Node, "version "+strconv.FormatUint(e.Version, 10), ms)
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

const versionClassPrefix = "version"

// versionClass returns the CSS class of a version, which alternates so that
// consecutive versions differ in shade.
func versionClass(number uint64) string { return versionClassPrefix + strconv.FormatUint(number%2, 10) }

func (d drawing) endVersions(open map[string]bar, out *[]bar, node string, ms int64) {
	for _, shade := range []uint64{0, 1} {
		key := versionClass(shade) + node
		if b, ok := open[key]; ok {
			b.Width = d.x(ms) - b.X
			*out = append(*out, b)

			delete(open, key)
		}
	}
}

// Describe returns the fields of an entry other than time, node and event.
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
