package conf

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerspindle/tanagerspindle/pkg/strict"
)

// suffixes are the extensions of configuration files.
var suffixes = []string{".json", ".jsonc", ".hujson"}

// Load reads the configuration files of a folder in the order of their names,
// merges them, fills in the defaults and checks the result. Values of later files
// replace those of earlier ones, and null deletes a record or field. All errors are
// returned at once, as an Error whose cause is a strict.Diagnostics; the
// configuration is nil then.
func Load(dir string) (*Config, error) {
	files, err := readFiles(dir)
	if err != nil {
		return nil, err
	}
	document := strict.New()
	for _, file := range files {
		document.Merge(file.name, file.text)
	}
	return decode(document)
}

// Fingerprint returns a fast hash of the names and contents of the files that Load
// would read, to detect changes.
func Fingerprint(dir string) (uint64, error) {
	files, err := readFiles(dir)
	if err != nil {
		return 0, err
	}
	sum := xxhash.New()
	for _, file := range files {
		_, _ = fmt.Fprintf(sum, "%q %d ", file.name, len(file.text))
		_, _ = sum.Write(file.text)
	}
	return sum.Sum64(), nil
}

// file is one configuration file.
type file struct {
	name string
	text []byte
}

func readFiles(dir string) ([]file, error) {
	names, err := listFiles(dir)
	if err != nil {
		return nil, err
	}
	files := make([]file, 0, len(names))
	for _, name := range names {
		text, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			return nil, &Error{Op: "load " + dir, Kind: KindRead, Err: err}
		}
		files = append(files, file{name: name, text: text})
	}
	return files, nil
}

// listFiles returns the names of the configuration files, sorted. It skips hidden
// files and the temporary files of editors.
func listFiles(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, &Error{Op: "load " + dir, Kind: KindRead, Err: err}
	}
	var names []string
	for _, entry := range entries {
		if !entry.IsDir() && isConfig(entry.Name()) {
			names = append(names, entry.Name())
		}
	}
	if len(names) == 0 {
		return nil, &Error{Op: "load " + dir, Kind: KindEmpty}
	}
	slices.Sort(names)
	return names, nil
}

func isConfig(name string) bool {
	if strings.HasPrefix(name, ".") || strings.HasPrefix(name, "#") || strings.HasPrefix(name, "~") {
		return false
	}
	return slices.Contains(suffixes, filepath.Ext(name))
}

func decode(document *strict.Document) (*Config, error) {
	config := &Config{Weights: Default().Weights}
	document.Decode(config, defaultRecord)
	document.AddDiagnostics(config.diagnose())
	if err := invalidError("load", document.Diagnostics); err != nil {
		return nil, err
	}
	return config, nil
}

// defaultRecord returns the initial value of a record of the given type.
func defaultRecord(kind reflect.Type) reflect.Value {
	defaults := Default()
	switch kind {
	case reflect.TypeFor[Workspace]():
		return reflect.ValueOf(defaults.Workspace)
	case reflect.TypeFor[Route]():
		return reflect.ValueOf(defaults.Route)
	}
	return reflect.Zero(kind)
}
