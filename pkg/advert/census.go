// Package advert keeps the endpoints that announce themselves, by rules that
// give every holder of the same announcements the same table.
//
// Announcements come late, twice and out of order, from processes that have
// ended meanwhile and under addresses that other processes have taken over.
package advert

import (
	"cmp"
	"slices"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// KindField says that a record has an invalid field.
const KindField Kind = "invalid field"

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// mostName is the longest name of an endpoint, in bytes.
	mostName = 256
	// mostGone bounds the records of endpoints that have left; the oldest make
	// room. An announcement is at most seconds late, and a fleet replaces far
	// fewer endpoints in that time.
	mostGone = 4096
)

// Table is the table of endpoints. The zero value is empty; it is used by one
// goroutine at a time.
type Table struct {
	records map[string]*Record
	// holders are the names of the endpoints that hold each address.
	holders map[string]string
	gone    int
}

// Accepts tells what an announcement would change: nothing when it is old, and
// nothing when it only repeats what is known.
func (c *Table) Accepts(report *Record) bool {
	known := c.records[report.Name]
	if known != nil && !c.follows(report, known) {
		return false
	}
	if known != nil && !known.Removed && known.same(report) {
		return false
	}
	holder := c.records[c.holders[report.Address]]
	return holder == nil || holder.Name == report.Name || report.StartedMillis >= holder.StartedMillis
}

// follows reports whether an announcement is later than what is known under
// its name. A process that said that it has gone does not come back; one that
// starts under its former name is born later.
func (c *Table) follows(report, known *Record) bool {
	if report.StartedMillis != known.StartedMillis {
		return report.StartedMillis > known.StartedMillis
	}
	return !known.Removed && report.Seq > known.Seq
}

// Apply takes an announcement under the given revision and reports whether it
// changed the table.
func (c *Table) Apply(report Record, revision uint64) bool {
	if !c.Accepts(&report) {
		return false
	}
	c.prepare()
	if holder := c.records[c.holders[report.Address]]; holder != nil && holder.Name != report.Name {
		c.bury(holder, revision)
	}
	if former := c.records[report.Name]; former != nil {
		c.forget(former)
	}
	report.Removed, report.Revision = false, revision
	c.records[report.Name] = &report
	c.holders[report.Address] = report.Name
	return true
}

// Remove takes the news that an endpoint has left and reports whether it
// changed the table. Born is 0 when the news does not name the process.
func (c *Table) Remove(name string, born int64, revision uint64) bool {
	known := c.records[name]
	if known == nil || known.Removed || (born != 0 && born < known.StartedMillis) {
		return false
	}
	c.bury(known, revision)
	return true
}

// bury marks a record gone. Others may hold a pointer to the record, so it is
// replaced.
func (c *Table) bury(known *Record, revision uint64) {
	next := *known
	next.Removed, next.Revision = true, revision
	c.records[known.Name] = &next
	if c.holders[known.Address] == known.Name {
		delete(c.holders, known.Address)
	}
	c.gone++
	if c.gone > mostGone {
		c.trim()
	}
}

// forget takes out a record that is about to be replaced.
func (c *Table) forget(former *Record) {
	if former.Removed {
		c.gone--
	}
	if c.holders[former.Address] == former.Name {
		delete(c.holders, former.Address)
	}
	delete(c.records, former.Name)
}

// trim drops the older half of the records that are gone.
func (c *Table) trim() {
	var gone []*Record
	for _, record := range c.records {
		if record.Removed {
			gone = append(gone, record)
		}
	}
	slices.SortFunc(gone, func(a, b *Record) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, record := range gone[:len(gone)/2] {
		c.forget(record)
	}
}

func (c *Table) prepare() {
	if c.records == nil {
		c.records, c.holders = map[string]*Record{}, map[string]string{}
	}
}

// ChangedSince returns the records that changed after a revision, by revision. One
// who has nothing needs none of those that are gone.
func (c *Table) ChangedSince(revision uint64) []Record {
	var changed []Record
	for _, record := range c.records {
		if record.Revision > revision && (revision > 0 || !record.Removed) {
			changed = append(changed, *record)
		}
	}
	slices.SortFunc(changed, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Name, b.Name))
	})
	return changed
}

// Get returns the record of an endpoint.
func (c *Table) Get(name string) (Record, bool) {
	record, ok := c.records[name]
	if !ok {
		return Record{}, false
	}
	return *record, true
}

// Available returns the endpoints of each service that take new requests, sorted
// by name.
func (c *Table) Available() map[string][]Record {
	usable := map[string][]Record{}
	for _, record := range c.records {
		if record.usable() {
			usable[record.Service] = append(usable[record.Service], *record)
		}
	}
	for _, records := range usable {
		slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
	}
	return usable
}

// Merge takes records from another census in place of one's own.
func (c *Table) Merge(records []Record) {
	c.prepare()
	for _, record := range records {
		if former := c.records[record.Name]; former != nil {
			if former.Revision >= record.Revision {
				continue
			}
			c.forget(former)
		}
		c.records[record.Name] = &record
		if record.Removed {
			c.gone++
			continue
		}
		c.holders[record.Address] = record.Name
	}
	if c.gone > mostGone {
		c.trim()
	}
}

// Snapshot returns all records, those that are gone too, in a fixed order.
func (c *Table) Snapshot() []Record {
	all := make([]Record, 0, len(c.records))
	for _, record := range c.records {
		all = append(all, *record)
	}
	slices.SortFunc(all, func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Restore replaces the table by a snapshot.
func (c *Table) Restore(records []Record) {
	*c = Table{}
	c.Merge(records)
}
