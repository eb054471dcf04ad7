package folder

import (
	"encoding/json"
	"os"
	"path/filepath"
)

// record says which content the folder had when it was last in line with the
// committed configuration, and that configuration's number. The zero value
// means that it never was.
type record struct {
	Mark   string `json:"mark"`
	Number uint64 `json:"number"`
}

// readRecord returns the zero record when there is no file.
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

// write replaces the file so that a crash leaves the old or the new record.
func (r record) write(file string) error {
	text, err := json.Marshal(r)
	if err != nil {
		return &Error{Op: "write record", Kind: KindRecord, Err: err}
	}
	temporary := file + ".tmp"
	if err := writeSynced(temporary, append(text, '\n')); err != nil {
		return &Error{Op: "write record", Kind: KindRecord, Err: err}
	}
	if err := os.Rename(temporary, file); err != nil {
		return &Error{Op: "write record", Kind: KindRecord, Err: err}
	}
	if err := syncFolder(filepath.Dir(file)); err != nil {
		return &Error{Op: "write record", Kind: KindRecord, Err: err}
	}
	return nil
}

func writeSynced(name string, text []byte) error {
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

func syncFolder(name string) error {
	folder, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = folder.Close() }()
	return folder.Sync()
}
