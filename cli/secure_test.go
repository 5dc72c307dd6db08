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

// secured is an installation with certificates: one daemon of each role.
type secured struct {
	t       *testing.T
	ca      *testcert.Authority
	base    int
	tokens  string
	entry   *entryd.Daemon
	control string
}

func (s *secured) address(offset int) string {
	return fmt.Sprintf("127.0.0.1:%d", s.base+offset)
}

// settings returns those of a daemon at two ports.
func (s *secured) settings(id, role string, offset int) daemon.Settings {
	certificate, key := s.ca.Issue(s.t, id, role)
	return daemon.Settings{
		ID: id, DataCentre: "lulea", Listen: s.address(offset), HTTP: s.address(offset + 1),
		LogLevel: "error", LogFormat: "logfmt", StopWait: time.Second, Operators: s.tokens,
		TLS: daemon.TLSFiles{Certificate: certificate, Key: key, Authority: s.ca.File},
	}
}

func startSecured(t *testing.T) *secured {
	t.Helper()
	const ports = 7
	s := &secured{t: t, ca: testcert.New(t), base: devd.FreeBasePortFrom(firstTestPort+1000, ports)}
	s.tokens = filepath.Join(t.TempDir(), "tokens")
	NewWithT(t).Expect(os.WriteFile(s.tokens, []byte("anna "+daemon.HashToken("secret")+"\n"), 0o600)).To(Succeed())
	s.control = "https://" + s.address(1)
	s.startControl()
	s.startSidecar()
	s.startEntry()
	return s
}

func (s *secured) startControl() {
	settings := &controld.Settings{
		Settings: s.settings("c1", "briarcross-control", 0),
		Replicas: daemon.List{"c1@" + s.address(0) + "@lulea"},
		Tick:     20 * time.Millisecond, RepairAfter: time.Minute, LeaseTime: 2 * time.Second, PollTime: 100 * time.Millisecond, Settle: time.Second,
	}
	NewWithT(s.t).Expect(settings.Check()).To(Succeed())
	d, err := controld.Start(settings)
	s.started(d, err)
}

func (s *secured) startSidecar() {
	g := NewWithT(s.t)
	listener, err := net.Listen("tcp", s.address(6))
	g.Expect(err).NotTo(HaveOccurred())
	engine := labengine.NewServer(labengine.Options{ID: "engine-1", Models: []string{"dam-watch"}, Seed: 1})
	go func() { _ = engine.Serve(listener) }()
	s.t.Cleanup(func() { _ = engine.Close() })
	settings := &sidecard.Settings{
		Settings: s.settings("s1", "briarcross-sidecar", 2),
		Engine:   "http://" + s.address(6), Kind: sidecard.KindModel, Services: daemon.List{"dam-watch"},
		Control: daemon.List{s.address(0)}, Registrars: daemon.List{s.address(4)}, MaxWindow: 8, MaxQueue: 8,
	}
	g.Expect(settings.Check()).To(Succeed())
	d, err := sidecard.Start(settings)
	s.started(d, err)
}

func (s *secured) startEntry() {
	settings := &entryd.Settings{
		Settings: s.settings("e1", "briarcross-entry", 4),
		Control:  daemon.List{s.address(0)}, Registrars: daemon.List{s.address(4)},
		MaxBodyBytes: 1 << 20, Tokens: s.tokens,
	}
	NewWithT(s.t).Expect(settings.Check()).To(Succeed())
	d, err := entryd.Start(settings)
	s.entry = d
	s.started(d, err)
}

func (s *secured) started(d stoppable, err error) {
	s.t.Helper()
	NewWithT(s.t).Expect(err).NotTo(HaveOccurred())
	s.t.Cleanup(func() { _ = d.Stop() })
}

// operate runs an operators' command with extra flags.
func (s *secured) operate(words string, args ...string) outcome {
	line := append(strings.Fields(words), "-server", s.control, "-tls-ca", s.ca.File)
	return run("", append(line, args...)...)
}

// call runs a command of batch jobs.
func (s *secured) call(word string, args ...string) outcome {
	line := []string{"job", word, "-entry", "https://" + s.address(5), "-tls-ca", s.ca.File}
	return run("", append(line, args...)...)
}

func TestInstallationWithCertificatesAuthenticatesOperators(t *testing.T) {
	g := NewWithT(t)
	s := startSecured(t)
	cert, key := s.ca.Issue(t, "operator", daemon.RoleOperator)
	operator := []string{"-tls-cert", cert, "-tls-key", key}
	config := append(operator, "-f", write(t, secureConfig))
	g.Eventually(func() int { return s.operate("apply", config...).code }, waitLimit, pollTime).Should(Equal(ExitSuccess))
	g.Expect(s.operate("status", "-token", "secret").code).To(Equal(ExitSuccess))

	g.Expect(s.operate("status").err).To(ContainSubstring("does not accept this operator"))
	entryCert, entryKey := s.ca.Issue(t, "impostor", "briarcross-entry")
	g.Expect(s.operate("status", "-tls-cert", entryCert, "-tls-key", entryKey).code).To(Equal(ExitUsage))
	stranger := testcert.New(t)
	strangerCert, strangerKey := stranger.Issue(t, "stranger", daemon.RoleOperator)
	g.Expect(s.operate("status", "-tls-cert", strangerCert, "-tls-key", strangerKey).code).NotTo(Equal(ExitSuccess))

	g.Eventually(func() bool { return s.entry.Ready() && s.entry.Members() == 1 }, waitLimit, pollTime).Should(BeTrue())
	g.Eventually(func() string { return s.operate("upstream list", operator...).out }, waitLimit, pollTime).Should(ContainSubstring("s1"))
	g.Expect(s.operate("upstream drain", append(operator, "s1")...).code).To(Equal(ExitSuccess))
	g.Expect(s.operate("upstream undrain", append(operator, "s1")...).code).To(Equal(ExitSuccess))
}

func TestEntryWithCertificatesAuthenticatesCallersByToken(t *testing.T) {
	g := NewWithT(t)
	s := startSecured(t)
	config := []string{"-token", "secret", "-f", write(t, secureConfig)}
	g.Eventually(func() int { return s.operate("apply", config...).code }, waitLimit, pollTime).Should(Equal(ExitSuccess))
	g.Eventually(func() bool {
		return s.entry.Ready() && s.entry.Revision() > 0 && s.entry.Members() == 1
	}, waitLimit, pollTime).Should(BeTrue())
	file := write(t, items("secure", 3))
	g.Expect(s.call("submit", "-f", file).err).To(ContainSubstring("bearer token"))
	result := s.call("submit", "-token", "secret", "-o", "json", "-f", file)
	g.Expect(result.code).To(Equal(ExitSuccess), result.err)
	var job jobs.Job
	g.Expect(json.Unmarshal([]byte(result.out), &job)).To(Succeed())
	watched := s.call("watch", "-token", "secret", "-interval", "20ms", job.ID)
	g.Expect(watched.code).To(Equal(ExitSuccess), watched.err)
	g.Expect(watched.out).To(ContainSubstring("3/3 finished"))
}

func TestTokenCommandPrintsMatchingHash(t *testing.T) {
	g := NewWithT(t)
	fields := strings.Fields(run("", "token", "anna").out)
	g.Expect(fields).To(HaveLen(5))
	g.Expect(fields[3:]).To(Equal([]string{"anna", daemon.HashToken(fields[1])}))
	g.Expect(run("", "token").code).To(Equal(ExitUsage))
}
