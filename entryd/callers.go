package entryd

import (
	"unicode/utf8"

	"github.com/valyala/fasthttp"
)

const (
	headerCaller    = "Briarcross-Caller"
	anonymousCaller = "anonymous"
)

// identify returns the caller of a request, or false when its bearer token is
// unknown. Without a tokens file, the Briarcross-Caller header is trusted.
func (d *Daemon) identify(ctx *fasthttp.RequestCtx) (string, bool) {
	if d.callerTokens != nil {
		return d.callerTokens.Identify(ctx)
	}
	if name := ctx.Request.Header.Peek(headerCaller); len(name) > 0 {
		return string(name), true
	}
	return anonymousCaller, true
}

// validText reports whether the path, the query and all headers of a request
// are valid UTF-8. Strings in messages between daemons must be.
func validText(ctx *fasthttp.RequestCtx) bool {
	if !utf8.Valid(ctx.Path()) || !utf8.Valid(ctx.URI().QueryString()) {
		return false
	}
	for name, value := range ctx.Request.Header.All() {
		if !utf8.Valid(name) || !utf8.Valid(value) {
			return false
		}
	}
	return true
}
