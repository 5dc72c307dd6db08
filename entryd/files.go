package entryd

import (
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/briarcross/briarcross/pb"
)

const contentSuffix = "/content"

// files serves the files of batch jobs.
func (d *Daemon) files(ctx *fasthttp.RequestCtx, caller, rest string) {
	rest = strings.TrimPrefix(rest, "/")
	id, isContent := strings.CutSuffix(rest, contentSuffix)
	job, isOutput := strings.CutPrefix(id, outputFilePrefix)
	if isContent && isOutput {
		d.results(ctx, caller, job)
		return
	}
	d.refuse(ctx, pb.Reason_REASON_BAD_REQUEST, "no such file")
	ctx.SetStatusCode(fasthttp.StatusNotFound)
}
