package setup

import (
	"net/netip"
	"regexp"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/strict"
)

const (
	// maxPeers is the maximum number of control replicas.
	maxPeers = 7
	// maxLoads is the maximum of the settings for adapter loads: the loads per
	// second and the loads in flight.
	maxLoads = 100_000
	// minMemoryMB is the least memory limit, and minDescriptors the least number of
	// descriptors.
	minMemoryMB    = 64
	minDescriptors = 256
	// maxStopTime is the maximum of the drain timeout and the shutdown delay.
	maxStopTime = 24 * time.Hour
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Check validates the settings. It reports all problems at once, as an Error that
// wraps strict.Diagnostics; nil if there are none.
func (s *Settings) Check() error {
	if diagnostics := s.diagnostics(); len(diagnostics) > 0 {
		return &Error{Op: "check settings", Kind: KindInvalid, Err: diagnostics}
	}
	return nil
}

func (s *Settings) diagnostics() strict.Diagnostics {
	c := &checker{settings: s}
	c.checkName("name", s.Name)
	c.checkName("data_centre", s.DataCentre)
	switch s.Role {
	case RoleEntry:
		c.checkEntry()
	case RoleAgent:
		c.checkAgent()
	case RoleControl:
		c.checkControl()
	default:
		c.fail("role", "must be %q, %q or %q", RoleEntry, RoleAgent, RoleControl)
	}
	c.checkTimeouts()
	c.checkResources()
	c.checkMetrics()
	c.checkCertificates()
	return c.diagnostics
}

// checker collects the diagnostics of one daemon's settings.
type checker struct {
	settings    *Settings
	diagnostics strict.Diagnostics
}

func (c *checker) fail(field, format string, values ...any) {
	c.diagnostics.Add([]string{field}, format, values...)
}

func (c *checker) checkName(field, name string) {
	if !namePattern.MatchString(name) {
		c.fail(field, "must have 1 to 64 letters, digits or any of . _ -, and start with a letter or digit")
	}
}

func (c *checker) checkResources() {
	if c.settings.MemoryMB < minMemoryMB {
		c.fail("memory", "must be at least %d", minMemoryMB)
	}
	if c.settings.Descriptors != 0 && c.settings.Descriptors < minDescriptors {
		c.fail("descriptors", "must be at least %d, or 0", minDescriptors)
	}
}

func (c *checker) checkEntry() {
	c.checkListenAddress("http", c.settings.HTTP)
	c.checkControlAddresses()
	c.rejectPresent("listen", c.settings.Listen != "")
	c.checkControlOnly()
}

func (c *checker) checkAgent() {
	c.checkAdvertisedAddress("listen", c.settings.Listen)
	c.checkListenAddress("http", c.settings.HTTP)
	if address, ok := parseAddress(c.settings.HTTP); ok && !address.Addr().IsLoopback() && !c.settings.AllowPlaintext {
		c.fail("http", "an endpoint announces itself over loopback; set open to true to listen elsewhere")
	}
	c.checkControlAddresses()
	c.checkControlOnly()
}

func (c *checker) checkControl() {
	c.checkAdvertisedAddress("listen", c.settings.Listen)
	c.checkPeers()
	if c.settings.DataDir == "" {
		c.fail("data", "is missing")
	}
	if !(c.settings.LoadsPerSecond > 0 && c.settings.LoadsPerSecond <= maxLoads) {
		c.fail("loads", "must be above 0 and at most %d", maxLoads)
	}
	if c.settings.MaxLoadsInFlight < 1 || c.settings.MaxLoadsInFlight > maxLoads {
		c.fail("flight", "must be from 1 to %d", maxLoads)
	}
	c.rejectPresent("http", c.settings.HTTP != "")
	c.rejectPresent("control", len(c.settings.Control) > 0)
}

// checkControlOnly reports settings that only a control replica may have.
func (c *checker) checkControlOnly() {
	c.rejectPresent("peers", len(c.settings.Peers) > 0)
	c.rejectPresent("data", c.settings.DataDir != "")
	c.rejectPresent("watch", c.settings.WatchDir != "")
}

// rejectPresent reports a field that is set but does not apply to the role.
func (c *checker) rejectPresent(field string, present bool) {
	if present {
		c.fail(field, "is not for role %q", c.settings.Role)
	}
}

func (c *checker) checkControlAddresses() {
	if len(c.settings.Control) == 0 {
		c.fail("control", "must name at least one control replica")
	}
	seen := map[string]bool{}
	for _, address := range c.settings.Control {
		c.checkDialAddress("control", address)
		if seen[address] {
			c.fail("control", "%q is listed twice", address)
		}
		seen[address] = true
	}
}

func (c *checker) checkPeers() {
	count := len(c.settings.Peers)
	if count%2 == 0 || count > maxPeers {
		c.fail("peers", "must list an odd number of replicas, at most %d", maxPeers)
	}
	names, addresses, self := map[string]bool{}, map[string]bool{}, false
	for _, peer := range c.settings.Peers {
		c.checkName("peers", peer.Name)
		c.checkDialAddress("peers", peer.Address)
		if names[peer.Name] || addresses[peer.Address] {
			c.fail("peers", "%q has the name or address of another peer", peer.Name)
		}
		names[peer.Name], addresses[peer.Address] = true, true
		self = self || peer == Peer{Name: c.settings.Name, Address: c.settings.Listen}
	}
	if count > 0 && !self {
		c.fail("peers", "must hold this replica's own name and listen address")
	}
}

func (c *checker) checkTimeouts() {
	if c.settings.DrainTimeout < 0 || c.settings.DrainTimeout.Std() > maxStopTime {
		c.fail("drain", "must be from 0s to %s", maxStopTime)
	}
	if c.settings.ShutdownDelay <= 0 || c.settings.ShutdownDelay.Std() > maxStopTime {
		c.fail("linger", "must be above 0s and at most %s", maxStopTime)
	}
}

func (c *checker) checkMetrics() {
	if c.settings.Metrics == "" {
		return
	}
	c.checkListenAddress("metrics", c.settings.Metrics)
	address, ok := parseAddress(c.settings.Metrics)
	if ok && !address.Addr().IsLoopback() && !address.Addr().IsPrivate() {
		c.fail("metrics", "must be on loopback or a private network")
	}
}

// checkListenAddress checks an address to listen on.
func (c *checker) checkListenAddress(field, text string) {
	address, ok := parseAddress(text)
	if !ok {
		c.fail(field, "must be an IP number and a port, for example 127.0.0.1:7000")
		return
	}
	if !c.settings.mayListen(address) {
		c.fail(field, "without certificates only loopback is allowed; name certificates or set open to true")
	}
}

// checkAdvertisedAddress checks an address to listen on that is also advertised to
// other processes, which dial it.
func (c *checker) checkAdvertisedAddress(field, text string) {
	c.checkListenAddress(field, text)
	c.checkDialable(field, text)
}

// checkDialAddress checks an address to dial.
func (c *checker) checkDialAddress(field, text string) {
	if _, ok := parseAddress(text); !ok {
		c.fail(field, "each address must be an IP number and a port, for example 10.0.0.7:7000")
	}
	c.checkDialable(field, text)
}

// checkDialable checks that an address names one IP and a port.
func (c *checker) checkDialable(field, text string) {
	if address, ok := parseAddress(text); ok && (address.Addr().IsUnspecified() || address.Port() == 0) {
		c.fail(field, "must name one IP and a port that others can dial")
	}
}

// mayListen reports whether the daemon may listen on an address: beyond loopback,
// it needs certificates or AllowPlaintext.
func (s *Settings) mayListen(address netip.AddrPort) bool {
	return address.Addr().IsLoopback() || s.AllowPlaintext || s.Secure()
}

func parseAddress(text string) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(text)
	return address, err == nil
}
