package daemon

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/briarcross/briarcross/internal/testcert"
)

func writeTokens(t *testing.T, file, text string) {
	t.Helper()
	NewWithT(t).Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
}

func bearer(token string) *fasthttp.RequestCtx {
	ctx := &fasthttp.RequestCtx{}
	if token != "" {
		ctx.Request.Header.Set("Authorization", "Bearer "+token)
	}
	return ctx
}

func TestTokensAreStoredHashedAndReadAgain(t *testing.T) {
	g := NewWithT(t)
	file := filepath.Join(t.TempDir(), "tokens")
	writeTokens(t, file, "# operators\n\nanna "+HashToken("first")+"\n")
	tokens, err := LoadTokens(file)
	g.Expect(err).NotTo(HaveOccurred())
	name, known := tokens.Identify(bearer("first"))
	g.Expect(known).To(BeTrue())
	g.Expect(name).To(Equal("anna"))
	for _, wrong := range []string{"", "second", HashToken("first")} {
		_, known = tokens.Identify(bearer(wrong))
		g.Expect(known).To(BeFalse(), wrong)
	}

	writeTokens(t, file, "anna "+HashToken("second")+"\n")
	tokens.checked, tokens.modified = time.Time{}, time.Time{}
	_, known = tokens.Identify(bearer("first"))
	g.Expect(known).To(BeFalse(), "a removed token is refused")
	_, known = tokens.Identify(bearer("second"))
	g.Expect(known).To(BeTrue())

	writeTokens(t, file, "anna nonsense\n")
	tokens.checked, tokens.modified = time.Time{}, time.Time{}
	_, known = tokens.Identify(bearer("second"))
	g.Expect(known).To(BeTrue(), "a damaged file changes nothing")
}

func TestDamagedTokenFilesAreRefused(t *testing.T) {
	g := NewWithT(t)
	for _, text := range []string{"anna", "anna 12", "anna " + HashToken("x") + " more", "anna " + HashToken("x")[1:] + "g"} {
		file := filepath.Join(t.TempDir(), "tokens")
		writeTokens(t, file, text)
		_, err := LoadTokens(file)
		g.Expect(err).To(HaveOccurred(), text)
	}
	_, err := LoadTokens("missing")
	g.Expect(err).To(HaveOccurred())
}

func TestPlainHTTPIsForLoopbackOnly(t *testing.T) {
	g := NewWithT(t)
	a := testcert.NewAuthority(t)
	cert, key := a.Issue(t, "e1", "briarcross-entry")
	s := &Settings{
		ID: "e1", DataCentre: "lulea", Listen: "127.0.0.1:1", HTTP: "10.0.0.1:2",
		LogLevel: "info", LogFormat: "logfmt", StopWait: time.Second,
	}
	wrong := func(name string) {
		t.Helper()
		var setting *SettingError
		g.Expect(errors.As(s.Check(), &setting)).To(BeTrue())
		g.Expect(setting.Name).To(Equal(name))
	}
	wrong("http-tls-cert")
	s.HTTPTLS.Certificate = cert
	wrong("http-tls-key")
	s.HTTPTLS.Key = key
	g.Expect(s.Check()).To(Succeed())
	s.HTTPTLS.Certificate = ""
	wrong("http-tls-cert")
	s.HTTPTLS.Key = ""
	s.TLS.Certificate, s.TLS.Key, s.TLS.Authority = cert, key, a.CertFile
	g.Expect(s.Check()).To(Succeed())
	s.Operators = "missing"
	wrong("operators")
}

// serveGuarded starts an HTTP interface with paths for operators only.
func serveGuarded(t *testing.T, s *Settings) string {
	t.Helper()
	g := NewWithT(t)
	guard, err := s.NewGuard()
	g.Expect(err).NotTo(HaveOccurred())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	h := NewHTTP(HTTPOptions{
		Readiness: &Readiness{}, Registry: prometheus.NewRegistry(), Guard: guard, OperatorsOnly: true,
		Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("in") },
	})
	h.Start(s.HTTPListener(listener), func(err error) { t.Error(err) })
	t.Cleanup(h.Stop)
	return "https://" + listener.Addr().String()
}

// statusOf asks for a path with the files of a client, if any.
func statusOf(t *testing.T, url, token string, files *TLSFiles) int {
	t.Helper()
	g := NewWithT(t)
	config, err := files.Client()
	g.Expect(err).NotTo(HaveOccurred())
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	request.SetRequestURI(url)
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	client := &fasthttp.Client{TLSConfig: config}
	defer client.CloseIdleConnections()
	g.Expect(client.Do(request, response)).To(Succeed())
	return response.StatusCode()
}

func TestOperatorsShowACertificateOrAToken(t *testing.T) {
	g := NewWithT(t)
	a := testcert.NewAuthority(t)
	s := &Settings{Operators: filepath.Join(t.TempDir(), "operators")}
	writeTokens(t, s.Operators, "anna "+HashToken("secret")+"\n")
	s.TLS.Authority = a.CertFile
	s.TLS.Certificate, s.TLS.Key = a.Issue(t, "c1", "briarcross-control")
	url := serveGuarded(t, s)

	with := func(role string) *TLSFiles {
		files := &TLSFiles{Authority: a.CertFile}
		if role != "" {
			files.Certificate, files.Key = a.Issue(t, "client", role)
		}
		return files
	}
	g.Expect(statusOf(t, url, "", with(RoleOperator))).To(Equal(200))
	g.Expect(statusOf(t, url, "secret", with(""))).To(Equal(200))
	g.Expect(statusOf(t, url, "wrong", with(""))).To(Equal(401))
	g.Expect(statusOf(t, url, "", with(""))).To(Equal(401))
	g.Expect(statusOf(t, url, "", with("briarcross-entry"))).To(Equal(401))
	g.Expect(statusOf(t, url+"/metrics", "", with(""))).To(Equal(401))
	g.Expect(statusOf(t, url+"/healthz", "", with(""))).To(Equal(200))
}

func TestCertificatesAreReadAgain(t *testing.T) {
	g := NewWithT(t)
	a, other := testcert.NewAuthority(t), testcert.NewAuthority(t)
	s := &Settings{}
	s.HTTPTLS.Certificate, s.HTTPTLS.Key = a.Issue(t, "web", "")
	url := serveGuarded(t, s)
	g.Expect(statusOf(t, url+"/healthz", "", &TLSFiles{Authority: a.CertFile})).To(Equal(200))

	cert, key := other.Issue(t, "web", "")
	g.Expect(os.Rename(key, s.HTTPTLS.Key)).To(Succeed())
	g.Expect(os.Rename(cert, s.HTTPTLS.Certificate)).To(Succeed())
	later := time.Now().Add(time.Minute)
	g.Expect(os.Chtimes(s.HTTPTLS.Certificate, later, later)).To(Succeed())
	g.Expect(statusOf(t, url+"/healthz", "", &TLSFiles{Authority: other.CertFile})).To(Equal(200))

	g.Expect(os.WriteFile(s.HTTPTLS.Certificate, []byte("damaged"), 0o600)).To(Succeed())
	latest := later.Add(time.Minute)
	g.Expect(os.Chtimes(s.HTTPTLS.Certificate, latest, latest)).To(Succeed())
	g.Expect(statusOf(t, url+"/healthz", "", &TLSFiles{Authority: other.CertFile})).To(Equal(200), "the last good one stays")
}
