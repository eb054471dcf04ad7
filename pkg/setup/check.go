package setup

import (
	"net/netip"
	"regexp"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/strict"
)

const (
	// maxPeers is the largest number of control replicas.
	maxPeers = 7
	// maxFlight bounds the loads in flight.
	maxFlight = 100_000
	// maxDrain bounds the settings of a planned stop.
	maxDrain = 24 * time.Hour
)

var nameShape = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Check returns all faults of the settings at once, as an Error whose cause
// is strict.Faults; nil when there are none.
func (s *Settings) Check() error {
	if faults := s.faults(); len(faults) > 0 {
		return &Error{Op: "check settings", Kind: KindInvalid, Err: faults}
	}
	return nil
}

func (s *Settings) faults() strict.Diagnostics {
	k := &checker{setup: s}
	k.checkName("name", s.Name)
	k.checkName("data_centre", s.DataCentre)
	switch s.Role {
	case RoleEntry:
		k.checkEntry()
	case RoleAgent:
		k.checkAgent()
	case RoleControl:
		k.checkControl()
	default:
		k.fail("role", "must be %q, %q or %q", RoleEntry, RoleAgent, RoleControl)
	}
	k.checkTimes()
	k.checkMetrics()
	k.checkCertificates()
	return k.faults
}

// checker gathers the faults of one daemon's settings.
type checker struct {
	setup  *Settings
	faults strict.Diagnostics
}

func (k *checker) fail(field, format string, values ...any) {
	k.faults.Add([]string{field}, format, values...)
}

func (k *checker) checkName(field, name string) {
	if !nameShape.MatchString(name) {
		k.fail(field, "must have 1 to 64 letters, digits or any of . _ -, and start with a letter or digit")
	}
}

func (k *checker) checkEntry() {
	k.checkListener("http", k.setup.HTTP)
	k.checkUplinks()
	k.checkAbsent("listen", k.setup.Listen != "")
	k.checkControlOnly()
}

func (k *checker) checkAgent() {
	k.checkReachable("listen", k.setup.Listen)
	k.checkListener("http", k.setup.HTTP)
	if address, ok := parseAddress(k.setup.HTTP); ok && !address.Addr().IsLoopback() && !k.setup.AllowPlaintext {
		k.fail("http", "an endpoint announces itself over loopback; set open to true to listen elsewhere")
	}
	k.checkUplinks()
	k.checkControlOnly()
}

func (k *checker) checkControl() {
	k.checkReachable("listen", k.setup.Listen)
	k.checkPeers()
	if k.setup.DataDir == "" {
		k.fail("data", "is missing")
	}
	if !(k.setup.LoadsPerSecond > 0 && k.setup.LoadsPerSecond <= maxFlight) {
		k.fail("loads", "must be above 0 and at most %d", maxFlight)
	}
	if k.setup.MaxLoadsInFlight < 1 || k.setup.MaxLoadsInFlight > maxFlight {
		k.fail("flight", "must be from 1 to %d", maxFlight)
	}
	k.checkAbsent("http", k.setup.HTTP != "")
	k.checkAbsent("control", len(k.setup.Control) > 0)
}

func (k *checker) checkControlOnly() {
	k.checkAbsent("peers", len(k.setup.Peers) > 0)
	k.checkAbsent("data", k.setup.DataDir != "")
	k.checkAbsent("watch", k.setup.WatchDir != "")
}

func (k *checker) checkAbsent(field string, present bool) {
	if present {
		k.fail(field, "is not for role %q", k.setup.Role)
	}
}

func (k *checker) checkUplinks() {
	if len(k.setup.Control) == 0 {
		k.fail("control", "must name at least one control replica")
	}
	seen := map[string]bool{}
	for _, address := range k.setup.Control {
		k.checkTarget("control", address)
		if seen[address] {
			k.fail("control", "%q is listed twice", address)
		}
		seen[address] = true
	}
}

func (k *checker) checkPeers() {
	count := len(k.setup.Peers)
	if count%2 == 0 || count > maxPeers {
		k.fail("peers", "must list an odd number of replicas, at most %d", maxPeers)
	}
	names, addresses, self := map[string]bool{}, map[string]bool{}, false
	for _, peer := range k.setup.Peers {
		k.checkName("peers", peer.Name)
		k.checkTarget("peers", peer.Address)
		if names[peer.Name] || addresses[peer.Address] {
			k.fail("peers", "%q has the name or address of another peer", peer.Name)
		}
		names[peer.Name], addresses[peer.Address] = true, true
		self = self || peer == Peer{Name: k.setup.Name, Address: k.setup.Listen}
	}
	if count > 0 && !self {
		k.fail("peers", "must hold this replica's own name and listen address")
	}
}

func (k *checker) checkTimes() {
	if k.setup.DrainTimeout < 0 || k.setup.DrainTimeout.Std() > maxDrain {
		k.fail("drain", "must be from 0s to %s", maxDrain)
	}
	if k.setup.ShutdownDelay <= 0 || k.setup.ShutdownDelay.Std() > maxDrain {
		k.fail("linger", "must be above 0s and at most %s", maxDrain)
	}
}

func (k *checker) checkMetrics() {
	if k.setup.Metrics == "" {
		return
	}
	k.checkListener("metrics", k.setup.Metrics)
	address, ok := parseAddress(k.setup.Metrics)
	if ok && !address.Addr().IsLoopback() && !address.Addr().IsPrivate() {
		k.fail("metrics", "must be on loopback or a private network")
	}
}

// checkListener checks an address to listen on.
func (k *checker) checkListener(field, text string) {
	address, ok := parseAddress(text)
	if !ok {
		k.fail(field, "must be an IP number and a port, for example 127.0.0.1:7000")
		return
	}
	if !k.setup.mayListen(address) {
		k.fail(field, "without certificates only loopback is allowed; name certificates or set open to true")
	}
}

// checkReachable checks an address to listen on that others dial.
func (k *checker) checkReachable(field, text string) {
	k.checkListener(field, text)
	k.checkSpecific(field, text)
}

// checkTarget checks an address to dial.
func (k *checker) checkTarget(field, text string) {
	if _, ok := parseAddress(text); !ok {
		k.fail(field, "each address must be an IP number and a port, for example 10.0.0.7:7000")
	}
	k.checkSpecific(field, text)
}

func (k *checker) checkSpecific(field, text string) {
	if address, ok := parseAddress(text); ok && (address.Addr().IsUnspecified() || address.Port() == 0) {
		k.fail(field, "must name one IP and a port that others can dial")
	}
}

func (s *Settings) mayListen(address netip.AddrPort) bool {
	return address.Addr().IsLoopback() || s.AllowPlaintext || s.Secure()
}

func parseAddress(text string) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(text)
	return address, err == nil
}
