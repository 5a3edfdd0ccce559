package jpexperiment

import (
	"os"
	"sort"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// Size of a plot.
const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 18 * vg.Centimeter
)

// WritePlot writes a PNG file with two plots over time, one line for each run: the
// share of new flows served, and the cumulative number of broken flows.
func WritePlot(path string, runs []Run) error {
	served, breaks := plot.New(), plot.New()
	served.Title.Text = runs[0].Scenario.Name
	served.Y.Label.Text = "new flows served, %"
	served.Y.Min, served.Y.Max = 0, 105
	breaks.Y.Label.Text = "broken flows, sum"
	breaks.X.Label.Text = "seconds"
	for ix := range runs {
		if err := addLine(served, ix, runs[ix].SteeringMethod, servedLine(&runs[ix])); err != nil {
			return err
		}
		if err := addLine(breaks, ix, runs[ix].SteeringMethod, breaksLine(&runs[ix])); err != nil {
			return err
		}
	}
	served.Legend.Left = true
	breaks.Legend.Top, breaks.Legend.Left = true, true
	return writePNG(path, served, breaks)
}

func addLine(pl *plot.Plot, ix int, name string, points plotter.XYs) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(ix)
	line.Dashes = plotutil.Dashes(ix)
	pl.Add(line)
	pl.Legend.Add(name, line)
	return nil
}

func servedLine(rn *Run) plotter.XYs {
	points := plotter.XYs{{X: 0, Y: 100}}
	for _, sc := range rn.PerSecond() {
		if sc.Flows > 0 {
			points = append(points, plotter.XY{X: float64(sc.Offset), Y: 100 * sc.Share()})
		}
	}
	return points
}

func breaksLine(rn *Run) plotter.XYs {
	var times []float64
	for _, br := range rn.Breaks() {
		times = append(times, br.At.Sub(rn.LoadStart).Seconds())
	}
	sort.Float64s(times)
	points := plotter.XYs{{X: 0, Y: 0}}
	for ix, at := range times {
		points = append(points, plotter.XY{X: at, Y: float64(ix)}, plotter.XY{X: at, Y: float64(ix + 1)})
	}
	end := max(rn.Scenario.Duration.Seconds(), points[len(points)-1].X)
	return append(points, plotter.XY{X: end, Y: float64(len(times))})
}

// writePNG writes two plots to a file, one above the other.
func writePNG(path string, upper, lower *plot.Plot) error {
	img := vgimg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadY: vg.Millimeter}
	rows := [][]*plot.Plot{{upper}, {lower}}
	canvases := plot.Align(rows, tiles, draw.New(img))
	for ix := range rows {
		rows[ix][0].Draw(canvases[ix][0])
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	_, err = vgimg.PngCanvas{Canvas: img}.WriteTo(file)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}
