// Package story collects the log lines of several processes about one request,
// orders them and derives the cause of the request's outcome.
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
	// KindMissing means that no line names the request.
	KindMissing Kind = "no line names the request"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// contextBefore and contextAfter bound the time around a request from which
	// events of its endpoints and of its entry are included.
	contextBefore = 3 * time.Second
	contextAfter  = 500 * time.Millisecond
	// maxLineBytes is the length of the longest line that can be read.
	maxLineBytes = 1 << 20
)

// Line is one logged event of one process.
type Line struct {
	// Time is by the process's own clock until Trace.Assemble, then by the
	// clock of the entry that accepted the request.
	Time   time.Time
	Daemon string
	Event  string
	// Fields are the other keys and values in the order of the log.
	Fields [][2]string
	// Context is set when the line is about an endpoint or the entry of the
	// request and not about the request itself.
	Context bool
}

// Get returns the value of a key, or "".
func (l *Line) Get(key string) string {
	for _, field := range l.Fields {
		if field[0] == key {
			return field[1]
		}
	}
	return ""
}

// Trace collects the log lines of one request: set ID, call Read for each log,
// then Assemble and Write.
type Trace struct {
	// ID is the request's ID.
	ID string
	// Lines are the request's lines, ordered by aligned time, after Assemble.
	Lines []Line
	// Cause describes the request's outcome, after Assemble.
	Cause string

	logLines []Line
}

// Read adds the log of one or several processes.
func (t *Trace) Read(log io.Reader) error {
	return ReadLines(log, func(line Line) { t.logLines = append(t.logLines, line) })
}

// ReadLines calls add for each event in a log and skips other lines.
func ReadLines(log io.Reader, add func(Line)) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := parse(scanner.Text()); ok {
			add(line)
		}
	}
	if err := scanner.Err(); err != nil {
		return &Error{Op: "read", Kind: KindRead, Err: err}
	}
	return nil
}

// parse parses one line; text before the key "time" is skipped.
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

// Assemble selects and orders the lines of the request and those about its
// endpoints and its entry around the same time, and sets Cause.
func (t *Trace) Assemble() error {
	last := -1
	for i := range t.logLines {
		line := &t.logLines[i]
		if line.Event == eventRequest && line.Get("id") == t.ID {
			last = i
		}
		if line.Get("id") == t.ID || line.Get("request") == t.ID {
			t.Lines = append(t.Lines, *line)
		}
	}
	if len(t.Lines) == 0 {
		return &Error{Op: "trace " + t.ID, Kind: KindMissing}
	}
	start, end, entry := t.requestTime(last)
	t.alignClocks(start, end, entry)
	t.addContext(start, end, entry)
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	t.Cause = "the request has no last line: its entry was lost, or still runs it"
	if last >= 0 {
		t.Cause = causeOf(&t.logLines[last])
	}
	return nil
}

// requestTime returns when the request started and ended by the clock of its
// entry, and the entry's name. The index last is that of the request's last line
// in logLines, or -1.
func (t *Trace) requestTime(last int) (start, end time.Time, entry string) {
	if last < 0 {
		return t.Lines[0].Time, t.Lines[len(t.Lines)-1].Time, t.Lines[0].Daemon
	}
	line := &t.logLines[last]
	took, err := time.ParseDuration(line.Get("time"))
	if err != nil {
		took = 0
	}
	return line.Time.Add(-took), line.Time, line.Daemon
}

// alignClocks shifts the lines of other processes whose clocks place them outside
// the time of the request.
func (t *Trace) alignClocks(start, end time.Time, entry string) {
	offsets := map[string]time.Duration{}
	for _, line := range t.Lines {
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
	for i := range t.Lines {
		t.Lines[i].Time = t.Lines[i].Time.Add(offsets[t.Lines[i].Daemon])
	}
}

// addContext adds the events of the request's endpoints, and those of its entry
// about its connections to control and its workspace's quota.
func (t *Trace) addContext(start, end time.Time, entry string) {
	endpoints, workspace := map[string]bool{}, ""
	for _, line := range t.Lines {
		if name := line.Get("endpoint"); name != "" {
			endpoints[name] = true
		}
		workspace = cmp.Or(line.Get("workspace"), workspace)
	}
	for _, line := range t.logLines {
		if line.Time.Before(start.Add(-contextBefore)) || line.Time.After(end.Add(contextAfter)) {
			continue
		}
		other := line.Get("workspace") != "" && line.Get("workspace") != workspace
		about := endpointEvents[line.Event] && endpoints[line.Get("endpoint")] || entryEvents[line.Event] && line.Daemon == entry && !other
		if about && line.Get("request") != t.ID && line.Get("id") != t.ID {
			line.Context = true
			t.Lines = append(t.Lines, line)
		}
	}
}

// Write prints the lines, one for each event, and the cause.
func (t *Trace) Write(out io.Writer) error {
	first := t.Lines[0].Time
	for _, line := range t.Lines {
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
	_, err := fmt.Fprintf(out, "cause: %s\n", t.Cause)
	return err
}
