package main

import (
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth      = 22 * vg.Centimeter
	plotHeight     = 18 * vg.Centimeter
	secondsPerHour = 3600
)

// plotPlacement plots the skew and the weights moved over the third day, with one line for each policy.
func plotPlacement(file string, names []string, results map[string]placementResult) error {
	skew, moved := plot.New(), plot.New()
	skew.Title.Text = "Step-time skew over a day"
	skew.Y.Label.Text = "slowest rank over mean"
	moved.Title.Text = "Weights moved over a day"
	moved.Y.Label.Text = "GB"
	moved.X.Label.Text = "hour"
	var skewLines, movedLines []any
	for _, name := range names {
		var skews, moves plotter.XYs
		for _, point := range results[name].points {
			skews = append(skews, plotter.XY{
				X: point.Second / secondsPerHour,
				Y: point.Skew,
			})
			moves = append(moves, plotter.XY{
				X: point.Second / secondsPerHour,
				Y: point.MovedGB,
			})
		}
		skewLines = append(skewLines, name, skews)
		if name != "greedy" {
			movedLines = append(movedLines, name, moves)
		}
	}
	if err := plotutil.AddLines(skew, skewLines...); err != nil {
		return eris.Wrap(err, "plot skew")
	}
	if err := plotutil.AddLines(moved, movedLines...); err != nil {
		return eris.Wrap(err, "plot weights moved")
	}
	moved.Title.Text += " (greedy left out, see the table)"
	return writePlots(file, skew, moved)
}

func writePlots(file string, skew, moved *plot.Plot) error {
	canvas := vgsvg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{
		Rows: 2,
		Cols: 1,
	}
	for row, drawn := range []*plot.Plot{skew, moved} {
		drawn.Draw(tiles.At(draw.New(canvas), 0, row))
	}
	return saveCanvas(file, canvas)
}
