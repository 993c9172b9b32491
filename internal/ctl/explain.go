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

// logLine is a line of a process's log.
type logLine struct {
	ts, text string
	fields   map[string]string
}

// Explain writes, in order of time, the lines that tell of a request: those
// with its id, and those of the calls that were made for it. The logs of
// several processes may be given, as files or, for "-", as standard input.
func PrintRequestLog(out io.Writer, id string, files []string) error {
	var lines []logLine
	for _, name := range files {
		found, err := linesOf(id, name)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return fault.Newf(fault.NotFound, "no line tells of request %s; of requests that went well a sample is logged, and of others at most 60 a second and node", id)
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].ts < lines[j].ts })
	for _, l := range lines {
		if _, err := fmt.Fprintln(out, l.text); err != nil {
			return fault.Wrap(fault.Internal, err, "cannot write")
		}
	}
	return nil
}

func linesOf(id, name string) ([]logLine, error) {
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
		if !l.tellsOf(id) {
			continue
		}
		l.ts = l.fields["ts"]
		l.text = l.render(order)
		out = append(out, l)
	}
	if err := dec.Err(); err != nil {
		return out, fault.Wrap(fault.BadRequest, err, "the log "+name+" has a line that is not logfmt")
	}
	return out, nil
}

// tellsOf tells whether the line is about the request or a call made for it. A
// call's id may extend its parent's by a dot.
func (l *logLine) tellsOf(id string) bool {
	return l.fields["id"] == id || l.fields["parent"] == id || strings.HasPrefix(l.fields["id"], id+".")
}

// render is the line as a person reads it.
func (l *logLine) render(order []string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-8s %s", l.ts, l.fields["part"], l.fields["msg"])
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
