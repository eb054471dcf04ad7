package outage_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/event"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/meter"
	"github.com/tanagerspindle/tanagerspindle/pkg/outage"
)

// lines is a buffer for concurrent use.
type lines struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (l *lines) Write(b []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.Write(b)
}

// matching returns the lines of an event.
func (l *lines) matching(event string) (found []string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for line := range strings.Lines(l.text.String()) {
		if strings.Contains(line, "event="+event) {
			found = append(found, line)
		}
	}
	return found
}

// A daemon whose feeds all end at once logs so few lines that the log of an outage of hours is
// short, each with the address, the time and the last error.
func TestOutageOfControlIsReported(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		written := &lines{}
		h := host.Host{VM: "e", Log: event.New(written, "e"), Meter: meter.New()}
		m := &outage.Monitor{Host: h, Address: func() string { return "c1:1" }}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go m.Run(ctx)
		for range 10 {
			time.Sleep(150 * time.Millisecond)
			m.Renewed()
		}
		require.Empty(t, written.matching("control-missing"))
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			m.Lost(fmt.Errorf("closed"))
		}
		missing := written.matching("control-missing")
		require.Len(t, missing, 5, "after 2, 4, 8, 16 and 32 s")
		require.Contains(t, missing[0], "address=c1:1 silence=2")
		require.Contains(t, missing[0], "err=closed")
		require.GreaterOrEqual(t, h.Meter.Value(outage.Gauge), int64(59_000))
		require.Empty(t, written.matching("control-regained"))
		m.Renewed()
		regained := written.matching("control-regained")
		require.Len(t, regained, 1)
		require.Contains(t, regained[0], "feeds_lost=600")
		time.Sleep(time.Second)
		require.Less(t, h.Meter.Value(outage.Gauge), int64(2000))
	})
}
