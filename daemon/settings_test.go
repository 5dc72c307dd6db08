package daemon

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestCheckNamesTheInvalidSetting(t *testing.T) {
	validSettings := func() *Settings {
		return &Settings{
			ID: "e1", DataCentre: "lulea", Listen: "127.0.0.1:1", HTTP: "127.0.0.1:2",
			LogLevel: "info", LogFormat: "logfmt", StopTimeout: time.Second,
		}
	}
	tests := []struct {
		name   string
		change func(*Settings)
	}{
		{"id", func(s *Settings) { s.ID = "" }},
		{"data-centre", func(s *Settings) { s.DataCentre = "" }},
		{"listen", func(s *Settings) { s.Listen = "localhost" }},
		{"listen", func(s *Settings) { s.Listen = "localhost:80" }},
		{"http", func(s *Settings) { s.HTTP = "" }},
		{"log-level", func(s *Settings) { s.LogLevel = "loud" }},
		{"log-format", func(s *Settings) { s.LogFormat = "xml" }},
		{"stop-wait", func(s *Settings) { s.StopTimeout = 0 }},
		{"tls-cert", func(s *Settings) { s.Listen = "10.0.0.1:1" }},
		{"tls-key", func(s *Settings) { s.TLS.Certificate = "cert.pem" }},
		{"tls-cert", func(s *Settings) {
			s.TLS.Certificate, s.TLS.Key, s.TLS.Authority = "missing.pem", "missing.pem", "missing.pem"
		}},
	}
	g := NewWithT(t)
	g.Expect(validSettings().Check()).To(Succeed())
	for _, test := range tests {
		s := validSettings()
		test.change(s)
		var settingErr *SettingError
		g.Expect(errors.As(s.Check(), &settingErr)).To(BeTrue(), test.name)
		g.Expect(settingErr.Name).To(Equal(test.name))
	}
}
