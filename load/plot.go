package load

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	// plotStep is the distance of two points, in percent.
	plotStep = 0.5
)

// Plot draws the latency of whole answers over their percentile, a line for
// each stream, as SVG or PNG by the file's ending.
func Plot(file string, results []*Result) error {
	drawn := plot.New()
	drawn.Title.Text = "Latency of whole answers"
	drawn.X.Label.Text = "percentile"
	drawn.Y.Label.Text = "ms"
	drawn.Legend.Top = true
	drawn.Legend.Left = true
	for place, result := range results {
		line, err := plotter.NewLine(points(result))
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(place)
		drawn.Add(line)
		drawn.Legend.Add(result.Stream.Service+"/"+result.Stream.Kind, line)
	}
	return drawn.Save(plotWidth, plotHeight, file)
}

func points(result *Result) plotter.XYs {
	var all plotter.XYs
	for percent := plotStep; percent < 100; percent += plotStep {
		all = append(all, plotter.XY{X: percent, Y: float64(result.Quantile(percent).Microseconds()) / 1000})
	}
	return all
}
