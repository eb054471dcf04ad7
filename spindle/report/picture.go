package report

import (
	"image/color"
	"math"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/tanagerspindle/tanagerspindle/pkg/burn"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

const (
	// Sizes in points: objectiveWidth is the width of an objective's group of
	// bars.
	barWidth       = vg.Length(10)
	objectiveWidth = vg.Length(90)
	marginWidth    = vg.Length(160)
	pictureHeight  = vg.Length(320)
	// maxObjectives is the maximum number of objectives drawn; paging ones come
	// first.
	maxObjectives = 24
)

// WritePicture draws the burn rates as a PNG file: a group of bars for each
// objective, a bar for each window, and a line at the rate at which the error
// budget lasts exactly as long as its period.
func (r *Report) WritePicture(file string) error {
	chart, objectives, err := r.draw()
	if err != nil {
		return &Error{Op: "draw", Kind: KindPicture, Err: err}
	}
	width := marginWidth + objectiveWidth*vg.Length(max(len(objectives), 1))
	writer, err := chart.WriterTo(width, pictureHeight, "png")
	if err != nil {
		return &Error{Op: "draw", Kind: KindPicture, Err: err}
	}
	out, err := os.Create(file)
	if err != nil {
		return &Error{Op: "create " + file, Kind: KindPicture, Err: err}
	}
	if _, err := writer.WriteTo(out); err != nil {
		_ = out.Close()
		return &Error{Op: "write " + file, Kind: KindPicture, Err: err}
	}
	if err := out.Close(); err != nil {
		return &Error{Op: "write " + file, Kind: KindPicture, Err: err}
	}
	return nil
}

func (r *Report) draw() (*plot.Plot, []burn.Objective, error) {
	objectives := r.Objectives[:min(len(r.Objectives), maxObjectives)]
	chart := plot.New()
	chart.Title.Text = "Burn rate by goal"
	chart.Y.Label.Text = "times the rate that the budget allows"
	chart.Y.Min = 0
	chart.Legend.Top = true
	lengths := burn.WindowLengths()
	for i := range lengths {
		if err := addBars(chart, objectives, i); err != nil {
			return nil, nil, err
		}
	}
	if err := addBudgetLine(chart, len(objectives)); err != nil {
		return nil, nil, err
	}
	if len(objectives) > 0 {
		chart.NominalX(objectiveLabels(objectives)...)
	}
	return chart, objectives, nil
}

// addBars adds the bars of window number i, one for each objective.
func addBars(chart *plot.Plot, objectives []burn.Objective, i int) error {
	length := burn.WindowLengths()[i]
	values := make(plotter.Values, len(objectives))
	for at, objective := range objectives {
		for _, window := range objective.Windows {
			if window.Length.Std() == length {
				values[at] = window.Rate
			}
		}
	}
	if len(values) == 0 {
		return nil
	}
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return err
	}
	bars.Color = plotutil.Color(i)
	bars.LineStyle.Width = 0
	bars.Offset = barWidth * vg.Length(i-len(burn.WindowLengths())/2)
	chart.Add(bars)
	chart.Legend.Add(shortDuration(span.Duration(length)), bars)
	return nil
}

// addBudgetLine draws a line at the rate of 1, which uses up the error budget
// exactly at the end of its period.
func addBudgetLine(chart *plot.Plot, objectives int) error {
	right := math.Max(float64(objectives)-0.5, 0.5)
	line, err := plotter.NewLine(plotter.XYs{{X: -0.5, Y: 1}, {X: right, Y: 1}})
	if err != nil {
		return err
	}
	line.Color = color.Gray{Y: 96}
	chart.Add(line)
	return nil
}

func objectiveLabels(objectives []burn.Objective) []string {
	names := make([]string, 0, len(objectives))
	for _, objective := range objectives {
		name := objective.Workspace + "\n" + routeName(objective)
		if len(objective.Pages) > 0 {
			name += "\nPAGE"
		}
		names = append(names, name)
	}
	return names
}
