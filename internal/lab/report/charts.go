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

// WriteCharts writes the charts into a folder and gives their names.
func WriteCharts(dir string, results []*experiment.Result) ([]string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	var names []string
	byWorld := map[string][][]*experiment.Result{}
	var order []string
	for _, runs := range groupRuns(results) {
		key := fmt.Sprintf("%s-%d", runs[0].Scenario, runs[0].Gateways)
		if byWorld[key] == nil {
			order = append(order, key)
		}
		byWorld[key] = append(byWorld[key], runs)
	}
	for _, key := range order {
		for name, draw := range map[string]func([][]*experiment.Result) (*plot.Plot, error){"service": serviceOverTime,
			"times": answerTimes, "units": overQuotaUnits} {
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
	p, err := byGatewayCount(groupRuns(results))
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

// serviceOverTime draws the part of the due gain that is served, second by second, with troubles shaded.
func serviceOverTime(groups [][]*experiment.Result) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %d gateways: service over time", groups[0][0].Scenario, groups[0][0].Gateways)
	p.X.Label.Text, p.Y.Label.Text = "second", "gain served over due"
	p.Y.Min, p.Y.Max = 0, 1.2
	for _, t := range groups[0][0].Faults {
		from, to := t.Start.D().Seconds(), max((t.Start+t.Duration).D().Seconds(), t.Start.D().Seconds()+0.2)
		shade, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: 1.2}, {X: from, Y: 1.2}})
		if err != nil {
			return nil, err
		}
		shade.Color, shade.LineStyle.Width = color.RGBA{R: 230, G: 190, B: 150, A: 90}, 0
		p.Add(shade)
	}
	for i, runs := range groups {
		points := plotter.XYs{}
		for s := range runs[0].Timeline {
			gain, due := 0.0, 0.0
			for _, result := range runs {
				if s < len(result.Timeline) {
					gain, due = gain+result.Timeline[s].ServedValue, due+result.Timeline[s].DueValue
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
		p.Legend.Add(runs[0].Variant, line)
	}
	return p, nil
}

// answerTimes draws the percentiles of answer times.
func answerTimes(groups [][]*experiment.Result) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %d gateways: answer times", groups[0][0].Scenario, groups[0][0].Gateways)
	p.Y.Label.Text = "ms, slowest lane"
	names := []string{"p50", "p99", "p99.9"}
	width := vg.Points(14)
	for i, runs := range groups {
		values := plotter.Values{
			meanOf(runs, func(result *experiment.Result) float64 { return slices.Max(result.P50) }),
			meanOf(runs, func(result *experiment.Result) float64 { return slices.Max(result.P99) }),
			meanOf(runs, func(result *experiment.Result) float64 { return slices.Max(result.P999) })}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return nil, err
		}
		bars.Color, bars.LineStyle.Width = plotutil.Color(i), 0
		bars.Offset = width * vg.Length(float64(i)-float64(len(groups)-1)/2)
		p.Add(bars)
		p.Legend.Add(runs[0].Variant, bars)
	}
	p.Legend.Top, p.Legend.Left = true, true
	p.NominalX(names...)
	return p, nil
}

// overQuotaUnits draws what was sent on beyond quotas.
func overQuotaUnits(groups [][]*experiment.Result) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %d gateways: units beyond quotas", groups[0][0].Scenario, groups[0][0].Gateways)
	p.Y.Label.Text = "part of the units sent on"
	var names []string
	var values plotter.Values
	for _, runs := range groups {
		names = append(names, runs[0].Variant)
		values = append(values, meanOf(runs, func(result *experiment.Result) float64 { return result.OverQuota }))
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

// byGatewayCount draws the net service against the number of gateways, where there are several.
func byGatewayCount(groups [][]*experiment.Result) (*plot.Plot, error) {
	by := map[string]plotter.XYs{}
	var order []string
	most := map[int]bool{}
	for _, runs := range groups {
		key := runs[0].Scenario + " " + runs[0].Variant
		if by[key] == nil {
			order = append(order, key)
		}
		most[runs[0].Gateways] = true
		by[key] = append(by[key], plotter.XY{X: float64(runs[0].Gateways), Y: meanOf(runs,
			func(result *experiment.Result) float64 { return result.Net })})
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
