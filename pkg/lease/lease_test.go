package lease_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/lease"
)

func TestLeaseCountsFromSend(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		held := &lease.Lease{}
		require.False(t, held.Valid())
		held.Sent(1)
		time.Sleep(time.Second)
		held.Renew(1, lease.Length)
		require.Equal(t, 2*time.Second, time.Until(held.Until()))
		held.Renew(1, time.Hour)
		held.Renew(9, time.Hour)
		require.Equal(t, 2*time.Second, time.Until(held.Until()), "a renewal counts once, and only if it was requested")
		time.Sleep(2 * time.Second)
		require.False(t, held.Valid())
		held.Sent(2)
		held.Renew(2, lease.Length)
		require.True(t, held.Valid())
		held.End()
		held.Sent(3)
		held.Renew(3, lease.Length)
		require.False(t, held.Valid())
	})
}
