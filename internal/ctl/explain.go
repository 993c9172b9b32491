package ctl

import (
	"fmt"
	"io"
	"os"
	"sort"
	"strings"

	"github.com/go-logfmt/logfmt"

	"github.com/umberthread/umberthread/fault"
)

// logLine is a parsed line of a log.
type logLine struct {
	timestamp, rendered string
	fields              map[string]string
}

// PrintRequestLog writes the log lines of a request and of the calls made for it,
// ordered by time. The files are logs of one or more processes; "-" means standard
// input.
func PrintRequestLog(out io.Writer, id string, files []string) error {
	var lines []logLine
	for _, name := range files {
		found, err := readMatchingLines(id, name)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return fault.Newf(fault.NotFound, "no log line for request %s; successful requests are sampled, and others are logged at most 60 times a second by each node", id)
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].timestamp < lines[j].timestamp })
	for _, l := range lines {
		if _, err := fmt.Fprintln(out, l.rendered); err != nil {
			return fault.Wrap(fault.Internal, err, "cannot write")
		}
	}
	return nil
}

// readMatchingLines returns the lines of a log file that concern the request.
func readMatchingLines(id, name string) ([]logLine, error) {
	in := io.Reader(os.Stdin)
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, fault.Wrap(fault.NotFound, err, "cannot read the log")
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	var out []logLine
	dec := logfmt.NewDecoder(in)
	for dec.ScanRecord() {
		l := logLine{fields: map[string]string{}}
		var order []string
		for dec.ScanKeyval() {
			key := string(dec.Key())
			order = append(order, key)
			l.fields[key] = string(dec.Value())
		}
		if !l.concerns(id) {
			continue
		}
		l.timestamp = l.fields["ts"]
		l.rendered = l.render(order)
		out = append(out, l)
	}
	if err := dec.Err(); err != nil {
		return out, fault.Wrap(fault.BadRequest, err, "the log "+name+" has a line that is not logfmt")
	}
	return out, nil
}

// concerns reports whether the line is about the request or a call made for it. A
// call's id may be its parent's followed by a dot and a suffix.
func (l *logLine) concerns(id string) bool {
	return l.fields["id"] == id || l.fields["parent"] == id || strings.HasPrefix(l.fields["id"], id+".")
}

// render formats the line for people: time, part and message, then the other
// non-empty fields in their order.
func (l *logLine) render(order []string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-8s %s", l.timestamp, l.fields["part"], l.fields["msg"])
	for _, key := range order {
		switch key {
		case "ts", "part", "msg", "level":
		default:
			if v := l.fields[key]; v != "" {
				fmt.Fprintf(&b, " %s=%s", key, v)
			}
		}
	}
	return b.String()
}
