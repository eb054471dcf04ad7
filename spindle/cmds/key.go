package cmds

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/digest"
)

const (
	flagWorkspace = "workspace"
	flagNote      = "note"
	// keyPrefix marks keys, so that scanners for leaked secrets find them.
	keyPrefix = "ts_"
	// keySize is the number of random bytes in a key.
	keySize = 32
)

// newKey is the result of key new.
type newKey struct {
	// Key is shown only here; only its digest is kept anywhere.
	Key    string              `json:"key"`
	Digest string              `json:"digest"`
	Entry  map[string]keyEntry `json:"keys"`
}

// keyEntry is a key's record as files hold it.
type keyEntry struct {
	Workspace string `json:"workspace"`
	Note      string `json:"note,omitempty"`
}

func (p *Program) key() *cli.Command {
	return &cli.Command{
		Name:   "key",
		Usage:  "make callers' keys",
		Action: requireCommand,
		Commands: []*cli.Command{{
			Name:  "new",
			Usage: "make a key, print it once, and the entry for the operators' folder",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: flagWorkspace, Usage: "the workspace that the key is for", Required: true},
				&cli.StringFlag{Name: flagNote, Usage: "whose key it is"},
			},
			Action: p.makeKey,
		}},
	}
}

func (p *Program) makeKey(_ context.Context, c *cli.Command) error {
	if err := noArgument(c); err != nil {
		return err
	}
	secret := make([]byte, keySize)
	if _, err := io.ReadFull(p.Random, secret); err != nil {
		return &Error{Op: c.FullName(), Kind: KindRefused, Err: err}
	}
	result := newKey{Key: keyPrefix + base64.RawURLEncoding.EncodeToString(secret)}
	result.Digest = digest.Key(result.Key)
	record := conf.Key{Workspace: c.String(flagWorkspace), Note: c.String(flagNote)}
	result.Entry = map[string]keyEntry{result.Digest: keyEntry(record)}
	entry, err := json.MarshalIndent(map[string]any{"keys": result.Entry}, "", "  ")
	if err != nil {
		return &Error{Op: c.FullName(), Kind: KindRefused, Err: err}
	}
	return p.show(c, result, fmt.Sprintf(
		"key, shown only now; give it to the caller:\n%s\n\nentry for a file of the operators' folder:\n%s\n", result.Key, entry))
}
