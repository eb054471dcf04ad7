package advert_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
)

// Answers on different connections overtake each other: an older one must neither end nor
// raise a limit, and a newer one must do both.
func TestNewestStatementOfLimitHolds(t *testing.T) {
	start := time.Now()
	stated := func(limit, sent, arrived float64) advert.Limit {
		at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
		return advert.Limit{Named: limit >= 0, RequestsPerSecond: max(limit, 0), Sent: at(sent), Arrived: at(arrived)}
	}
	const none = -1
	for name, test := range map[string]struct {
		statements []advert.Limit
		want       float64
	}{
		"nothing said":                            {nil, none},
		"named":                                   {[]advert.Limit{stated(2, 0, 1)}, 2},
		"ended by a newer answer":                 {[]advert.Limit{stated(2, 0, 1), stated(none, 1.1, 1.2)}, none},
		"not ended by one that overlaps":          {[]advert.Limit{stated(2, 0, 1), stated(none, 0.9, 1.2)}, 2},
		"raised by a newer answer":                {[]advert.Limit{stated(2, 0, 1), stated(5, 1.1, 1.2)}, 5},
		"not raised by one that overlaps":         {[]advert.Limit{stated(2, 0, 1), stated(5, 0.9, 1.2)}, 2},
		"lowered by one that overlaps":            {[]advert.Limit{stated(2, 0, 1), stated(1, 0.9, 1.2)}, 1},
		"not named again by an older answer":      {[]advert.Limit{stated(none, 2, 3), stated(2, 0, 1)}, none},
		"not lowered by an older answer":          {[]advert.Limit{stated(2, 2, 3), stated(1, 0, 1)}, 2},
		"confirmed, then not ended by an overlap": {[]advert.Limit{stated(2, 0, 1), stated(2, 1, 3), stated(none, 2, 4)}, 2},
		"confirmed by an older answer, then ended": {
			[]advert.Limit{stated(2, 2, 3), stated(2, 0, 2.5), stated(none, 3.1, 4)}, none,
		},
		"zero": {[]advert.Limit{stated(0, 0, 1)}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			limit := advert.Limit{}
			for _, statement := range test.statements {
				before := limit
				changed := limit.Merge(statement)
				require.Equal(t, before.Named != limit.Named || before.RequestsPerSecond != limit.RequestsPerSecond, changed)
			}
			require.Equal(t, test.want >= 0, limit.Named)
			require.Equal(t, max(test.want, 0), limit.RequestsPerSecond)
		})
	}
}
