package loadgen

import (
	"math"
	"os"
	"path/filepath"
	"strings"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 20 * vg.Centimeter
)

// SavePlot plots the results into a PNG or SVG file. The upper plot has the distribution of the time to the first token of
// each class, the lower one the share of the arrivals of each second that met their targets.
func SavePlot(path string, names []string, results []*Result) error {
	canvas, err := newCanvas(path)
	if err != nil {
		return err
	}
	latency, err := latencyPlot(names, results)
	if err != nil {
		return errors.Trace(err)
	}
	timeline, err := timelinePlot(names, results)
	if err != nil {
		return errors.Trace(err)
	}
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadY: vg.Centimeter}
	plots := [][]*plot.Plot{{latency}, {timeline}}
	dc := draw.New(canvas)
	for i, row := range plot.Align(plots, tiles, dc) {
		plots[i][0].Draw(row[0])
	}
	return save(path, canvas)
}

func newCanvas(path string) (vg.CanvasWriterTo, error) {
	switch ext := strings.ToLower(filepath.Ext(path)); ext {
	case ".png":
		return vgimg.PngCanvas{Canvas: vgimg.New(plotWidth, plotHeight)}, nil
	case ".svg":
		return vgsvg.New(plotWidth, plotHeight), nil
	default:
		return nil, errors.NotValidf("plot format %q, expected .png or .svg", ext)
	}
}

func save(path string, canvas vg.CanvasWriterTo) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Trace(err)
	}
	if _, err := canvas.WriteTo(file); err != nil {
		_ = file.Close()
		return errors.Trace(err)
	}
	return errors.Trace(file.Close())
}

func latencyPlot(names []string, results []*Result) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Time to the first token"
	p.X.Label.Text = "milliseconds"
	p.Y.Label.Text = "% of responses"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	lowest, highest := math.Inf(1), 0.0
	var lines []any
	for i, r := range results {
		for _, c := range r.Classes {
			points := make(plotter.XYs, 0, len(c.FirstToken.Curve))
			for _, q := range c.FirstToken.Curve {
				if q.MS > 0 {
					points = append(points, plotter.XY{X: q.MS, Y: q.Percent})
					lowest, highest = min(lowest, q.MS), max(highest, q.MS)
				}
			}
			if len(points) > 0 {
				lines = append(lines, names[i]+" "+c.Class, points)
			}
		}
	}
	if highest == 0 {
		lowest, highest = 1, 10
	}
	p.X.Min, p.X.Max = lowest, max(highest, lowest*10)
	p.Y.Min, p.Y.Max = 0, 100
	p.Legend.Left = false
	return p, plotutil.AddLines(p, lines...)
}

func timelinePlot(names []string, results []*Result) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Arrivals that met their targets"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "%"
	p.Y.Min, p.Y.Max = 0, 100
	var lines []any
	for i, r := range results {
		var points plotter.XYs
		for _, t := range r.Timeline {
			if t.Arrivals > 0 {
				points = append(points, plotter.XY{X: t.AtS, Y: 100 * float64(t.Attained) / float64(t.Arrivals)})
			}
		}
		if len(points) > 0 {
			lines = append(lines, names[i], points)
		}
	}
	return p, plotutil.AddLines(p, lines...)
}
