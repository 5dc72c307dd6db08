package daemon

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
)

func TestValidTextRequiresUTF8(t *testing.T) {
	g := NewWithT(t)
	isValid := func(modify func(*fasthttp.Request)) bool {
		ctx := &fasthttp.RequestCtx{}
		ctx.Request.SetRequestURI("/v1/completions")
		modify(&ctx.Request)
		return ValidText(ctx)
	}
	g.Expect(isValid(func(r *fasthttp.Request) { r.Header.Set("Idempotency-Key", "nätt") })).To(BeTrue())
	g.Expect(isValid(func(r *fasthttp.Request) { r.Header.Set("Idempotency-Key", "a\xff") })).To(BeFalse())
	g.Expect(isValid(func(r *fasthttp.Request) { r.Header.Set("Briarcross-Caller", "\xc3") })).To(BeFalse())
	g.Expect(isValid(func(r *fasthttp.Request) { r.Header.Set("X-Other", "\xc3") })).To(BeFalse())
	g.Expect(isValid(func(r *fasthttp.Request) { r.SetRequestURI("/services/a/%ff") })).To(BeFalse())
	g.Expect(isValid(func(r *fasthttp.Request) { r.SetRequestURI("/services/a/%c3%a4?b=%ff") })).To(BeTrue())
}
