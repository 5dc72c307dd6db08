package fleet

import (
	"net"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/internal/identifier"
)

const (
	// maxAddressBytes covers any host name with a port.
	maxAddressBytes = 255 + len(":65535")
	// maxSlots is far above what an engine runs at once.
	maxSlots = 1 << 16
	// maxStartUnixMs lies in the year 2248. Clocks may differ, so the start of an upstream is not
	// compared with that of the daemon that hears of it.
	maxStartUnixMs = 1 << 43
)

// Check returns an error if a record of an upstream must not be kept: a heartbeat may come from
// any writer, and a record from a daemon that did not check it.
func (u *Upstream) Check() error {
	if err := identifier.Check("ID", u.ID, identifier.MaxBytes); err != nil {
		return err
	}
	for _, field := range [...]struct{ what, text string }{{"service", u.Service}, {"data centre", u.DataCentre}, {"software version", u.SoftwareVersion}} {
		if err := identifier.CheckOptional(field.what, field.text, identifier.MaxBytes); err != nil {
			return err
		}
	}
	if err := u.checkAddress(); err != nil {
		return err
	}
	switch {
	case u.Slots < 0 || u.Slots > maxSlots:
		return eris.Errorf("%d slots are not in the range 0 to %d", u.Slots, maxSlots)
	case u.StartUnixMs > maxStartUnixMs:
		return eris.Errorf("start time %d is no time in milliseconds", u.StartUnixMs)
	}
	return nil
}

// checkAddress accepts no address for an upstream that deregistered where only its ID was known.
func (u *Upstream) checkAddress() error {
	if u.Address == "" && u.Phase == Gone {
		return nil
	}
	if err := identifier.Check("address", u.Address, maxAddressBytes); err != nil {
		return err
	}
	host, port, err := net.SplitHostPort(u.Address)
	if err != nil || host == "" {
		return eris.Errorf("address has no host and port: %s", identifier.Quote(u.Address))
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
		return eris.Errorf("address has no port from 1 to 65535: %s", identifier.Quote(u.Address))
	}
	return nil
}
