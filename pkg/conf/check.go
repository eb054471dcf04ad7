package conf

import (
	"maps"
	"math"
	"regexp"
	"slices"

	"github.com/tanagerspindle/tanagerspindle/pkg/strict"
)

const (
	// maxNameBytes is the maximum length of a record's name, in bytes.
	maxNameBytes = 128
	// maxTokens bounds rates, bursts and costs, in tokens, so that their sums over
	// time do not overflow.
	maxTokens = 1 << 40
	// Unlimited is the rate of a workspace whose allowance is not limited.
	Unlimited = maxTokens
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/@-]*$`)

// Check returns all errors in the configuration as one Error whose cause is a
// strict.Diagnostics, or nil if there are none. The empty configuration is valid.
func (c *Config) Check() error {
	return invalidError("check", c.diagnose())
}

// diagnose returns all errors in the configuration.
func (c *Config) diagnose() strict.Diagnostics {
	k := checker{config: c}
	for _, name := range sorted(c.Workspaces) {
		k.checkWorkspace(name, c.Workspaces[name])
	}
	for _, name := range sorted(c.Keys) {
		k.checkKey(name, c.Keys[name])
	}
	for _, name := range sorted(c.Adapters) {
		k.checkAdapter(name, c.Adapters[name])
	}
	for _, name := range sorted(c.Routes) {
		k.checkRoute(name, c.Routes[name])
	}
	for _, name := range sorted(c.Services) {
		k.checkRecord("services", name)
		k.checkHedgeShare(c.Services[name].HedgeShare, "services", name, "hedge")
	}
	k.checkWeights(c.Weights)
	k.checkServicePaths()
	k.checkOpaquePaths()
	k.checkModelNames()
	return k.diagnostics
}

// sorted returns the keys of a map in order, so that errors come in a fixed order.
func sorted[V any](records map[string]V) []string {
	return slices.Sorted(maps.Keys(records))
}

// checker collects the errors in one configuration.
type checker struct {
	config      *Config
	diagnostics strict.Diagnostics
}

// fail adds an error about the field at path.
func (k *checker) fail(path []string, format string, values ...any) {
	k.diagnostics.Add(path, format, values...)
}

// checkRecord checks the name of a record in a section.
func (k *checker) checkRecord(section, name string) {
	k.checkName(name, section, name)
}

func (k *checker) checkName(name string, path ...string) {
	if len(name) > maxNameBytes || !namePattern.MatchString(name) {
		k.fail(path, "a name has 1 to %d letters, digits or any of . _ : / @ -, and starts with a letter or digit", maxNameBytes)
	}
}

func (k *checker) checkWorkspace(name string, w Workspace) {
	k.checkRecord("workspaces", name)
	k.checkTokens(w.Rate, "workspaces", name, "rate")
	k.checkTokens(w.Burst, "workspaces", name, "burst")
	k.checkObjective(w.Objective, "workspaces", name, "goal")
}

func (k *checker) checkTokens(tokens int64, path ...string) {
	if tokens <= 0 || tokens > maxTokens {
		k.fail(path, "must be from 1 to %d", int64(maxTokens))
	}
}

func (k *checker) checkObjective(g Objective, path ...string) {
	if g.FirstToken < 0 {
		k.fail(append(path, "first"), "must not be negative")
	}
	if g.TokenGap < 0 {
		k.fail(append(path, "gap"), "must not be negative")
	}
	if !(g.Share >= 0 && g.Share < 1) {
		k.fail(append(path, "share"), "must be at least 0 and below 1, for example 0.95")
	}
}

func (k *checker) checkKey(sum string, key Key) {
	if !digestPattern.MatchString(sum) {
		k.fail([]string{"keys", sum}, "not a SHA-256 digest in lower-case hexadecimal; never write the key itself, make an entry with \"spindle key new\"")
	}
	if holdsSecret(key.Note) {
		k.fail([]string{"keys", sum, "note"}, "contains what looks like a key in plain text")
	}
	k.checkWorkspaceExists(key.Workspace, "keys", sum, "workspace")
}

func (k *checker) checkWorkspaceExists(name string, path ...string) {
	if name == "" {
		k.fail(path, "is missing")
		return
	}
	if _, ok := k.config.Workspaces[name]; !ok {
		k.fail(path, "no such workspace")
	}
}

func (k *checker) checkAdapter(name string, a Adapter) {
	k.checkRecord("adapters", name)
	k.checkName(a.Model, "adapters", name, "model")
	if a.Workspace != "" {
		k.checkWorkspaceExists(a.Workspace, "adapters", name, "workspace")
	}
	if len(a.Versions) == 0 {
		k.fail([]string{"adapters", name, "versions"}, "must name at least one version")
	}
	k.checkUnique(a.Versions, "adapters", name, "versions")
	for _, version := range a.Versions {
		k.checkName(version, "adapters", name, "versions")
	}
	if !slices.Contains(a.Versions, a.Current) {
		k.fail([]string{"adapters", name, "current"}, "must be one of versions")
	}
}

func (k *checker) checkUnique(values []string, path ...string) {
	seen := map[string]bool{}
	for _, value := range values {
		if seen[value] {
			k.fail(path, "%q is listed twice", value)
		}
		seen[value] = true
	}
}

func (k *checker) checkWeights(w Weights) {
	k.checkWeight(w.Stalls, "stalls")
	k.checkWeight(w.Batch, "batch")
	k.checkWeight(w.Worst, "worst")
	k.checkWeight(w.Refused, "refused")
}

func (k *checker) checkWeight(weight float64, name string) {
	if !(weight >= 0) || math.IsInf(weight, 1) {
		k.fail([]string{"weights", name}, "must be 0 or more")
	}
}
