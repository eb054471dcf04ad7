package lease_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/lease"
)

// A lease expires while the VM is suspended, and a renewal that was pending at that
// time does not extend it.
func TestLeaseExpiresDuringSuspension(t *testing.T) {
	suspended := time.Duration(0)
	l := &lease.Lease{BootTime: func() time.Time { return time.Now().Add(suspended) }}
	l.Sent(1)
	l.Renew(1, lease.Length)
	require.True(t, l.Valid())
	l.Sent(2)
	suspended = lease.Length + time.Second
	require.False(t, l.Valid())
	l.Renew(2, lease.Length)
	require.False(t, l.Valid(), "the renewal was requested before the suspension")
	l.Sent(3)
	l.Renew(3, lease.Length)
	require.True(t, l.Valid())
}
