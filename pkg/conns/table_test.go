package conns

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

// at returns a time after the start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// open adds a connection and makes room for it.
func open(t *table, now time.Time) (added *record, victims []*record, ok bool) {
	added = t.add(now)
	if added == nil {
		return nil, nil, false
	}
	victims, ok = t.makeRoom(added, now)
	return added, victims, ok
}

// Guards against a crowd of silent connections that keeps callers out, and against the close of
// connections on which requests are served.
func TestSilentConnectionsGiveWayFirst(t *testing.T) {
	table := &table{maxDescriptors: 5}
	idle, _, ok := open(table, at(0))
	require.True(t, ok)
	table.enter(idle, phaseIdle, at(0))
	active, _, _ := open(table, at(0))
	table.enter(active, phaseActive, at(0))
	silent, _, _ := open(table, at(1))
	header, _, _ := open(table, at(2))
	table.enter(header, phaseHeader, at(2))
	table.receive(header, 1, 4*connBytes)

	_, victims, ok := open(table, at(4))
	require.True(t, ok)
	require.Equal(t, []*record{header}, victims, "the one that has held most for longest")
	table.remove(header)
	_, victims, ok = open(table, at(4.5))
	require.True(t, ok)
	require.Equal(t, []*record{silent}, victims)
	table.remove(silent)
	_, victims, ok = open(table, at(4.6))
	require.True(t, ok)
	require.Equal(t, []*record{idle}, victims, "the others have just been opened")
	table.remove(idle)
	last, _, ok := open(table, at(4.7))
	require.False(t, ok, "none is overdue")
	victims, ok = table.displace(last, at(4.7))
	require.True(t, ok)
	require.Len(t, victims, 1)
	require.NotEqual(t, active, victims[0])
}

// Guards against more connections than the bound allows while those that give way have yet to
// end, and against a bound that closes more connections than needed.
func TestConnectionsStayWithinTheirBound(t *testing.T) {
	table := &table{maxDescriptors: 100}
	refused := 0
	for i := range 1000 {
		now := at(float64(i) / 1000)
		added, _, ok := open(table, now)
		if added != nil && !ok {
			_, ok = table.displace(added, now)
		}
		if !ok {
			refused++
			table.remove(added)
		}
		require.LessOrEqual(t, table.descriptors, 125)
		require.LessOrEqual(t, table.descriptors-table.yieldingDescriptors, 100)
	}
	require.Equal(t, 875, refused, "the victims have not ended")
	for r := range table.records {
		if r.yields {
			table.remove(r)
		}
	}
	require.Equal(t, 100, table.descriptors)
	added, victims, ok := open(table, at(5))
	require.True(t, ok)
	require.NotNil(t, added)
	require.Len(t, victims, 1)
}

// Guards against headers that together take more memory than their bound.
func TestHeadersStayWithinTheirMemory(t *testing.T) {
	table := &table{maxBytes: 100 * connBytes}
	var records []*record
	for i := range 50 {
		added, victims, ok := open(table, at(float64(i)))
		require.True(t, ok)
		require.Empty(t, victims)
		table.enter(added, phaseHeader, at(float64(i)))
		records = append(records, added)
	}
	table.receive(records[10], 1, 20*connBytes)
	table.receive(records[20], 1, 25*connBytes)
	_, ok := table.makeRoom(records[20], at(60))
	require.True(t, ok, "95 of 100")
	table.receive(records[30], 1, 10*connBytes)
	victims, ok := table.makeRoom(records[30], at(60))
	require.True(t, ok)
	require.Equal(t, []*record{records[10]}, victims)
	table.enter(records[10], phaseActive, at(61))
	require.False(t, records[10].yields, "a header that is whole is served")
	for _, r := range records {
		table.remove(r)
	}
	require.Zero(t, table.bytes)
	require.Zero(t, table.yieldingBytes)
	require.Zero(t, table.descriptors)
}
