package bench

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 5 * vg.Inch
)

// plotLatency plots the latency quantiles of the results; the file's extension
// (svg, png) selects the format.
func plotLatency(file string, results []*Result) error {
	p := plot.New()
	p.Title.Text = "Latency of queries"
	p.X.Label.Text = "quantile"
	p.Y.Label.Text = "ms"
	p.Legend.Top, p.Legend.Left = true, true
	for i, r := range results {
		line, err := plotter.NewLine(quantiles(r.All))
		if err != nil {
			return err
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(r.Case+", "+r.Policy, line)
	}
	return p.Save(plotWidth, plotHeight, file)
}

func quantiles(g *Group) plotter.XYs {
	var points plotter.XYs
	for q := 0.5; q < 0.9995; q += 0.005 {
		ms := milliseconds(g.Latency(q))
		points = append(points, plotter.XY{X: q, Y: ms})
	}
	return points
}
