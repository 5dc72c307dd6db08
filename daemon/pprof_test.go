package daemon

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
)

func TestProfilesAreServedOnLoopbackOnly(t *testing.T) {
	g := NewWithT(t)
	s := &Settings{
		ID: "e1", DataCentre: "lulea", Listen: "127.0.0.1:1", HTTP: "127.0.0.1:2",
		LogLevel: "info", LogFormat: "logfmt", StopTimeout: time.Second, Pprof: "10.0.0.1:6060",
	}
	var settingErr *SettingError
	g.Expect(errors.As(s.Check(), &settingErr)).To(BeTrue())
	g.Expect(settingErr.Name).To(Equal("pprof"))

	s.Pprof = "127.0.0.1:0"
	g.Expect(s.Check()).To(Succeed())
	p, err := s.StartProfiling()
	g.Expect(err).NotTo(HaveOccurred())
	status, body, err := fasthttp.Get(nil, "http://"+p.Address()+"/debug/pprof/goroutine?debug=1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(fasthttp.StatusOK))
	g.Expect(string(body)).To(ContainSubstring("goroutine profile"))
	p.Stop()

	s.Pprof = ""
	none, err := s.StartProfiling()
	g.Expect(err).NotTo(HaveOccurred())
	none.Stop()
}
