package daemon

import (
	"unicode/utf8"

	"github.com/valyala/fasthttp"
)

// ValidText reports whether the path, the query and all headers of a request
// are valid UTF-8. Strings in messages between daemons must be.
func ValidText(ctx *fasthttp.RequestCtx) bool {
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
