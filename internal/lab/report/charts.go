package report

import (
	"cmp"
	"fmt"
	"image/color"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"harrierhoist/internal/lab/experiment"
)

// Charts writes the charts into a folder and gives their names.
func Charts(dir string, lines []*experiment.Line) ([]string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	var names []string
	byWorld := map[string][][]*experiment.Line{}
	var order []string
	for _, g := range groups(lines) {
		key := fmt.Sprintf("%s-%d", g[0].World, g[0].Gateways)
		if byWorld[key] == nil {
			order = append(order, key)
		}
		byWorld[key] = append(byWorld[key], g)
	}
	for _, key := range order {
		for name, draw := range map[string]func([][]*experiment.Line) (*plot.Plot, error){"service": overTime,
			"times": times, "units": units} {
			p, err := draw(byWorld[key])
			if err != nil {
				return nil, err
			}
			file := filepath.Join(dir, fmt.Sprintf("%s-%s.svg", strings.ReplaceAll(key, " ", "-"), name))
			if err := p.Save(7*vg.Inch, 3.5*vg.Inch, file); err != nil {
				return nil, err
			}
			names = append(names, file)
		}
	}
	p, err := sizes(groups(lines))
	if err != nil {
		return nil, err
	}
	if p != nil {
		file := filepath.Join(dir, "sizes.svg")
		if err := p.Save(7*vg.Inch, 3.5*vg.Inch, file); err != nil {
			return nil, err
		}
		names = append(names, file)
	}
	slices.Sort(names)
	return names, nil
}

// overTime draws the part of the due gain that is served, second by second, with troubles shaded.
func overTime(gs [][]*experiment.Line) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %d gateways: service over time", gs[0][0].World, gs[0][0].Gateways)
	p.X.Label.Text, p.Y.Label.Text = "second", "gain served over due"
	p.Y.Min, p.Y.Max = 0, 1.2
	for _, t := range gs[0][0].Troubles {
		from, to := t.At.D().Seconds(), max((t.At+t.For).D().Seconds(), t.At.D().Seconds()+0.2)
		shade, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: 1.2}, {X: from, Y: 1.2}})
		if err != nil {
			return nil, err
		}
		shade.Color, shade.LineStyle.Width = color.RGBA{R: 230, G: 190, B: 150, A: 90}, 0
		p.Add(shade)
	}
	for i, g := range gs {
		points := plotter.XYs{}
		for s := range g[0].Seconds {
			gain, due := 0.0, 0.0
			for _, l := range g {
				if s < len(l.Seconds) {
					gain, due = gain+l.Seconds[s].Gain, due+l.Seconds[s].Due
				}
			}
			if due > 0 {
				points = append(points, plotter.XY{X: float64(s) + 1, Y: math.Min(gain/due, 1.2)})
			}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(g[0].Variant, line)
	}
	return p, nil
}

// times draws the percentiles of answer times.
func times(gs [][]*experiment.Line) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %d gateways: answer times", gs[0][0].World, gs[0][0].Gateways)
	p.Y.Label.Text = "ms, slowest lane"
	names := []string{"p50", "p99", "p99.9"}
	width := vg.Points(14)
	for i, g := range gs {
		values := plotter.Values{
			meanOf(g, func(l *experiment.Line) float64 { return slices.Max(l.P50) }),
			meanOf(g, func(l *experiment.Line) float64 { return slices.Max(l.P99) }),
			meanOf(g, func(l *experiment.Line) float64 { return slices.Max(l.P999) })}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return nil, err
		}
		bars.Color, bars.LineStyle.Width = plotutil.Color(i), 0
		bars.Offset = width * vg.Length(float64(i)-float64(len(gs)-1)/2)
		p.Add(bars)
		p.Legend.Add(g[0].Variant, bars)
	}
	p.Legend.Top, p.Legend.Left = true, true
	p.NominalX(names...)
	return p, nil
}

// units draws what was sent on beyond quotas.
func units(gs [][]*experiment.Line) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %d gateways: units beyond quotas", gs[0][0].World, gs[0][0].Gateways)
	p.Y.Label.Text = "part of the units sent on"
	var names []string
	var values plotter.Values
	for _, g := range gs {
		names = append(names, g[0].Variant)
		values = append(values, meanOf(g, func(l *experiment.Line) float64 { return l.Beyond }))
	}
	bars, err := plotter.NewBarChart(values, vg.Points(24))
	if err != nil {
		return nil, err
	}
	bars.Color = plotutil.Color(2)
	p.Add(bars)
	p.NominalX(names...)
	return p, nil
}

// sizes draws the net service against the number of gateways, where there are several.
func sizes(gs [][]*experiment.Line) (*plot.Plot, error) {
	by := map[string]plotter.XYs{}
	var order []string
	most := map[int]bool{}
	for _, g := range gs {
		key := g[0].World + " " + g[0].Variant
		if by[key] == nil {
			order = append(order, key)
		}
		most[g[0].Gateways] = true
		by[key] = append(by[key], plotter.XY{X: float64(g[0].Gateways), Y: meanOf(g,
			func(l *experiment.Line) float64 { return l.Net })})
	}
	if len(most) < 2 {
		return nil, nil
	}
	p := plot.New()
	p.Title.Text = "net service against the number of gateways"
	p.X.Label.Text, p.Y.Label.Text = "gateways", "net service"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	for i, key := range order {
		slices.SortFunc(by[key], func(a, b plotter.XY) int { return cmp.Compare(a.X, b.X) })
		line, points, err := plotter.NewLinePoints(by[key])
		if err != nil {
			return nil, err
		}
		line.Color, points.Color = plotutil.Color(i), plotutil.Color(i)
		p.Add(line, points)
		p.Legend.Add(key, line)
	}
	return p, nil
}
