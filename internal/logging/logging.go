// Package logging makes the loggers of the commands.
package logging

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// New returns a logger that writes logfmt lines of at least the given level:
// debug, info, warn or error. Each line names the part that it comes from.
func New(w io.Writer, lowest string) log.Logger {
	l := log.NewLogfmtLogger(log.NewSyncWriter(w))
	l = level.NewFilter(l, level.Allow(level.ParseDefault(lowest, level.InfoValue())))
	return log.With(l, "ts", log.DefaultTimestampUTC)
}
