package catalog

import (
	"bytes"
	"sort"
)

// maxGone bounds the removed keys that a Log remembers. A follower that is
// further behind gets everything.
const maxGone = 4096

// Log holds the items of the catalogue and in which order they changed, so that
// a follower gets only what it lacks. It is pure; its owner serialises calls.
//
// Load: 21,000 backend servers of which some restart each minute. Harm
// prevented: the whole list is over a megabyte, and 3,400 hosts may spend 3 KB
// a second on all control traffic.
type Log struct {
	epoch    uint64
	sequence uint64
	items    map[string]entry
	gone     map[string]uint64 // sequence of the removal
	forgot   uint64            // removals up to this sequence are forgotten
}

type entry struct {
	value    []byte
	sequence uint64
}

// NewLog makes an empty log. The epoch tells it from every other log: the
// host's incarnation.
func NewLog(epoch uint64) *Log {
	return &Log{epoch: epoch, items: make(map[string]entry), gone: make(map[string]uint64)}
}

// Sequence numbers the last change; 0: none yet.
func (l *Log) Sequence() uint64 { return l.sequence }

// Replace makes the items below a prefix equal to next and reports whether
// anything changed.
func (l *Log) Replace(prefix string, next map[string][]byte) bool {
	before := l.sequence
	for key := range l.items {
		if _, stays := next[key]; !stays && hasPrefix(key, prefix) {
			l.remove(key)
		}
	}
	for key, value := range next {
		l.put(key, value)
	}
	return l.sequence != before
}

// Apply takes in a reply's items and reports whether anything changed.
func (l *Log) Apply(changes Changes) bool {
	if changes.Whole {
		next := make(map[string][]byte, len(changes.Items))
		for _, item := range changes.Items {
			next[item.Key] = item.Value
			if len(item.Value) == 0 {
				// Removed while the pieces were fetched.
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

func (l *Log) put(key string, value []byte) {
	if old, ok := l.items[key]; ok && bytes.Equal(old.value, value) {
		return
	}
	l.sequence++
	l.items[key] = entry{value: value, sequence: l.sequence}
	delete(l.gone, key)
}

func (l *Log) remove(key string) {
	if _, ok := l.items[key]; !ok {
		return
	}
	l.sequence++
	delete(l.items, key)
	l.gone[key] = l.sequence
	if len(l.gone) > maxGone {
		l.forgot = l.sequence
		clear(l.gone)
	}
}

// Item is one row of the host list or one snapshot; an empty value: removed.
type Item struct {
	Key   string
	Value []byte
}

// Changes is what a follower lacks, or the first piece of it.
type Changes struct {
	Epoch    uint64
	Sequence uint64 // of the last item; the next piece continues from it
	Whole    bool   // the follower drops what it had
	More     bool   // there are more pieces
	Items    []Item
}

// Since lists what changed after a sequence of this log's epoch, in the order
// of the changes, about mostBytes of it. A follower of another epoch, or one
// too far behind, gets everything from the start.
func (l *Log) Since(epoch, sequence uint64, mostBytes int) Changes {
	c := Changes{Epoch: l.epoch, Sequence: l.sequence}
	c.Whole = epoch != l.epoch || sequence > l.sequence || sequence < l.forgot || sequence == 0
	if c.Whole {
		sequence = 0
	}
	if sequence == l.sequence {
		return c // by far the most frequent question
	}
	changed := l.changedAfter(sequence, c.Whole)
	bytes := 0
	for i, at := range changed {
		bytes += len(at.Key) + len(at.Value)
		if bytes > mostBytes && i > 0 {
			c.Sequence = changed[i-1].sequence
			c.More = true
			return c
		}
		c.Items = append(c.Items, at.Item)
	}
	return c
}

type sequenced struct {
	Item
	sequence uint64
}

func (l *Log) changedAfter(sequence uint64, whole bool) []sequenced {
	var changed []sequenced
	for key, item := range l.items {
		if item.sequence > sequence {
			changed = append(changed, sequenced{Item{Key: key, Value: item.value}, item.sequence})
		}
	}
	for key, at := range l.gone {
		if at > sequence && !whole {
			changed = append(changed, sequenced{Item{Key: key}, at})
		}
	}
	sort.Slice(changed, func(i, j int) bool { return changed[i].sequence < changed[j].sequence })
	return changed
}

// Below lists the values below a prefix in the order of their keys.
func (l *Log) Below(prefix string) [][]byte {
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
