// Package setup defines the settings of a daemon. They are read from a file in JSON
// with comments and validated when the daemon starts.
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
	// RoleEntry is a daemon that accepts callers' requests.
	RoleEntry = "entry"
	// RoleAgent is a daemon that runs beside one endpoint.
	RoleAgent = "agent"
	// RoleControl is a replica of control.
	RoleControl = "ctrl"
)

// Settings are the settings of one daemon. An address is an IP number and a port, for
// example 10.0.0.7:7000. File names are relative to the folder of the settings file.
type Settings struct {
	// Role of the daemon: "entry" (accepts callers' requests), "agent" (runs beside
	// one endpoint) or "ctrl" (a replica of control). Required.
	Role string `json:"role"`
	// Name of the daemon, unique among the daemons of its role. A VM that replaces
	// another one may use the same name. Required.
	Name string `json:"name"`
	// Data centre of the VM. Requests are served within their data centre where
	// possible. Required.
	DataCentre string `json:"data_centre"`
	// Address on which the daemon accepts connections of the system's other
	// processes. It is advertised to them, so that it must name one IP and a port.
	// Required for agent and ctrl.
	Listen string `json:"listen"`
	// Address of the HTTP server: an entry accepts callers' requests on it, and an
	// agent the announcement of its endpoint (on loopback). Required for entry and
	// agent.
	HTTP string `json:"http"`
	// Addresses of the control replicas, nearest first. Required for entry and agent.
	Control []string `json:"control"`
	// All control replicas, including this one: an odd number, at most 7. Required
	// for ctrl.
	Peers []Peer `json:"peers"`
	// Folder in which the replica stores its state, on a persistent disk. With an
	// empty folder, the replica starts as a new one. Required for ctrl.
	DataDir string `json:"data"`
	// Configuration folder of the operators, which the replica submits whenever it
	// changes; empty means none. For ctrl.
	WatchDir string `json:"watch"`
	// Maximum number of adapter loads per second in the whole fleet, as the weight
	// store allows it. For ctrl; must be the same on every replica.
	LoadsPerSecond float64 `json:"loads"`
	// Maximum number of concurrent adapter loads in the whole fleet. For ctrl; must
	// be the same on every replica.
	MaxLoadsInFlight int `json:"flight"`
	// PEM file with the daemon's certificate, which must name the IP of the listen
	// address. Certificate, key and authority must be set together; they enable
	// mutual TLS between the system's processes.
	Certificate string `json:"certificate"`
	// PEM file with the private key of the certificate.
	Key string `json:"key"`
	// PEM file with the certificates of the authorities that sign the daemons'
	// certificates.
	Authority string `json:"authority"`
	// Whether the daemon may listen beyond loopback without certificates.
	AllowPlaintext bool `json:"open"`
	// How long an agent that stops waits for its requests to end; 0s means without
	// limit. An entry always waits without limit, unless it receives a second signal; it
	// holds idle connections of callers for up to 6 s after the linger time.
	DrainTimeout span.Duration `json:"drain"`
	// How long an entry that stops still accepts requests while its health check
	// fails, so that the load balancer removes it first.
	ShutdownDelay span.Duration `json:"linger"`
	// Address on which counters are served in the format of expvar. It must be on
	// loopback or a private network; empty means that they are not served.
	Metrics string `json:"metrics"`
	// Memory limit of the process in MB, of which half is for requests and their answers.
	// Callers beyond it are refused. For entry.
	MemoryMB int64 `json:"memory"`
	// Number of file descriptors that the process may use; 0 means the limit of the
	// operating system. Idle connections of callers beyond it are closed. For entry.
	Descriptors int `json:"descriptors"`
}

// Peer is one control replica.
type Peer struct {
	// Name of the replica, as in the replica's own settings.
	Name string `json:"name"`
	// Address of the replica: the listen address in its own settings.
	Address string `json:"address"`
}

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindRead means that the settings file cannot be read.
	KindRead Kind = "cannot read"
	// KindInvalid means that the settings are invalid; the error wraps
	// strict.Diagnostics.
	KindInvalid Kind = "invalid settings"
	// KindCertificate means that a certificate file cannot be used.
	KindCertificate Kind = "cannot use certificate"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Default returns the default settings, which apply to fields that the file does not
// set.
func Default() Settings {
	return Settings{
		LoadsPerSecond:   2,
		MaxLoadsInFlight: 8,
		ShutdownDelay:    span.Duration(5 * time.Second),
		MemoryMB:         512,
	}
}

// Load reads and validates a settings file. It reports all problems at once, as an
// Error that wraps strict.Diagnostics.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{Op: "load settings", Kind: KindRead, Err: err}
	}
	settings, diagnostics := parse(file, text)
	if len(diagnostics) > 0 {
		return nil, &Error{Op: "load settings", Kind: KindInvalid, Err: diagnostics.Sorted()}
	}
	return settings, nil
}

// parse decodes and validates the text of a settings file.
func parse(file string, text []byte) (*Settings, strict.Diagnostics) {
	document := strict.New()
	document.Merge(file, text)
	settings := Default()
	document.Decode(&settings, nil)
	settings.resolvePaths(filepath.Dir(file))
	document.AddDiagnostics(settings.diagnostics())
	return &settings, document.Diagnostics
}

// resolvePaths resolves relative file names against the folder of the settings file.
func (s *Settings) resolvePaths(folder string) {
	for _, name := range []*string{&s.DataDir, &s.WatchDir, &s.Certificate, &s.Key, &s.Authority} {
		if *name != "" && !filepath.IsAbs(*name) {
			*name = filepath.Join(folder, *name)
		}
	}
}
