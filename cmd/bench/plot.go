package main

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// picture is one plot of the runs against the number of nodes.
type picture struct {
	file, title, unit string
	lines             []line
}

type line struct {
	name string
	of   func(ScaleReport) float64
}

func pictures() []picture {
	return []picture{
		{"convergence.svg", "From acceptance to in force everywhere", "ms", []line{
			{"median", func(r ScaleReport) float64 { return r.ConvergenceP50Ms }},
			{"99 in 100", func(r ScaleReport) float64 { return r.ConvergenceP99Ms }},
		}},
		{"bytes.svg", "Control bytes of a node", "bytes", []line{
			{"for each change", func(r ScaleReport) float64 { return r.ChangeBytesPerNode }},
			{"idle, each second", func(r ScaleReport) float64 { return r.IdleBytesPerNodePerSecond }},
			{"the delta itself", func(r ScaleReport) float64 { return float64(r.DeltaBytes) }},
		}},
	}
}

func addPlot(app *kingpin.Application) {
	c := app.Command("plot", "Draw the committed runs of scale against the number of nodes.")
	data := c.Flag("data", "File of runs.").Default("bench/runs.json").ExistingFile()
	dir := c.Flag("dir", "Where the pictures go.").Default("docs/pictures").ExistingDir()

	c.Action(func(*kingpin.ParseContext) error {
		text, err := os.ReadFile(*data)
		if err != nil {
			return err
		}

		var runs []ScaleReport
		if err := json.Unmarshal(text, &runs); err != nil {
			return err
		}

		for _, p := range pictures() {
			if err := p.draw(runs, *dir); err != nil {
				return err
			}
		}

		return nil
	})
}

func (p picture) draw(runs []ScaleReport, dir string) error {
	out := plot.New()
	out.Title.Text = p.title
	out.X.Label.Text = "nodes"
	out.Y.Label.Text = p.unit
	out.X.Min, out.Y.Min = 0, 0

	var lines []any

	for _, l := range p.lines {
		points := make(plotter.XYs, len(runs))
		for i, r := range runs {
			points[i] = plotter.XY{X: float64(r.Nodes), Y: l.of(r)}
		}

		lines = append(lines, l.name, points)
	}

	if err := plotutil.AddLinePoints(out, lines...); err != nil {
		return err
	}

	const width, height = 16 * vg.Centimeter, 10 * vg.Centimeter

	return out.Save(width, height, filepath.Join(dir, p.file))
}
