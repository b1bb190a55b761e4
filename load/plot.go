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
	// plotStep is the distance between two points, in percent.
	plotStep = 0.5
)

// Plot draws the latency of whole and partial answers over the percentile, one
// line for each stream. The file's extension decides the format, such as SVG or
// PNG.
func Plot(file string, results []*Result) error {
	chart := plot.New()
	chart.Title.Text = "Latency of whole and partial answers"
	chart.X.Label.Text = "percentile"
	chart.Y.Label.Text = "ms"
	chart.Legend.Top = true
	chart.Legend.Left = true
	for index, result := range results {
		line, err := plotter.NewLine(points(result))
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(index)
		chart.Add(line)
		chart.Legend.Add(result.Stream.Service+"/"+result.Stream.Kind, line)
	}
	return chart.Save(plotWidth, plotHeight, file)
}

func points(result *Result) plotter.XYs {
	var xys plotter.XYs
	for percent := plotStep; percent < 100; percent += plotStep {
		xys = append(xys, plotter.XY{X: percent, Y: float64(result.Quantile(percent).Microseconds()) / 1000})
	}
	return xys
}
