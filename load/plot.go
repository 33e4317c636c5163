package load

import (
	"image/color"
	"os"
	"path/filepath"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // registers the SVG format
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	lineWidth  = vg.Length(1.5)
)

// percentiles are the points of the latency plot.
var percentiles = []float64{1, 5, 10, 25, 50, 75, 90, 95, 98, 99, 99.5, 99.9}

var eventColor = color.Gray{Y: 0xa0}

// WritePlots writes SVG files into the directory, which it creates if needed.
func (r *Report) WritePlots(directory string) error {
	const directoryMode = 0o755
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return errors.Wrap(err, "plots")
	}
	for name, draw := range map[string]func(*plot.Plot) error{
		"latency.svg":   r.plotLatency,
		"p99.svg":       r.plotP99,
		"coverage.svg":  r.plotCoverage,
		"extraload.svg": r.plotExtraLoad,
	} {
		p := plot.New()
		if err := draw(p); err != nil {
			return errors.Wrap(err, name)
		}
		if err := p.Save(plotWidth, plotHeight, filepath.Join(directory, name)); err != nil {
			return errors.Wrap(err, name)
		}
	}
	return nil
}

func (r *Report) plotLatency(p *plot.Plot) error {
	p.Title.Text = "Latency by class"
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "ms"
	return r.eachRow(func(n int, side SideReport, row RowReport) error {
		var points plotter.XYs
		for _, percentile := range percentiles {
			points = append(points, plotter.XY{X: percentile, Y: milliseconds(side.rows[row.Name].times, percentile)})
		}
		return addLine(p, side.Name+" "+row.Name, n, side.Name, points)
	})
}

func (r *Report) plotP99(p *plot.Plot) error {
	p.Title.Text = "p99 by second of arrival"
	p.X.Label.Text = "s"
	p.Y.Label.Text = "ms"
	err := r.eachRow(func(n int, side SideReport, row RowReport) error {
		points := side.pointsPerSecond(func(s *second) (float64, bool) { return p99Of(s.times[row.Name]) })
		return addLine(p, side.Name+" "+row.Name, n, side.Name, points)
	})
	if err != nil {
		return err
	}
	return r.addEvents(p)
}

func p99Of(h *hdrhistogram.Histogram) (float64, bool) {
	if h == nil {
		return 0, false
	}
	return milliseconds(h, 99), true
}

func (r *Report) plotCoverage(p *plot.Plot) error {
	p.Title.Text = "Mean coverage of the answers"
	p.X.Label.Text = "s"
	p.Y.Label.Text = "share of shards"
	for n, side := range r.Sides {
		points := side.pointsPerSecond(func(s *second) (float64, bool) {
			return s.coverage / float64(max(s.answers, 1)), s.answers > 0
		})
		if err := addLine(p, side.Name, n, side.Name, points); err != nil {
			return err
		}
	}
	return r.addEvents(p)
}

func (r *Report) plotExtraLoad(p *plot.Plot) error {
	p.Title.Text = "Backend runs beyond the needed ones"
	p.X.Label.Text = "s"
	p.Y.Label.Text = "share"
	for n, side := range r.Sides {
		points := side.pointsPerSecond(func(s *second) (float64, bool) {
			return float64(s.runs)/float64(max(s.legs, 1)) - 1, s.legs > 0
		})
		if err := addLine(p, side.Name, n, side.Name, points); err != nil {
			return err
		}
	}
	return r.addEvents(p)
}

// eachRow calls f for every class of every side; n is the class's index, which
// selects its color on both sides.
func (r *Report) eachRow(f func(n int, side SideReport, row RowReport) error) error {
	for _, side := range r.Sides {
		for n, row := range side.Rows {
			if err := f(n, side, row); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s SideReport) pointsPerSecond(value func(*second) (float64, bool)) plotter.XYs {
	var points plotter.XYs
	for i, at := range s.seconds {
		if y, ok := value(at); ok {
			points = append(points, plotter.XY{X: float64(i), Y: y})
		}
	}
	return points
}

// addLine adds a line in the n-th color, dashed for the direct side.
func addLine(p *plot.Plot, name string, n int, side string, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(n)
	line.Width = lineWidth
	if side == sideDirect {
		line.Dashes = plotutil.Dashes(1)
	}
	p.Add(line)
	p.Legend.Add(name, line)
	p.Legend.Top = true
	return nil
}

// addEvents marks each event by a vertical line with its label.
func (r *Report) addEvents(p *plot.Plot) error {
	low, high := p.Y.Min, p.Y.Max
	for _, event := range r.Events {
		x := event.At.Seconds()
		line, err := plotter.NewLine(plotter.XYs{{X: x, Y: low}, {X: x, Y: high}})
		if err != nil {
			return err
		}
		line.Color = eventColor
		label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: x, Y: low}}, Labels: []string{event.Event.label()}})
		if err != nil {
			return err
		}
		for i := range label.TextStyle {
			label.TextStyle[i].Rotation = 1.5708 // a quarter turn in radians
		}
		p.Add(line, label)
	}
	return nil
}
