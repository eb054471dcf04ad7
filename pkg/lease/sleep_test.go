package lease_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/lease"
)

// A lease runs out while the VM is suspended, also one whose renewal was under
// way then.
func TestLeaseExpiresDuringSuspension(t *testing.T) {
	slept := time.Duration(0)
	l := &lease.Lease{BootTime: func() time.Time { return time.Now().Add(slept) }}
	l.Sent(1)
	l.Renew(1, lease.Length)
	require.True(t, l.Valid())
	l.Sent(2)
	slept = lease.Length + time.Second
	require.False(t, l.Valid())
	l.Renew(2, lease.Length)
	require.False(t, l.Valid(), "the renewal was asked for before")
	l.Sent(3)
	l.Renew(3, lease.Length)
	require.True(t, l.Valid())
}
