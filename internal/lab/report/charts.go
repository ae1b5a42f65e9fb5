package report

import (
	"cmp"
	"fmt"
	"image/color"
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

// The size of a chart.
const (
	chartWidth  = 7 * vg.Inch
	chartHeight = 3.5 * vg.Inch
)

// chartFolderMode lets all users read the folder of charts.
const chartFolderMode = 0o755

// The widths of bars.
const (
	answerTimeBarWidth = 14 * vg.Length(1) // points
	overQuotaBarWidth  = 24 * vg.Length(1)
)

// overQuotaColor is the place of the color of its bars among those of plotutil.
const overQuotaColor = 2

// The shade of a fault.
const (
	shadeRed   = 230
	shadeGreen = 190
	shadeBlue  = 150
	shadeAlpha = 90
)

const (
	// maxDrawnService is the top of the axis of service: more than is due is drawn there.
	maxDrawnService = 1.2
	// minDrawnFault is the least width of a fault's shade, in seconds.
	minDrawnFault = 0.2
)

// chart draws the results of one scenario and size, grouped by variant.
type chart struct {
	name string // the end of the file's name
	draw func(groups [][]*experiment.Result) (*plot.Plot, error)
}

var charts = []chart{{"service", serviceOverTime}, {"times", answerTimes}, {"units", overQuotaUnits}}

// WriteCharts writes the charts into a folder and gives their files, sorted.
func WriteCharts(dir string, results []*experiment.Result) ([]string, error) {
	if err := os.MkdirAll(dir, chartFolderMode); err != nil {
		return nil, err
	}
	var files []string
	save := func(name string, drawn *plot.Plot) error {
		file := filepath.Join(dir, name+".svg")
		files = append(files, file)
		return drawn.Save(chartWidth, chartHeight, file)
	}
	groups := groupRuns(results)
	byScenario := map[string][][]*experiment.Result{}
	for _, runs := range groups {
		key := fmt.Sprintf("%s-%d", runs[0].Scenario, runs[0].Gateways)
		byScenario[key] = append(byScenario[key], runs)
	}
	for key, groups := range byScenario {
		for _, chart := range charts {
			drawn, err := chart.draw(groups)
			if err != nil {
				return nil, err
			}
			if err := save(strings.ReplaceAll(key, " ", "-")+"-"+chart.name, drawn); err != nil {
				return nil, err
			}
		}
	}
	drawn, err := netByGateways(groups)
	if err != nil {
		return nil, err
	}
	if drawn != nil {
		if err := save("sizes", drawn); err != nil {
			return nil, err
		}
	}
	slices.Sort(files)
	return files, nil
}

// titled starts a chart of one scenario and size.
func titled(groups [][]*experiment.Result, of string) *plot.Plot {
	drawn := plot.New()
	drawn.Title.Text = fmt.Sprintf("%s, %d gateways: %s", groups[0][0].Scenario, groups[0][0].Gateways, of)
	return drawn
}

// serviceOverTime draws the part of the due weight that is served, second by second, with faults
// shaded.
func serviceOverTime(groups [][]*experiment.Result) (*plot.Plot, error) {
	drawn := titled(groups, "service over time")
	drawn.X.Label.Text = "second"
	drawn.Y.Label.Text = "weight served over due"
	drawn.Y.Min = 0
	drawn.Y.Max = maxDrawnService
	for _, fault := range groups[0][0].Faults {
		from := fault.Start.D().Seconds()
		to := max((fault.Start + fault.Duration).D().Seconds(), from+minDrawnFault)
		shade, err := plotter.NewPolygon(plotter.XYs{
			{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: maxDrawnService}, {X: from, Y: maxDrawnService},
		})
		if err != nil {
			return nil, err
		}
		shade.Color = color.RGBA{R: shadeRed, G: shadeGreen, B: shadeBlue, A: shadeAlpha}
		shade.Width = 0
		drawn.Add(shade)
	}
	for i, runs := range groups {
		line, err := plotter.NewLine(servicePoints(runs))
		if err != nil {
			return nil, err
		}
		line.Color = plotutil.Color(i)
		drawn.Add(line)
		drawn.Legend.Add(runs[0].Variant, line)
	}
	return drawn, nil
}

// servicePoints are the service of all runs together, second by second.
func servicePoints(runs []*experiment.Result) plotter.XYs {
	points := plotter.XYs{}
	for second := range runs[0].Timeline {
		served := 0.0
		due := 0.0
		for _, result := range runs {
			if second < len(result.Timeline) {
				served += result.Timeline[second].ServedValue
				due += result.Timeline[second].DueValue
			}
		}
		if due > 0 {
			points = append(points, plotter.XY{X: float64(second) + 1, Y: min(served/due, maxDrawnService)})
		}
	}
	return points
}

// answerTimes draws the percentiles of answer times.
func answerTimes(groups [][]*experiment.Result) (*plot.Plot, error) {
	drawn := titled(groups, "answer times")
	drawn.Y.Label.Text = "ms, slowest class"
	const width = answerTimeBarWidth
	for i, runs := range groups {
		values := plotter.Values{
			meanOf(runs, func(result *experiment.Result) float64 { return slices.Max(result.P50) }),
			meanOf(runs, func(result *experiment.Result) float64 { return slices.Max(result.P99) }),
			meanOf(runs, func(result *experiment.Result) float64 { return slices.Max(result.P999) }),
		}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return nil, err
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = width * vg.Length(float64(i)-float64(len(groups)-1)/2)
		drawn.Add(bars)
		drawn.Legend.Add(runs[0].Variant, bars)
	}
	drawn.Legend.Top = true
	drawn.Legend.Left = true
	drawn.NominalX("p50", "p99", "p99.9")
	return drawn, nil
}

// overQuotaUnits draws what was forwarded beyond quotas.
func overQuotaUnits(groups [][]*experiment.Result) (*plot.Plot, error) {
	drawn := titled(groups, "units beyond quotas")
	drawn.Y.Label.Text = "part of the forwarded units"
	var names []string
	var values plotter.Values
	for _, runs := range groups {
		names = append(names, runs[0].Variant)
		values = append(values, meanOf(runs, func(result *experiment.Result) float64 { return result.OverQuota }))
	}
	bars, err := plotter.NewBarChart(values, overQuotaBarWidth)
	if err != nil {
		return nil, err
	}
	bars.Color = plotutil.Color(overQuotaColor)
	drawn.Add(bars)
	drawn.NominalX(names...)
	return drawn, nil
}

// netByGateways draws the net service against the number of gateways. It returns nil where there
// are not two numbers of gateways.
func netByGateways(groups [][]*experiment.Result) (*plot.Plot, error) {
	lines := map[string]plotter.XYs{}
	var order []string
	sizes := map[int]bool{}
	for _, runs := range groups {
		key := runs[0].Scenario + " " + runs[0].Variant
		if lines[key] == nil {
			order = append(order, key)
		}
		sizes[runs[0].Gateways] = true
		net := meanOf(runs, func(result *experiment.Result) float64 { return result.Net })
		lines[key] = append(lines[key], plotter.XY{X: float64(runs[0].Gateways), Y: net})
	}
	if len(sizes) <= 1 {
		return nil, nil
	}
	drawn := plot.New()
	drawn.Title.Text = "net service against the number of gateways"
	drawn.X.Label.Text = "gateways"
	drawn.Y.Label.Text = "net service"
	drawn.X.Scale = plot.LogScale{}
	drawn.X.Tick.Marker = plot.LogTicks{Prec: -1}
	for i, key := range order {
		slices.SortFunc(lines[key], func(a, b plotter.XY) int { return cmp.Compare(a.X, b.X) })
		line, points, err := plotter.NewLinePoints(lines[key])
		if err != nil {
			return nil, err
		}
		line.Color = plotutil.Color(i)
		points.Color = plotutil.Color(i)
		drawn.Add(line, points)
		drawn.Legend.Add(key, line)
	}
	return drawn, nil
}
