package main

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/umberthread/umberthread/fault"
)

// plotUsefulCalls plots the useful calls per second over time, one line per run.
func plotUsefulCalls(path string, o surgeOptions, all []surgeResult) error {
	p := plot.New()
	p.Title.Text = "Useful calls of the overloaded service: " + o.scenario
	p.X.Label.Text = "time due, s"
	p.Y.Label.Text = "calls per second"
	p.Legend.Top = true
	for i, res := range all {
		pts := make(plotter.XYs, len(res.usefulCallRates))
		for j, v := range res.usefulCallRates {
			pts[j].X = float64(j) * rateInterval.Seconds()
			pts[j].Y = v
		}
		line, err := plotter.NewLine(pts)
		if err != nil {
			return fault.Wrap(fault.Internal, err, "cannot create a line of the plot")
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(fmt.Sprintf("%s, %gx", res.policy, res.demandFactor), line)
	}
	if err := p.Save(24*vg.Centimeter, 12*vg.Centimeter, path); err != nil {
		return fault.Wrap(fault.Internal, err, "cannot write the plot")
	}
	return nil
}
