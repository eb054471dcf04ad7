// Package event writes the event log, one logfmt line per event.
package event

import (
	"io"

	"github.com/go-kit/log"
)

// Log writes the events of one daemon. The zero value discards them.
type Log struct {
	logger log.Logger
}

// New returns a log that writes to w and adds the time and the daemon's name to each
// line. Values must never contain callers' API keys.
func New(w io.Writer, daemon string) Log {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(w))
	logger = log.With(logger, "time", log.DefaultTimestampUTC, "daemon", daemon)
	return Log{logger: logger}
}

// Write logs one event; keyvals are alternating keys and values.
func (l Log) Write(event string, keyvals ...any) {
	if l.logger == nil {
		return
	}
	_ = l.logger.Log(append([]any{"event", event}, keyvals...)...)
}

// With returns a log that adds the given keys and values to each line.
func (l Log) With(keyvals ...any) Log {
	if l.logger == nil {
		return l
	}
	return Log{logger: log.With(l.logger, keyvals...)}
}
