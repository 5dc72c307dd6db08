package cli

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/controld"
	"github.com/briarcross/briarcross/daemon"
	"github.com/briarcross/briarcross/devd"
	"github.com/briarcross/briarcross/entryd"
	"github.com/briarcross/briarcross/internal/testcert"
	"github.com/briarcross/briarcross/jobs"
	labengine "github.com/briarcross/briarcross/lab/engine"
	"github.com/briarcross/briarcross/sidecard"
)

const secureConfig = `kind: Profile
name: inspector
schemaVersion: 1
spec:
  class: online
---
kind: Profile
name: risk-brief
schemaVersion: 1
spec:
  class: batch
---
kind: Service
name: dam-watch
schemaVersion: 1
spec:
  kind: model
  profile: inspector
  batchProfile: risk-brief
  model: dam-watch
`

// secureInstallation is an installation with TLS certificates and one daemon of
// each role.
type secureInstallation struct {
	t          *testing.T
	ca         *testcert.Authority
	basePort   int
	tokensFile string
	entry      *entryd.Daemon
	controlURL string
}

func (s *secureInstallation) address(offset int) string {
	return fmt.Sprintf("127.0.0.1:%d", s.basePort+offset)
}

// settings returns the common settings of a daemon, which uses the ports at
// offset and offset+1.
func (s *secureInstallation) settings(id, role string, offset int) daemon.Settings {
	certificate, key := s.ca.Issue(s.t, id, role)
	return daemon.Settings{
		ID: id, DataCentre: "lulea", Listen: s.address(offset), HTTP: s.address(offset + 1),
		LogLevel: "error", LogFormat: "logfmt", StopTimeout: time.Second, Operators: s.tokensFile,
		TLS: daemon.TLSFiles{Certificate: certificate, Key: key, Authority: s.ca.CertFile},
	}
}

func startSecureInstallation(t *testing.T) *secureInstallation {
	t.Helper()
	const portCount = 7
	s := &secureInstallation{t: t, ca: testcert.NewAuthority(t), basePort: devd.FreeBasePortFrom(firstTestPort+1000, portCount)}
	s.tokensFile = filepath.Join(t.TempDir(), "tokens")
	NewWithT(t).Expect(os.WriteFile(s.tokensFile, []byte("anna "+daemon.HashToken("secret")+"\n"), 0o600)).To(Succeed())
	s.controlURL = "https://" + s.address(1)
	s.startControl()
	s.startSidecar()
	s.startEntry()
	return s
}

func (s *secureInstallation) startControl() {
	settings := &controld.Settings{
		Settings: s.settings("c1", "briarcross-control", 0),
		Replicas: daemon.StringList{"c1@" + s.address(0) + "@lulea"},
		Tick:     20 * time.Millisecond, RepairAfter: time.Minute, LeaseTime: 2 * time.Second, PollInterval: 100 * time.Millisecond, SettleTime: time.Second,
	}
	NewWithT(s.t).Expect(settings.Check()).To(Succeed())
	d, err := controld.Start(settings)
	s.stopOnCleanup(d, err)
}

func (s *secureInstallation) startSidecar() {
	g := NewWithT(s.t)
	listener, err := net.Listen("tcp", s.address(6))
	g.Expect(err).NotTo(HaveOccurred())
	engine := labengine.NewServer(labengine.Options{ID: "engine-1", Models: []string{"dam-watch"}, Seed: 1})
	go func() { _ = engine.Serve(listener) }()
	s.t.Cleanup(func() { _ = engine.Close() })
	settings := &sidecard.Settings{
		Settings: s.settings("s1", "briarcross-sidecar", 2),
		Engine:   "http://" + s.address(6), Kind: sidecard.KindModel, Services: daemon.StringList{"dam-watch"},
		Control: daemon.StringList{s.address(0)}, Registrars: daemon.StringList{s.address(4)}, MaxWindow: 8, MaxQueue: 8,
	}
	g.Expect(settings.Check()).To(Succeed())
	d, err := sidecard.Start(settings)
	s.stopOnCleanup(d, err)
}

func (s *secureInstallation) startEntry() {
	settings := &entryd.Settings{
		Settings: s.settings("e1", "briarcross-entry", 4),
		Control:  daemon.StringList{s.address(0)}, Registrars: daemon.StringList{s.address(4)},
		MaxBodyBytes: 1 << 20, TokensFile: s.tokensFile,
	}
	NewWithT(s.t).Expect(settings.Check()).To(Succeed())
	d, err := entryd.Start(settings)
	s.entry = d
	s.stopOnCleanup(d, err)
}

func (s *secureInstallation) stopOnCleanup(d runningDaemon, err error) {
	s.t.Helper()
	NewWithT(s.t).Expect(err).NotTo(HaveOccurred())
	s.t.Cleanup(func() { _ = d.Stop() })
}

// runOperator runs an operators' command against this installation.
func (s *secureInstallation) runOperator(words string, args ...string) commandResult {
	line := append(strings.Fields(words), "-server", s.controlURL, "-tls-ca", s.ca.CertFile)
	return runMain("", append(line, args...)...)
}

// runJob runs a batch job command against this installation.
func (s *secureInstallation) runJob(word string, args ...string) commandResult {
	line := []string{"job", word, "-entry", "https://" + s.address(5), "-tls-ca", s.ca.CertFile}
	return runMain("", append(line, args...)...)
}

func TestInstallationWithCertificatesAuthenticatesOperators(t *testing.T) {
	g := NewWithT(t)
	s := startSecureInstallation(t)
	cert, key := s.ca.Issue(t, "operator", daemon.RoleOperator)
	operator := []string{"-tls-cert", cert, "-tls-key", key}
	config := append(operator, "-f", writeTempFile(t, secureConfig))
	g.Eventually(func() int { return s.runOperator("apply", config...).exitCode }, waitTimeout, pollInterval).Should(Equal(ExitSuccess))
	g.Expect(s.runOperator("status", "-token", "secret").exitCode).To(Equal(ExitSuccess))

	g.Expect(s.runOperator("status").stderr).To(ContainSubstring("does not accept this operator"))
	entryCert, entryKey := s.ca.Issue(t, "impostor", "briarcross-entry")
	g.Expect(s.runOperator("status", "-tls-cert", entryCert, "-tls-key", entryKey).exitCode).To(Equal(ExitUsage))
	stranger := testcert.NewAuthority(t)
	strangerCert, strangerKey := stranger.Issue(t, "stranger", daemon.RoleOperator)
	g.Expect(s.runOperator("status", "-tls-cert", strangerCert, "-tls-key", strangerKey).exitCode).NotTo(Equal(ExitSuccess))

	g.Eventually(func() bool { return s.entry.Ready() && s.entry.MemberCount() == 1 }, waitTimeout, pollInterval).Should(BeTrue())
	g.Eventually(func() string { return s.runOperator("upstream list", operator...).stdout }, waitTimeout, pollInterval).Should(ContainSubstring("s1"))
	g.Expect(s.runOperator("upstream drain", append(operator, "s1")...).exitCode).To(Equal(ExitSuccess))
	g.Expect(s.runOperator("upstream undrain", append(operator, "s1")...).exitCode).To(Equal(ExitSuccess))
}

func TestEntryWithCertificatesAuthenticatesCallersByToken(t *testing.T) {
	g := NewWithT(t)
	s := startSecureInstallation(t)
	config := []string{"-token", "secret", "-f", writeTempFile(t, secureConfig)}
	g.Eventually(func() int { return s.runOperator("apply", config...).exitCode }, waitTimeout, pollInterval).Should(Equal(ExitSuccess))
	g.Eventually(func() bool {
		return s.entry.Ready() && s.entry.Revision() > 0 && s.entry.MemberCount() == 1
	}, waitTimeout, pollInterval).Should(BeTrue())
	file := writeTempFile(t, batchItems("secure", 3))
	g.Expect(s.runJob("submit", "-f", file).stderr).To(ContainSubstring("bearer token"))
	result := s.runJob("submit", "-token", "secret", "-o", "json", "-f", file)
	g.Expect(result.exitCode).To(Equal(ExitSuccess), result.stderr)
	var job jobs.Job
	g.Expect(json.Unmarshal([]byte(result.stdout), &job)).To(Succeed())
	watched := s.runJob("watch", "-token", "secret", "-interval", "20ms", job.ID)
	g.Expect(watched.exitCode).To(Equal(ExitSuccess), watched.stderr)
	g.Expect(watched.stdout).To(ContainSubstring("3/3 finished"))
}

func TestTokenCommandPrintsMatchingHash(t *testing.T) {
	g := NewWithT(t)
	fields := strings.Fields(runMain("", "token", "anna").stdout)
	g.Expect(fields).To(HaveLen(5))
	g.Expect(fields[3:]).To(Equal([]string{"anna", daemon.HashToken(fields[1])}))
	g.Expect(runMain("", "token").exitCode).To(Equal(ExitUsage))
}
