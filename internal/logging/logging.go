// Package logging creates the loggers of the commands.
package logging

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// New returns a logger that writes logfmt lines with a UTC timestamp. It omits
// lines below the lowest level: debug, info, warn or error; any other name means
// info.
func New(w io.Writer, lowest string) log.Logger {
	l := log.NewLogfmtLogger(log.NewSyncWriter(w))
	l = level.NewFilter(l, level.Allow(level.ParseDefault(lowest, level.InfoValue())))
	return log.With(l, "ts", log.DefaultTimestampUTC)
}
