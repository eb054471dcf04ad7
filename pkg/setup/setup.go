// Package setup holds the settings of one daemon, read from a file in JSON
// with comments and checked at start.
package setup

import (
	"os"
	"path/filepath"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
	"github.com/tanagerspindle/tanagerspindle/pkg/strict"
)

// Roles of a daemon.
const (
	// RoleEntry takes callers' requests.
	RoleEntry = "entry"
	// RoleAgent stands beside one endpoint.
	RoleAgent = "agent"
	// RoleControl is a replica of control.
	RoleControl = "ctrl"
)

// Settings is the settings of one daemon. Addresses are an IP number and a port,
// for example 10.0.0.7:7000. File names are relative to the folder of the
// settings file.
type Settings struct {
	// Role is "entry" (takes callers' requests), "agent" (stands beside one
	// endpoint) or "ctrl" (a replica of control). Required.
	Role string `json:"role"`
	// Name of the daemon, unique in its role. A replaced VM may keep it.
	// Required.
	Name string `json:"name"`
	// DataCentre is where the VM stands; work stays in the data centre where
	// it can. Required.
	DataCentre string `json:"data_centre"`
	// Listen is where other processes of the system reach this one. It is
	// handed on to them, so it names one IP. Required for agent and ctrl.
	Listen string `json:"listen"`
	// HTTP is where callers reach an entry, and where the endpoint beside an
	// agent announces itself (on loopback). Required for entry and agent.
	HTTP string `json:"http"`
	// Control lists the addresses of the control replicas, nearest first.
	// Required for entry and agent.
	Control []string `json:"control"`
	// Peers lists all control replicas, this one included: an odd number, at
	// most 7. Required for ctrl.
	Peers []Peer `json:"peers"`
	// DataDir is the folder for the replica's own state, on a disk. A new, empty
	// folder is a new replica. Required for ctrl.
	DataDir string `json:"data"`
	// WatchDir is an operators' folder that is submitted whenever it changes;
	// empty watches none. For ctrl.
	WatchDir string `json:"watch"`
	// LoadsPerSecond is how many adapter loads a second the weight store allows to the
	// whole fleet. For ctrl; the same at every replica.
	LoadsPerSecond float64 `json:"loads"`
	// MaxLoadsInFlight is how many adapter loads may be in flight at once in the whole
	// fleet. For ctrl; the same at every replica.
	MaxLoadsInFlight int `json:"flight"`
	// Certificate is a PEM file with the daemon's certificate, which names
	// the IP of Listen. Certificate, key and authority go together and turn
	// on mutual TLS between the system's processes.
	Certificate string `json:"certificate"`
	// Key is a PEM file with the certificate's private key.
	Key string `json:"key"`
	// Authority is a PEM file with the certificates that sign the daemons'.
	Authority string `json:"authority"`
	// AllowPlaintext allows listening beyond loopback without certificates.
	AllowPlaintext bool `json:"open"`
	// DrainTimeout bounds how long an agent that stops waits for its requests to end;
	// 0s waits for as long as they take. An entry always does, unless a second
	// signal comes.
	DrainTimeout span.Duration `json:"drain"`
	// ShutdownDelay is how long an entry that stops goes on accepting requests with
	// its health check red, until the balancer has let go of it.
	ShutdownDelay span.Duration `json:"linger"`
	// Metrics is where counters are shown in the form of expvar, on loopback
	// or a private network; empty shows none.
	Metrics string `json:"metrics"`
}

// Peer is one control replica.
type Peer struct {
	// Name is the replica's, as in its own settings.
	Name string `json:"name"`
	// Address is its Listen.
	Address string `json:"address"`
}

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindRead says that the settings file cannot be read.
	KindRead Kind = "cannot read"
	// KindInvalid says that the settings have the faults that are the cause, a
	// strict.Faults.
	KindInvalid Kind = "faults in the settings"
	// KindCertificate says that a certificate file cannot be used.
	KindCertificate Kind = "cannot use certificate"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Default returns the settings of fields that the file does not set.
func Default() Settings {
	return Settings{
		LoadsPerSecond:   2,
		MaxLoadsInFlight: 8,
		ShutdownDelay:    span.Duration(5 * time.Second),
	}
}

// Load reads and checks a settings file. All faults are reported at once, as
// an Error whose cause is strict.Faults.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{Op: "load settings", Kind: KindRead, Err: err}
	}
	setup, faults := parse(file, text)
	if len(faults) > 0 {
		return nil, &Error{Op: "load settings", Kind: KindInvalid, Err: faults.Sorted()}
	}
	return setup, nil
}

func parse(file string, text []byte) (*Settings, strict.Diagnostics) {
	document := strict.New()
	document.Merge(file, text)
	setup := Default()
	document.Decode(&setup, nil)
	setup.anchor(filepath.Dir(file))
	document.AddDiagnostics(setup.faults())
	return &setup, document.Diagnostics
}

// anchor makes file names relative to the folder of the settings file.
func (s *Settings) anchor(folder string) {
	for _, name := range []*string{&s.DataDir, &s.WatchDir, &s.Certificate, &s.Key, &s.Authority} {
		if *name != "" && !filepath.IsAbs(*name) {
			*name = filepath.Join(folder, *name)
		}
	}
}
