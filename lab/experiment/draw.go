package experiment

import (
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	figureWidth  = 7 * vg.Inch
	figureHeight = 4 * vg.Inch
)

// Draw writes a figure to the file NAME.svg in dir, which it creates if needed.
func Draw(dir string, figure Figure) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return eris.Wrap(err, "experiment: create figures directory")
	}
	p := plot.New()
	p.Title.Text = figure.Title
	p.X.Label.Text = figure.XLabel
	p.Y.Label.Text = figure.YLabel
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	for i, series := range figure.Series {
		if err := addSeries(p, i, series); err != nil {
			return err
		}
	}
	file := filepath.Join(dir, figure.Name+".svg")
	return eris.Wrap(p.Save(figureWidth, figureHeight, file), "experiment: write figure")
}

func addSeries(p *plot.Plot, index int, series Series) error {
	points := make(plotter.XYs, len(series.X))
	for i := range points {
		points[i].X = series.X[i]
		points[i].Y = series.Y[i]
	}
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return eris.Wrapf(err, "experiment: draw series %s", series.Name)
	}
	line.Color = plotutil.Color(index)
	dots.Color = plotutil.Color(index)
	dots.Shape = plotutil.Shape(index)
	p.Add(line, dots)
	p.Legend.Add(series.Name, line, dots)
	return nil
}
