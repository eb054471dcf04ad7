// Package digest computes the digests that represent API keys, requests and prompt
// prefixes.
package digest

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlock is the size of the blocks of a prompt that are hashed, in bytes.
const PrefixBlock = 256

// Sum is a SHA-256 digest.
type Sum [sha256.Size]byte

// Key returns the digest by which a caller's API key is configured and compared: its
// SHA-256 in lower-case hexadecimal.
func Key(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Of returns the SHA-256 digest of a list of parts. The length of each part is hashed
// as well, so that the digest depends on the boundaries between parts.
func Of(parts ...[]byte) []byte {
	sum := sha256.New()
	for _, part := range parts {
		writePart(sum, part)
	}
	return sum.Sum(nil)
}

func writePart(sum hash.Hash, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	sum.Write(length[:])
	sum.Write(part)
}

// PrefixHashes returns the hashes of a prompt's prefixes of one, two and more complete
// blocks, at most limit of them, shortest prefix first.
func PrefixHashes(prompt string, limit int) []uint64 {
	var hashes []uint64
	running := xxhash.New()
	for len(prompt) >= PrefixBlock && len(hashes) < limit {
		_, _ = running.WriteString(prompt[:PrefixBlock])
		hashes = append(hashes, running.Sum64())
		prompt = prompt[PrefixBlock:]
	}
	return hashes
}
