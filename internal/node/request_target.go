package node

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/umberthread/umberthread/fault"
)

// originTarget returns the target of a request in origin form, path and query as the caller wrote
// them. A request to a proxy has it in absolute form.
func originTarget(r *http.Request) string {
	target := r.RequestURI
	if strings.HasPrefix(target, "/") || r.URL.Scheme == "" {
		return target
	}
	_, rest, _ := strings.Cut(target, "://")
	if i := strings.IndexAny(rest, "/?"); i >= 0 {
		rest = rest[i:]
	} else {
		rest = ""
	}
	if !strings.HasPrefix(rest, "/") {
		rest = "/" + rest
	}
	return rest
}

// backendTarget returns the target that the backend server gets for a call. Its path begins with
// the request kind in the project's own HTTP interface, and is the caller's with an adapter.
func (n *Node) backendTarget(c *call) string {
	if n.opt.HTTPAdapter != nil {
		return c.path
	}
	return c.target[strings.LastIndexByte(c.target, '/'):] + c.path
}

// checkTarget returns an error if the target of a call cannot be sent to a backend server unchanged.
func (n *Node) checkTarget(c *call) *fault.Error {
	if _, ok := exactURL(n.backendTarget(c)); !ok {
		return fault.New(fault.BadRequest, "the request target cannot be passed on unchanged")
	}
	return nil
}

// exactURL returns a URL that net/http sends exactly as target; ok is false if there is none.
func exactURL(target string) (u *url.URL, ok bool) {
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Opaque: target}, !strings.ContainsFunc(target, endsTarget)
	}
	// net/http takes the beginning of such an opaque target for a host.
	u, err := url.ParseRequestURI(target)
	return u, err == nil && u.RequestURI() == target
}

// endsTarget reports whether a character cannot be part of a target: it would end the target, or the
// line, in the message.
func endsTarget(r rune) bool { return r <= ' ' || r == 0x7f }
