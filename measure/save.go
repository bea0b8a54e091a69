package main

import (
	"os"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot/vg/vgsvg"
)

func saveCanvas(file string, canvas *vgsvg.Canvas) error {
	output, err := os.Create(file)
	if err != nil {
		return eris.Wrap(err, "create plot")
	}
	if _, err := canvas.WriteTo(output); err != nil {
		_ = output.Close()
		return eris.Wrap(err, "write plot")
	}
	return eris.Wrap(output.Close(), "close plot")
}
