package entryd

import "github.com/valyala/fasthttp"

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
