// Package story gathers what the logs of several processes say of one request
// and tells its cause.
package story

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	KindRead Kind = "cannot read the log"
	// KindMissing says that no line names the request.
	KindMissing Kind = "no line names the request"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// before and after are how far from a request events of its endpoints and
	// daemons may be to be told with it.
	before = 3 * time.Second
	after  = 500 * time.Millisecond
	// longestLine is the longest line read, in bytes.
	longestLine = 1 << 20
)

// Line is one event of one process.
type Line struct {
	// Time is by the process's own clock until the story is told, then by that
	// of the entry that took the request.
	Time   time.Time
	Daemon string
	Event  string
	// Fields are the other keys and values, in their order.
	Fields [][2]string
	// Context says that the line is about an endpoint or a daemon of the
	// request and not about the request itself.
	Context bool
}

// Get returns the value of a key.
func (l *Line) Get(key string) string {
	for _, field := range l.Fields {
		if field[0] == key {
			return field[1]
		}
	}
	return ""
}

// Trace is what the logs say of one request. Its fields are set before Read.
type Trace struct {
	// ID is the request's.
	ID string
	// Lines are in the order of cause, after Tell.
	Lines []Line
	// Cause is told by the request's last line.
	Cause string

	all []Line
}

// Read takes the log of one process, or of several.
func (s *Trace) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		if line, ok := parse(scanner.Text()); ok {
			s.all = append(s.all, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return &Error{Op: "read", Kind: KindRead, Err: err}
	}
	return nil
}

// parse reads one line; what stands before its time is skipped.
func parse(text string) (Line, bool) {
	at := strings.Index(text, "time=")
	if at < 0 {
		return Line{}, false
	}
	decoder := logfmt.NewDecoder(strings.NewReader(text[at:]))
	line := Line{}
	if !decoder.ScanRecord() {
		return line, false
	}
	for decoder.ScanKeyval() {
		key, value := string(decoder.Key()), string(decoder.Value())
		switch {
		case key == "time" && line.Time.IsZero():
			stamp, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return line, false
			}
			line.Time = stamp
		case key == "daemon" && line.Daemon == "":
			line.Daemon = value
		case key == "event" && line.Event == "":
			line.Event = value
		default:
			line.Fields = append(line.Fields, [2]string{key, value})
		}
	}
	return line, decoder.Err() == nil && line.Event != ""
}

// Assemble orders the lines of the request and what happened around it.
func (s *Trace) Assemble() error {
	last := -1
	for i := range s.all {
		line := &s.all[i]
		if line.Event == eventRequest && line.Get("id") == s.ID {
			last = i
		}
		if line.Get("id") == s.ID || line.Get("request") == s.ID {
			s.Lines = append(s.Lines, *line)
		}
	}
	if len(s.Lines) == 0 {
		return &Error{Op: "trace " + s.ID, Kind: KindMissing}
	}
	start, end, entry := s.span(last)
	s.shift(start, end, entry)
	s.addContext(start, end, entry)
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	s.Cause = "the request has no last line: its entry was lost, or still runs it"
	if last >= 0 {
		s.Cause = causeOf(&s.all[last])
	}
	return nil
}

// span returns the time of the request at the entry that took it.
func (s *Trace) span(last int) (start, end time.Time, entry string) {
	if last < 0 {
		return s.Lines[0].Time, s.Lines[len(s.Lines)-1].Time, s.Lines[0].Daemon
	}
	line := &s.all[last]
	took, err := time.ParseDuration(line.Get("time"))
	if err != nil {
		took = 0
	}
	return line.Time.Add(-took), line.Time, line.Daemon
}

// shift brings the lines of other processes into the time of the request where
// their clocks put them outside.
func (s *Trace) shift(start, end time.Time, entry string) {
	offsets := map[string]time.Duration{}
	for _, line := range s.Lines {
		if line.Daemon == entry {
			continue
		}
		switch {
		case line.Time.Before(start):
			offsets[line.Daemon] = max(offsets[line.Daemon], start.Sub(line.Time))
		case line.Time.After(end):
			offsets[line.Daemon] = min(offsets[line.Daemon], end.Sub(line.Time))
		}
	}
	for i := range s.Lines {
		s.Lines[i].Time = s.Lines[i].Time.Add(offsets[s.Lines[i].Daemon])
	}
}

// addContext adds what is said of the request's endpoints, and what its entry
// lost and regained around it.
func (s *Trace) addContext(start, end time.Time, entry string) {
	endpoints, workspace := map[string]bool{}, ""
	for _, line := range s.Lines {
		if name := line.Get("endpoint"); name != "" {
			endpoints[name] = true
		}
		workspace = cmp.Or(line.Get("workspace"), workspace)
	}
	for _, line := range s.all {
		if line.Time.Before(start.Add(-before)) || line.Time.After(end.Add(after)) {
			continue
		}
		other := line.Get("workspace") != "" && line.Get("workspace") != workspace
		about := aboutEndpoint[line.Event] && endpoints[line.Get("endpoint")] || aboutDaemon[line.Event] && line.Daemon == entry && !other
		if about && line.Get("request") != s.ID && line.Get("id") != s.ID {
			line.Context = true
			s.Lines = append(s.Lines, line)
		}
	}
}

// Write prints the story, one line for each event, and its cause.
func (s *Trace) Write(out io.Writer) error {
	first := s.Lines[0].Time
	for _, line := range s.Lines {
		mark := " "
		if line.Context {
			mark = "~"
		}
		text := fmt.Sprintf("%+10.3fs %s %-24s %-20s", line.Time.Sub(first).Seconds(), mark, line.Daemon, line.Event)
		for _, field := range line.Fields {
			text += " " + field[0] + "=" + field[1]
		}
		if _, err := fmt.Fprintln(out, text); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "cause: %s\n", s.Cause)
	return err
}
