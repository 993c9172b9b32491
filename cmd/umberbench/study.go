package main

import (
	"fmt"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/umberthread/umberthread/fault"
	"github.com/umberthread/umberthread/internal/study"
)

// studyOptions are the flags of the study command.
type studyOptions struct {
	sizes    []int
	seed     uint64
	lossRate float64
	// plotDir is the folder for the plot; "" writes none.
	plotDir string
}

// runStudy simulates a failure domain of each size and prints a table.
func runStudy(o studyOptions) error {
	var all []study.Result
	for _, size := range o.sizes {
		began := time.Now()
		progress := func(what string) {
			fmt.Fprintf(os.Stderr, "%d members: %s, after %s\n", size, what, time.Since(began).Round(time.Second))
		}
		all = append(all, study.Run(study.Options{Members: size, Seed: o.seed, Loss: o.lossRate, Progress: progress}))
	}
	printStudy(all)
	if o.plotDir == "" {
		return nil
	}
	return plotStudy(filepath.Join(o.plotDir, "study.svg"), all)
}

// printStudy prints one row per simulated failure domain.
func printStudy(all []study.Result) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "members\tsettled s\tquiet B/s\trestarts B/s\tsuspected /h\theld dead /h\tnoticed s, median\t99%\tby all, longest\tin force ms, median\t99%\tlongest")
	for _, f := range all {
		_, _ = fmt.Fprintf(w, "%d\t%.0f\t%.0f\t%.0f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%d\t%d\n",
			f.Members, f.SettleTime.Seconds(), f.IdleBytesPerSecond, f.RestartBytesPerSecond, f.FalseSuspicionsPerHour, f.FalseDeathsPerHour,
			f.DetectionTime.Median.Seconds(), f.DetectionTime.P99.Seconds(), f.FullDetectionTime.Max.Seconds(),
			f.SettingsPropagationTime.Median.Milliseconds(), f.SettingsPropagationTime.P99.Milliseconds(), f.SettingsPropagationTime.Max.Milliseconds())
	}
	_ = w.Flush()
}

// plotStudy plots failure detection and settings activation times by the number
// of members.
func plotStudy(path string, all []study.Result) error {
	p := plot.New()
	p.Title.Text = "A failure domain in virtual time"
	p.X.Label.Text = "members"
	p.Y.Label.Text = "seconds"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	p.Legend.Left = true
	lines := []struct {
		name string
		of   func(study.Result) time.Duration
	}{
		{"a loss noticed, median", func(f study.Result) time.Duration { return f.DetectionTime.Median }},
		{"a loss noticed by all, longest", func(f study.Result) time.Duration { return f.FullDetectionTime.Max }},
		{"a change in force on all, longest", func(f study.Result) time.Duration { return f.SettingsPropagationTime.Max }},
	}
	for i, l := range lines {
		pts := make(plotter.XYs, len(all))
		for j, f := range all {
			pts[j].X, pts[j].Y = float64(f.Members), l.of(f).Seconds()
		}
		line, points, err := plotter.NewLinePoints(pts)
		if err != nil {
			return fault.Wrap(fault.Internal, err, "cannot create a line of the plot")
		}
		line.Color, points.Color = plotutil.Color(i), plotutil.Color(i)
		p.Add(line, points)
		p.Legend.Add(l.name, line, points)
	}
	if err := p.Save(24*vg.Centimeter, 12*vg.Centimeter, path); err != nil {
		return fault.Wrap(fault.Internal, err, "cannot write the plot")
	}
	return nil
}
