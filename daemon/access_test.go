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

func writeTokenFile(t *testing.T, file, text string) {
	t.Helper()
	NewWithT(t).Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
}

func requestWithToken(token string) *fasthttp.RequestCtx {
	ctx := &fasthttp.RequestCtx{}
	if token != "" {
		ctx.Request.Header.Set("Authorization", "Bearer "+token)
	}
	return ctx
}

func TestTokensAreHashedAndReloadedWhenFileChanges(t *testing.T) {
	g := NewWithT(t)
	file := filepath.Join(t.TempDir(), "tokens")
	writeTokenFile(t, file, "# operators\n\nanna "+HashToken("first")+"\n")
	tokens, err := LoadTokens(file)
	g.Expect(err).NotTo(HaveOccurred())
	name, known := tokens.Identify(requestWithToken("first"))
	g.Expect(known).To(BeTrue())
	g.Expect(name).To(Equal("anna"))
	for _, unknown := range []string{"", "second", HashToken("first")} {
		_, known = tokens.Identify(requestWithToken(unknown))
		g.Expect(known).To(BeFalse(), unknown)
	}

	writeTokenFile(t, file, "anna "+HashToken("second")+"\n")
	tokens.checkedAt, tokens.modTime = time.Time{}, time.Time{}
	_, known = tokens.Identify(requestWithToken("first"))
	g.Expect(known).To(BeFalse(), "a token removed from the file must be refused")
	_, known = tokens.Identify(requestWithToken("second"))
	g.Expect(known).To(BeTrue())

	writeTokenFile(t, file, "anna nonsense\n")
	tokens.checkedAt, tokens.modTime = time.Time{}, time.Time{}
	_, known = tokens.Identify(requestWithToken("second"))
	g.Expect(known).To(BeTrue(), "an invalid file must leave the loaded tokens in place")
}

func TestLoadTokensRejectsInvalidFiles(t *testing.T) {
	g := NewWithT(t)
	for _, text := range []string{"anna", "anna 12", "anna " + HashToken("x") + " more", "anna " + HashToken("x")[1:] + "g"} {
		file := filepath.Join(t.TempDir(), "tokens")
		writeTokenFile(t, file, text)
		_, err := LoadTokens(file)
		g.Expect(err).To(HaveOccurred(), text)
	}
	_, err := LoadTokens("missing")
	g.Expect(err).To(HaveOccurred())
}

func TestUnencryptedHTTPIsAcceptedOnLoopbackOnly(t *testing.T) {
	g := NewWithT(t)
	authority := testcert.NewAuthority(t)
	cert, key := authority.Issue(t, "e1", "briarcross-entry")
	s := &Settings{
		ID: "e1", DataCentre: "lulea", Listen: "127.0.0.1:1", HTTP: "10.0.0.1:2",
		LogLevel: "info", LogFormat: "logfmt", StopTimeout: time.Second,
	}
	expectInvalid := func(name string) {
		t.Helper()
		var settingErr *SettingError
		g.Expect(errors.As(s.Check(), &settingErr)).To(BeTrue())
		g.Expect(settingErr.Name).To(Equal(name))
	}
	expectInvalid("http-tls-cert")
	s.HTTPTLS.Certificate = cert
	expectInvalid("http-tls-key")
	s.HTTPTLS.Key = key
	g.Expect(s.Check()).To(Succeed())
	s.HTTPTLS.Certificate = ""
	expectInvalid("http-tls-cert")
	s.HTTPTLS.Key = ""
	s.TLS.Certificate, s.TLS.Key, s.TLS.Authority = cert, key, authority.CertFile
	g.Expect(s.Check()).To(Succeed())
	s.Operators = "missing"
	expectInvalid("operators")
}

// serveOperatorsOnly starts an HTTP server whose paths are for operators only,
// and returns its URL.
func serveOperatorsOnly(t *testing.T, s *Settings) string {
	t.Helper()
	g := NewWithT(t)
	guard, err := s.NewGuard()
	g.Expect(err).NotTo(HaveOccurred())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	h := NewHTTPServer(HTTPServerOptions{
		Readiness: &Readiness{}, Registry: prometheus.NewRegistry(), Guard: guard, OperatorsOnly: true,
		Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("in") },
	})
	h.Start(s.HTTPListener(listener), func(err error) { t.Error(err) })
	t.Cleanup(h.Stop)
	return "https://" + listener.Addr().String()
}

// getStatus returns the status of a GET request that presents a token and a
// client certificate, if set.
func getStatus(t *testing.T, url, token string, files *TLSFiles) int {
	t.Helper()
	g := NewWithT(t)
	config, err := files.LoadClientConfig()
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

func TestOperatorsNeedCertificateOrToken(t *testing.T) {
	g := NewWithT(t)
	authority := testcert.NewAuthority(t)
	s := &Settings{Operators: filepath.Join(t.TempDir(), "operators")}
	writeTokenFile(t, s.Operators, "anna "+HashToken("secret")+"\n")
	s.TLS.Authority = authority.CertFile
	s.TLS.Certificate, s.TLS.Key = authority.Issue(t, "c1", "briarcross-control")
	url := serveOperatorsOnly(t, s)

	filesWithRole := func(role string) *TLSFiles {
		files := &TLSFiles{Authority: authority.CertFile}
		if role != "" {
			files.Certificate, files.Key = authority.Issue(t, "client", role)
		}
		return files
	}
	g.Expect(getStatus(t, url, "", filesWithRole(RoleOperator))).To(Equal(200))
	g.Expect(getStatus(t, url, "secret", filesWithRole(""))).To(Equal(200))
	g.Expect(getStatus(t, url, "wrong", filesWithRole(""))).To(Equal(401))
	g.Expect(getStatus(t, url, "", filesWithRole(""))).To(Equal(401))
	g.Expect(getStatus(t, url, "", filesWithRole("briarcross-entry"))).To(Equal(401))
	g.Expect(getStatus(t, url+"/metrics", "", filesWithRole(""))).To(Equal(401))
	g.Expect(getStatus(t, url+"/healthz", "", filesWithRole(""))).To(Equal(200))
}

func TestCertificateFilesAreReloadedWhenChanged(t *testing.T) {
	g := NewWithT(t)
	authority, otherAuthority := testcert.NewAuthority(t), testcert.NewAuthority(t)
	s := &Settings{}
	s.HTTPTLS.Certificate, s.HTTPTLS.Key = authority.Issue(t, "web", "")
	url := serveOperatorsOnly(t, s)
	g.Expect(getStatus(t, url+"/healthz", "", &TLSFiles{Authority: authority.CertFile})).To(Equal(200))

	cert, key := otherAuthority.Issue(t, "web", "")
	g.Expect(os.Rename(key, s.HTTPTLS.Key)).To(Succeed())
	g.Expect(os.Rename(cert, s.HTTPTLS.Certificate)).To(Succeed())
	later := time.Now().Add(time.Minute)
	g.Expect(os.Chtimes(s.HTTPTLS.Certificate, later, later)).To(Succeed())
	g.Expect(getStatus(t, url+"/healthz", "", &TLSFiles{Authority: otherAuthority.CertFile})).To(Equal(200))

	g.Expect(os.WriteFile(s.HTTPTLS.Certificate, []byte("damaged"), 0o600)).To(Succeed())
	latest := later.Add(time.Minute)
	g.Expect(os.Chtimes(s.HTTPTLS.Certificate, latest, latest)).To(Succeed())
	g.Expect(getStatus(t, url+"/healthz", "", &TLSFiles{Authority: otherAuthority.CertFile})).To(Equal(200), "the last valid certificate must be kept")
}
