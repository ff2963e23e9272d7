package endpoint

import (
	"fmt"
	"net/url"
	"strings"
)

// TargetError is the error of a request target that cannot be sent byte for byte.
type TargetError struct {
	// Target is the target as the caller sent it, and Written what would be sent in its place.
	Target, Written string
}

// Error implements error.
func (e *TargetError) Error() string {
	return fmt.Sprintf("the request target %.200q would be sent as %.200q; send a path that begins with a slash, and encode what no path may hold", e.Target, e.Written)
}

// CheckTarget returns a *TargetError if a request target, the path with the query, cannot be sent byte for byte.
func CheckTarget(target string) error {
	return setTarget(&url.URL{Scheme: "http", Host: "endpoint"}, target)
}

// setTarget has the requests for a URL written with a target, byte for byte.
func setTarget(u *url.URL, target string) error {
	u.Opaque = target
	if strings.HasPrefix(target, "//") {
		// The library writes the scheme before an opaque part that begins so.
		path, query, found := strings.Cut(target, "?")
		// A path that cannot be decoded is written in another form, which the comparison below finds.
		decoded, _ := url.PathUnescape(path)
		u.Opaque, u.Path, u.RawPath, u.RawQuery, u.ForceQuery = "", decoded, path, query, found
	}
	written := u.RequestURI()
	if written != target || !strings.HasPrefix(target, "/") || strings.ContainsFunc(target, func(r rune) bool { return r <= ' ' || r == 0x7f }) {
		return &TargetError{Target: target, Written: written}
	}
	return nil
}
