// Package digest computes the digests that stand for keys, requests and
// prompt prefixes.
package digest

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlock is the length of a hashed block of a prompt, in bytes.
const PrefixBlock = 256

// Sum is a SHA-256 digest.
type Sum [sha256.Size]byte

// Key returns the form in which a caller's key is configured and compared:
// lower-case hexadecimal SHA-256.
func Key(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Of returns the digest of the parts; their boundaries count.
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

// PrefixHashes returns the hashes of up to most leading blocks of a prompt, each
// covering all blocks before it, shortest first.
func PrefixHashes(prompt string, most int) []uint64 {
	var hashes []uint64
	running := xxhash.New()
	for len(prompt) >= PrefixBlock && len(hashes) < most {
		_, _ = running.WriteString(prompt[:PrefixBlock])
		hashes = append(hashes, running.Sum64())
		prompt = prompt[PrefixBlock:]
	}
	return hashes
}
