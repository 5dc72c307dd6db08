package cli

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/controld"
	"github.com/briarcross/briarcross/daemon"
	"github.com/briarcross/briarcross/devd"
)

func TestStatusWithoutMajorityIsMarkedUnconfirmed(t *testing.T) {
	g := NewWithT(t)
	base := devd.FreeBasePortFrom(firstTestPort+2000, 4)
	address := func(offset int) string { return fmt.Sprintf("127.0.0.1:%d", base+offset) }
	settings := &controld.Settings{
		Settings: daemon.Settings{
			ID: "c1", DataCentre: "lulea", Listen: address(0), HTTP: address(1),
			LogLevel: "error", LogFormat: "logfmt", StopTimeout: time.Second,
		},
		Replicas: daemon.StringList{"c1@" + address(0) + "@lulea", "c2@" + address(2) + "@boden", "c3@" + address(3) + "@kiruna"},
		Tick:     20 * time.Millisecond, RepairAfter: time.Minute, LeaseTime: time.Second, PollInterval: 100 * time.Millisecond,
		SettleTime: time.Second,
	}
	g.Expect(settings.Check()).To(Succeed())
	d, err := controld.Start(settings)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = d.Stop() })
	status := runMain("", "status", "-server", "http://"+address(1))
	g.Expect(status.exitCode).To(Equal(ExitSuccess), status.stderr)
	g.Expect(status.stdout).To(HavePrefix("no leader confirmed this status"))
	g.Expect(runMain("", "get", "-server", "http://"+address(1)).exitCode).To(Equal(ExitFailed))
}
