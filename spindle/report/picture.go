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
	// barWidth, goalWidth and picture sizes, in points.
	barWidth       = vg.Length(10)
	objectiveWidth = vg.Length(90)
	marginWidth    = vg.Length(160)
	pictureHeight  = vg.Length(320)
	// maxObjectives is the number of goals drawn; paging ones come first.
	maxObjectives = 24
)

// WritePicture draws the burn rates as a PNG file: a group of bars for each
// goal, a bar for each window, and a line where the budget lasts just as long
// as its period.
func (r *Report) WritePicture(file string) error {
	chart, goals, err := r.draw()
	if err != nil {
		return &Error{Op: "draw", Kind: KindPicture, Err: err}
	}
	width := marginWidth + objectiveWidth*vg.Length(max(len(goals), 1))
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
	goals := r.Objectives[:min(len(r.Objectives), maxObjectives)]
	chart := plot.New()
	chart.Title.Text = "Burn rate by goal"
	chart.Y.Label.Text = "times the rate that the budget allows"
	chart.Y.Min = 0
	chart.Legend.Top = true
	lengths := burn.WindowLengths()
	for i := range lengths {
		if err := addBars(chart, goals, i); err != nil {
			return nil, nil, err
		}
	}
	if err := addBudgetLine(chart, len(goals)); err != nil {
		return nil, nil, err
	}
	if len(goals) > 0 {
		chart.NominalX(objectiveLabels(goals)...)
	}
	return chart, goals, nil
}

// addBars adds the bars of window number i, one for each goal.
func addBars(chart *plot.Plot, goals []burn.Objective, i int) error {
	length := burn.WindowLengths()[i]
	values := make(plotter.Values, len(goals))
	for at, goal := range goals {
		for _, window := range goal.Windows {
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

// addBudgetLine draws the rate of 1.
func addBudgetLine(chart *plot.Plot, goals int) error {
	right := math.Max(float64(goals)-0.5, 0.5)
	line, err := plotter.NewLine(plotter.XYs{{X: -0.5, Y: 1}, {X: right, Y: 1}})
	if err != nil {
		return err
	}
	line.Color = color.Gray{Y: 96}
	chart.Add(line)
	return nil
}

func objectiveLabels(goals []burn.Objective) []string {
	names := make([]string, 0, len(goals))
	for _, goal := range goals {
		name := goal.Workspace + "\n" + routeName(goal)
		if len(goal.Pages) > 0 {
			name += "\nPAGE"
		}
		names = append(names, name)
	}
	return names
}
