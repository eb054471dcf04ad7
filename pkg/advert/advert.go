// Package advert maintains the table of endpoints that announce themselves. Its
// rules are deterministic: all holders that apply the same announcements have the
// same table.
//
// Announcements may arrive late, twice and out of order. They may come from
// processes that have ended since, and for addresses that other processes now use.
package advert

import (
	"cmp"
	"slices"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// KindField means that a record has an invalid field.
const KindField Kind = "invalid field"

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// maxNameBytes is the maximum length of an endpoint's name, in bytes.
	maxNameBytes = 256
	// maxRemoved bounds the number of tombstones, which are the records of removed
	// endpoints. When it is exceeded, the older half is dropped. Announcements
	// arrive at most seconds late, and a fleet replaces far fewer endpoints than
	// this in that time.
	maxRemoved = 4096
	// maxDeferred bounds the announcements for services that are not configured. Those
	// beyond it have no effect; endpoints repeat theirs.
	maxDeferred = 1024
)

// Table is the table of endpoints by name. The zero value is an empty table. A
// Table is not safe for concurrent use.
type Table struct {
	// Configured reports whether a service is configured; nil means that all are. An
	// announcement for any other service is deferred until it is: it may come from
	// another writer, so it neither replaces an endpoint nor takes its address.
	Configured func(service string) bool

	records map[string]*Record
	// deferred are the announcements for services that are not configured, by name.
	deferred map[string]*Record
	// nameByAddress maps each address to the name of the endpoint that uses it.
	nameByAddress map[string]string
	removedCount  int
}

// Accepts reports whether an announcement would change the table or be deferred. It would
// not if it is outdated, repeats the known state, or is for an address that a process with
// a later start time uses.
func (t *Table) Accepts(report *Record) bool {
	if t.Defers(report) {
		return t.acceptsDeferred(report)
	}
	known := t.records[report.Name]
	if known != nil && !t.isNewer(report, known) {
		return false
	}
	if known != nil && !known.Removed && known.sameContent(report) {
		return false
	}
	holder := t.records[t.nameByAddress[report.Address]]
	return holder == nil || holder.Name == report.Name || !t.isConfigured(holder.Service) || report.StartedMillis >= holder.StartedMillis
}

func (t *Table) isConfigured(service string) bool {
	return t.Configured == nil || t.Configured(service)
}

// Defers reports whether an announcement waits for its service to be configured. That of
// a process which was accepted before its service was taken out of the configuration does not.
func (t *Table) Defers(report *Record) bool {
	if t.isConfigured(report.Service) {
		return false
	}
	known := t.records[report.Name]
	return known == nil || known.Removed || known.Service != report.Service || known.StartedMillis != report.StartedMillis
}

// acceptsDeferred reports whether a deferred announcement is new.
func (t *Table) acceptsDeferred(report *Record) bool {
	known := t.deferred[report.Name]
	if known == nil {
		return len(t.deferred) < maxDeferred
	}
	return compareAge(report, known) > 0 && !known.sameContent(report)
}

// compareAge orders the announcements of one name by their process and sequence.
func compareAge(a, b *Record) int {
	return cmp.Or(cmp.Compare(a.StartedMillis, b.StartedMillis), cmp.Compare(a.Seq, b.Seq))
}

// isNewer reports whether an announcement is newer than the known record of the
// same name. A process that has been removed stays removed, unless it was removed
// for an endpoint whose service is not configured; a new process under the same name
// has a later start time.
func (t *Table) isNewer(report, known *Record) bool {
	if t.isConfigured(report.Service) && !t.isConfigured(known.Service) {
		return true
	}
	if report.StartedMillis != known.StartedMillis {
		return report.StartedMillis > known.StartedMillis
	}
	if known.Removed {
		holder := t.records[t.nameByAddress[known.Address]]
		return report.Seq > known.Seq && holder != nil && !t.isConfigured(holder.Service)
	}
	return report.Seq > known.Seq
}

// Apply applies an announcement at the given revision and reports whether it
// changed the endpoints. An endpoint that used the announced address before is marked
// as removed.
func (t *Table) Apply(report Record, revision uint64) bool {
	if !t.Accepts(&report) {
		return false
	}
	t.ensureMaps()
	if t.Defers(&report) {
		report.Removed, report.Revision = false, 0
		t.deferred[report.Name] = &report
		return false
	}
	if holder := t.records[t.nameByAddress[report.Address]]; holder != nil && holder.Name != report.Name {
		t.markRemoved(holder, revision)
	}
	former := t.records[report.Name]
	report.inheritSoftware(former, revision)
	if former != nil {
		t.deleteRecord(former)
	}
	report.Removed, report.Revision = false, revision
	t.records[report.Name] = &report
	t.nameByAddress[report.Address] = report.Name
	return true
}

// Remove marks an endpoint as removed and reports whether that changed the table.
// started is the start time of the process that has ended, in Unix milliseconds, or
// 0 if it is unknown; a process that started later is not removed.
func (t *Table) Remove(name string, started int64, revision uint64) bool {
	if waiting := t.deferred[name]; waiting != nil && (started == 0 || started >= waiting.StartedMillis) {
		delete(t.deferred, name)
	}
	known := t.records[name]
	if known == nil || known.Removed || (started != 0 && started < known.StartedMillis) {
		return false
	}
	t.markRemoved(known, revision)
	return true
}

// markRemoved replaces a record by a tombstone. The record is copied because
// callers may hold a pointer to it.
func (t *Table) markRemoved(known *Record, revision uint64) {
	next := *known
	next.Removed, next.Revision = true, revision
	t.records[known.Name] = &next
	if t.nameByAddress[known.Address] == known.Name {
		delete(t.nameByAddress, known.Address)
	}
	t.removedCount++
	if t.removedCount > maxRemoved {
		t.trimRemoved()
	}
}

// deleteRecord deletes a record from the table and its indexes.
func (t *Table) deleteRecord(former *Record) {
	if former.Removed {
		t.removedCount--
	}
	if t.nameByAddress[former.Address] == former.Name {
		delete(t.nameByAddress, former.Address)
	}
	delete(t.records, former.Name)
}

// trimRemoved drops the older half of the tombstones.
func (t *Table) trimRemoved() {
	var tombstones []*Record
	for _, record := range t.records {
		if record.Removed {
			tombstones = append(tombstones, record)
		}
	}
	slices.SortFunc(tombstones, func(a, b *Record) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, record := range tombstones[:len(tombstones)/2] {
		t.deleteRecord(record)
	}
}

// ensureMaps allocates the maps of a zero Table.
func (t *Table) ensureMaps() {
	if t.records == nil {
		t.records, t.deferred, t.nameByAddress = map[string]*Record{}, map[string]*Record{}, map[string]string{}
	}
}

// ApplyDeferred applies the deferred announcements whose services are configured now, from the
// given revision on, and returns the revision after the last change.
func (t *Table) ApplyDeferred(revision uint64) uint64 {
	var due []*Record
	for _, record := range t.deferred {
		if t.isConfigured(record.Service) {
			due = append(due, record)
		}
	}
	slices.SortFunc(due, func(a, b *Record) int { return cmp.Or(compareAge(a, b), cmp.Compare(a.Name, b.Name)) })
	for _, record := range due {
		delete(t.deferred, record.Name)
		if t.Apply(*record, revision+1) {
			revision++
		}
	}
	return revision
}

// Deferred returns the deferred announcements, sorted by name.
func (t *Table) Deferred() []Record { return sortedByName(t.deferred) }

// ChangedSince returns the records that changed after a revision, ordered by
// revision. For revision 0 it omits tombstones, because a holder of an empty table
// has nothing to remove.
func (t *Table) ChangedSince(revision uint64) []Record {
	var changed []Record
	for _, record := range t.records {
		if record.Revision > revision && (revision > 0 || !record.Removed) {
			changed = append(changed, *record)
		}
	}
	slices.SortFunc(changed, compareRevisions)
	return changed
}

// RemovedSoftware returns the tombstones with a revision above after that show which software
// versions may have begun streams: the newest one of each version of a service, and all under
// whose names several versions were announced. They are ordered by revision.
func (t *Table) RemovedSoftware(after uint64) []Record {
	newest := map[[2]string]Record{}
	var removed []Record
	for _, record := range t.records {
		if !record.Removed || record.Revision <= after {
			continue
		}
		if len(record.FormerSoftware) > 0 {
			removed = append(removed, *record)
			continue
		}
		key := [2]string{record.Service, record.SoftwareVersion}
		if known, ok := newest[key]; !ok || record.Revision > known.Revision {
			newest[key] = *record
		}
	}
	for _, record := range newest {
		removed = append(removed, record)
	}
	slices.SortFunc(removed, compareRevisions)
	return removed
}

// compareRevisions orders records by revision, then by name.
func compareRevisions(a, b Record) int {
	return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Name, b.Name))
}

// Get returns the record of an endpoint, which may be a tombstone.
func (t *Table) Get(name string) (Record, bool) {
	record, ok := t.records[name]
	if !ok {
		return Record{}, false
	}
	return *record, true
}

// Available returns the endpoints that accept new requests by service, sorted by name.
func (t *Table) Available() map[string][]Record {
	available := map[string][]Record{}
	for _, record := range t.records {
		if record.available() {
			available[record.Service] = append(available[record.Service], *record)
		}
	}
	for _, records := range available {
		slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
	}
	return available
}

// Merge takes in records of another table that have a newer revision than those held.
func (t *Table) Merge(records []Record) {
	t.ensureMaps()
	for _, record := range records {
		if former := t.records[record.Name]; former != nil {
			if former.Revision >= record.Revision {
				continue
			}
			t.deleteRecord(former)
		}
		t.records[record.Name] = &record
		if record.Removed {
			t.removedCount++
			continue
		}
		t.nameByAddress[record.Address] = record.Name
	}
	if t.removedCount > maxRemoved {
		t.trimRemoved()
	}
}

// Snapshot returns all records, including tombstones, sorted by name.
func (t *Table) Snapshot() []Record { return sortedByName(t.records) }

func sortedByName(records map[string]*Record) []Record {
	all := make([]Record, 0, len(records))
	for _, record := range records {
		all = append(all, *record)
	}
	slices.SortFunc(all, func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Restore replaces the table's content by that of a snapshot, Snapshot's records and those of
// Deferred.
func (t *Table) Restore(records, deferred []Record) {
	*t = Table{Configured: t.Configured}
	t.Merge(records)
	for _, record := range deferred {
		t.deferred[record.Name] = &record
	}
}
