package ctl

import (
	"bytes"
	_ "embed"
	"html/template"
	"image/color"
	"sort"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/umberthread/umberthread/burn"
	"github.com/umberthread/umberthread/fault"
)

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent":  func(f float64) float64 { return 100 * f },
	"counts":   formatCounts,
	"rate":     formatRate,
	"join":     strings.Join,
	"when":     func(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05 UTC") },
	"overload": func(o OverloadPeriod) string { return o.format() },
}).Parse(pageSource))

// pageData is the input of the page's template.
type pageData struct {
	*BurnReport
	Windows []burn.Window
	Plots   []pagePlot
}

// pagePlot is a plot with its heading.
type pagePlot struct {
	Title string
	SVG   template.HTML
}

const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// RenderPage returns the report as a self-contained HTML page.
func RenderPage(r *BurnReport) ([]byte, error) {
	d := pageData{BurnReport: r, Windows: burn.Windows[:]}
	for _, f := range []func(*BurnReport) (*pagePlot, error){plotServed, plotBurnRates, plotRefusals} {
		p, err := f(r)
		if err != nil {
			return nil, err
		}
		if p != nil {
			d.Plots = append(d.Plots, *p)
		}
	}
	var b bytes.Buffer
	if err := pageTemplate.Execute(&b, d); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "cannot render the page")
	}
	return b.Bytes(), nil
}

// plotServed plots the share of requests served within the objective over the last
// five minutes, by kind. It returns nil if there are no requests.
func plotServed(r *BurnReport) (*pagePlot, error) {
	p := plot.New()
	p.X.Label.Text = "minutes ago"
	p.Y.Label.Text = "served well, %"
	p.Y.Min, p.Y.Max = 0, 102
	p.Legend.Left = true
	p.Legend.YOffs = vg.Points(4)
	p.Legend.Padding = vg.Points(2)
	drawn := 0
	for i, k := range r.Kinds {
		var pts plotter.XYs
		for j, c := range k.Steps {
			if c.Total > 0 {
				ago := time.Duration(len(k.Steps)-j) * burn.StepDuration
				pts = append(pts, plotter.XY{X: -ago.Minutes(), Y: 100 * float64(c.Good) / float64(c.Total)})
			}
		}
		if len(pts) == 0 {
			continue
		}
		line, err := plotter.NewLine(pts)
		if err != nil {
			return nil, fault.Wrap(fault.Internal, err, "cannot draw the plot")
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i / len(plotutil.DefaultColors))
		line.Width = vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(k.Kind, line)
		drawn++
	}
	if drawn == 0 {
		return nil, nil
	}
	p.Add(plotter.NewGrid())
	return renderSVG("Served within the objective, last five minutes", p)
}

// plotBurnRates plots the burn rates of the last five minutes and hour, by kind.
func plotBurnRates(r *BurnReport) (*pagePlot, error) {
	if len(r.Kinds) == 0 {
		return nil, nil
	}
	p := plot.New()
	p.Y.Label.Text = "burn rate (1 spends the budget)"
	p.Legend.Top = true
	names := make([]string, len(r.Kinds))
	const width = 8
	for i, w := range []int{1, 2} {
		values := make(plotter.Values, len(r.Kinds))
		for j, k := range r.Kinds {
			names[j] = k.Kind[strings.IndexByte(k.Kind, '/')+1:]
			values[j] = k.Rates[w]
		}
		bars, err := plotter.NewBarChart(values, vg.Points(width))
		if err != nil {
			return nil, fault.Wrap(fault.Internal, err, "cannot draw the plot")
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = vg.Points(float64(i)*width - width/2)
		p.Add(bars)
		p.Legend.Add(burn.Windows[w].Name, bars)
	}
	p.Legend.Left = true
	p.Legend.Padding = vg.Points(2)
	p.NominalX(names...)
	addMargins(p, len(names))
	p.X.Tick.Label.Rotation = 0.5
	p.X.Tick.Label.XAlign = draw.XRight
	p.X.Tick.Label.YAlign = draw.YCenter
	return renderSVG("Burn by kind", p)
}

// addMargins leaves space beside the outer bars, and above the bars for the legend.
func addMargins(p *plot.Plot, bars int) {
	p.X.Min, p.X.Max = -0.5, float64(bars)-0.5
	p.Y.Max *= 1.25
}

// plotRefusals plots the refusals since start, by reason.
func plotRefusals(r *BurnReport) (*pagePlot, error) {
	if len(r.Refusals) == 0 {
		return nil, nil
	}
	var names []string
	for n := range r.Refusals {
		names = append(names, n)
	}
	sort.Strings(names)
	values := make(plotter.Values, len(names))
	for i, n := range names {
		values[i] = float64(r.Refusals[n])
	}
	p := plot.New()
	p.Y.Label.Text = "refusals since start"
	bars, err := plotter.NewBarChart(values, vg.Points(24))
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "cannot draw the plot")
	}
	bars.Color = color.RGBA{R: 0xb0, G: 0x60, B: 0x30, A: 0xff}
	bars.LineStyle.Width = 0
	p.Add(bars)
	p.NominalX(names...)
	addMargins(p, len(names))
	return renderSVG("Refusals by reason", p)
}

// renderSVG renders a plot as an SVG element to embed in a page.
func renderSVG(title string, p *plot.Plot) (*pagePlot, error) {
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "cannot draw the plot")
	}
	text := b.String()
	if i := strings.Index(text, "<svg"); i > 0 {
		text = text[i:]
	}
	return &pagePlot{title, template.HTML(text)}, nil
}
