package catalog

import (
	"bytes"
	"sort"
)

// maxRemovals bounds the removals that a ChangeLog keeps. A follower that is further behind gets
// all items.
const maxRemovals = 4096

// ChangeLog holds the items of the catalog and the order of their changes, so that a follower
// gets only the changes that it is missing. It is not safe for concurrent use.
type ChangeLog struct {
	epoch       uint64
	sequence    uint64
	items       map[string]entry
	removals    map[string]uint64 // sequences of removals
	discardedTo uint64            // removals up to this sequence have been discarded
}

type entry struct {
	value    []byte
	sequence uint64
}

// NewChangeLog returns an empty log. The epoch, the host's incarnation, identifies the log.
func NewChangeLog(epoch uint64) *ChangeLog {
	return &ChangeLog{epoch: epoch, items: make(map[string]entry), removals: make(map[string]uint64)}
}

// Sequence is the number of the last change; 0: none yet.
func (l *ChangeLog) Sequence() uint64 { return l.sequence }

// Replace sets the items below a prefix to next and reports whether anything changed.
func (l *ChangeLog) Replace(prefix string, next map[string][]byte) bool {
	before := l.sequence
	for key := range l.items {
		if _, kept := next[key]; !kept && hasPrefix(key, prefix) {
			l.remove(key)
		}
	}
	for key, value := range next {
		l.put(key, value)
	}
	return l.sequence != before
}

// Apply applies a watcher's changes and reports whether anything changed.
func (l *ChangeLog) Apply(changes Changes) bool {
	if changes.Complete {
		next := make(map[string][]byte, len(changes.Items))
		for _, item := range changes.Items {
			next[item.Key] = item.Value
			if len(item.Value) == 0 {
				// Removed between two pages.
				delete(next, item.Key)
			}
		}
		return l.Replace("", next)
	}
	before := l.sequence
	for _, item := range changes.Items {
		if len(item.Value) == 0 {
			l.remove(item.Key)
			continue
		}
		l.put(item.Key, item.Value)
	}
	return l.sequence != before
}

func (l *ChangeLog) put(key string, value []byte) {
	if old, ok := l.items[key]; ok && bytes.Equal(old.value, value) {
		return
	}
	l.sequence++
	l.items[key] = entry{value: value, sequence: l.sequence}
	delete(l.removals, key)
}

func (l *ChangeLog) remove(key string) {
	if _, ok := l.items[key]; !ok {
		return
	}
	l.sequence++
	delete(l.items, key)
	l.removals[key] = l.sequence
	if len(l.removals) > maxRemovals {
		l.discardedTo = l.sequence
		clear(l.removals)
	}
}

// Item is a row of the host list or a snapshot; an empty value: removed.
type Item struct {
	Key   string
	Value []byte
}

// Changes is a page of the changes that a follower is missing.
type Changes struct {
	Epoch    uint64
	Sequence uint64 // of the last item; the next page continues from it
	Complete bool   // first page of all items; the follower discards its own
	More     bool   // there are more pages
	Items    []Item
}

// ChangesSince returns a page of about maxBytes of the changes after a sequence of this log's
// epoch, in order. A follower with another epoch, or one too far behind, gets all items.
func (l *ChangeLog) ChangesSince(epoch, sequence uint64, maxBytes int) Changes {
	changes := Changes{Epoch: l.epoch, Sequence: l.sequence}
	changes.Complete = epoch != l.epoch || sequence > l.sequence || sequence < l.discardedTo || sequence == 0
	if changes.Complete {
		sequence = 0
	}
	if sequence == l.sequence {
		return changes // the most frequent case
	}
	changed := l.changedAfter(sequence, changes.Complete)
	bytes := 0
	for i, change := range changed {
		bytes += len(change.Key) + len(change.Value)
		if bytes > maxBytes && i > 0 {
			changes.Sequence = changed[i-1].sequence
			changes.More = true
			return changes
		}
		changes.Items = append(changes.Items, change.Item)
	}
	return changes
}

type sequencedItem struct {
	Item
	sequence uint64
}

func (l *ChangeLog) changedAfter(sequence uint64, complete bool) []sequencedItem {
	var changed []sequencedItem
	for key, item := range l.items {
		if item.sequence > sequence {
			changed = append(changed, sequencedItem{Item{Key: key, Value: item.value}, item.sequence})
		}
	}
	for key, at := range l.removals {
		if at > sequence && !complete {
			changed = append(changed, sequencedItem{Item{Key: key}, at})
		}
	}
	sort.Slice(changed, func(i, j int) bool { return changed[i].sequence < changed[j].sequence })
	return changed
}

// Values returns the values below a prefix, sorted by key.
func (l *ChangeLog) Values(prefix string) [][]byte {
	var keys []string
	for key := range l.items {
		if hasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	values := make([][]byte, len(keys))
	for i, key := range keys {
		values[i] = l.items[key].value
	}
	return values
}

func hasPrefix(key, prefix string) bool {
	return len(key) >= len(prefix) && key[:len(prefix)] == prefix
}
