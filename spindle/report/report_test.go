package report

import (
	"bytes"
	"context"
	"image/png"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/burn"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// sample has a goal that pages in both rules and one that is well.
func sample() []plane.BurnWindow {
	var counts []plane.BurnWindow
	for _, length := range burn.WindowLengths() {
		counts = append(counts,
			plane.BurnWindow{Workspace: "rajkot", Route: "", Length: span.Duration(length), Good: 990, Bad: 10, Share: 0.95},
			plane.BurnWindow{Workspace: "surat", Route: "filing", Length: span.Duration(length), Good: 100, Bad: 400, Share: 0.95},
		)
	}
	return counts
}

func TestTextAndJSON(t *testing.T) {
	for name, counts := range map[string][]plane.BurnWindow{"sample": sample(), "empty": nil} {
		t.Run(name, func(t *testing.T) {
			var text, object bytes.Buffer
			report := New(counts)
			require.NoError(t, report.WriteText(&text))
			require.NoError(t, report.WriteJSON(&object))
			goldie.New(t).Assert(t, name+".txt", text.Bytes())
			goldie.New(t).Assert(t, name+".json", object.Bytes())
		})
	}
}

func TestFetchShowsMetricsAndSilentDaemons(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(`{"requests": 12, "first_p99_us": 840000}`))
	}))
	address := strings.TrimPrefix(server.URL, "http://")
	broken := httptest.NewServer(http.NotFoundHandler())
	defer broken.Close()
	report := New(nil)
	report.Fetch(context.Background(), server.Client(), []string{address, strings.TrimPrefix(broken.URL, "http://")})
	server.Close()
	require.Equal(t, map[string]float64{"requests": 12, "first_p99_us": 840000}, report.Daemons[0].Values)
	require.Contains(t, report.Daemons[1].Error, "status 404")
	var text bytes.Buffer
	require.NoError(t, report.WriteText(&text))
	require.Contains(t, text.String(), "first_p99_us  840000")
	require.Contains(t, text.String(), "no metrics")
}

func TestPictureShowsEachBurningGoal(t *testing.T) {
	colours := map[string]int{}
	for name, counts := range map[string][]plane.BurnWindow{"sample": sample(), "empty": nil} {
		file := filepath.Join(t.TempDir(), name+".png")
		require.NoError(t, New(counts).WritePicture(file))
		opened, err := os.Open(file)
		require.NoError(t, err)
		picture, err := png.Decode(opened)
		require.NoError(t, err)
		require.NoError(t, opened.Close())
		seen := map[[3]uint32]bool{}
		for x := range picture.Bounds().Dx() {
			for y := range picture.Bounds().Dy() {
				r, g, b, _ := picture.At(x, y).RGBA()
				if r != g || g != b {
					seen[[3]uint32{r, g, b}] = true
				}
			}
		}
		colours[name] = len(seen)
	}
	require.Zero(t, colours["empty"])
	require.GreaterOrEqual(t, colours["sample"], len(burn.WindowLengths()))
}
