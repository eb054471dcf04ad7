package folder

import (
	"encoding/json"
	"os"
	"path/filepath"
)

// record identifies the content of the folder that last matched the committed
// configuration, and holds that configuration's number. The zero value means
// that none ever matched.
type record struct {
	// Mark is "digest#number": the digest of the configuration read from the folder,
	// and the number that its files state, 0 if none.
	Mark   string `json:"mark"`
	Number uint64 `json:"number"`
}

// readRecord reads the record from a file; a missing file is a zero record.
func readRecord(file string) (record, error) {
	text, err := os.ReadFile(file)
	if os.IsNotExist(err) {
		return record{}, nil
	}
	if err != nil {
		return record{}, &Error{Op: "read record", Kind: KindRecord, Err: err}
	}
	var r record
	if err := json.Unmarshal(text, &r); err != nil {
		return record{}, &Error{Op: "read record", Kind: KindRecord, Err: err}
	}
	return r, nil
}

// write replaces the file atomically: after a crash the file holds either the
// old or the new record.
func (r record) write(file string) error {
	text, err := json.Marshal(r)
	if err != nil {
		return &Error{Op: "write record", Kind: KindRecord, Err: err}
	}
	temporary := file + ".tmp"
	if err := writeAndSync(temporary, append(text, '\n')); err != nil {
		return &Error{Op: "write record", Kind: KindRecord, Err: err}
	}
	if err := os.Rename(temporary, file); err != nil {
		return &Error{Op: "write record", Kind: KindRecord, Err: err}
	}
	if err := syncDir(filepath.Dir(file)); err != nil {
		return &Error{Op: "write record", Kind: KindRecord, Err: err}
	}
	return nil
}

func writeAndSync(name string, text []byte) error {
	file, err := os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if _, err := file.Write(text); err != nil {
		return err
	}
	return file.Sync()
}

func syncDir(name string) error {
	folder, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = folder.Close() }()
	return folder.Sync()
}
