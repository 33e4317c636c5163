package draining

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/goldcrestspan/goldcrestspan/metastore"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func listed(name string, incarnation uint64, state metastore.HostState) metastore.ListedHost {
	return metastore.ListedHost{Name: name, Kind: metastore.KindBackend, Incarnation: incarnation, State: state}
}

// Guards against an outdated host list or a late reply that brings a leaving server back.
func TestLeavingServerStaysOutUntilItRestarts(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.Observe(start, "s", 1, SignalServing)
	is.True(table.Allowed("s"))
	is.True(table.Observe(start, "s", 1, SignalDraining)) // to be reported to other hosts
	is.True(!table.Allowed("s"))
	table.ApplyHostList(start.Add(time.Second), []metastore.ListedHost{listed("s", 1, metastore.StateLive)})
	table.Observe(start.Add(2*time.Second), "s", 1, SignalServing)
	is.True(!table.Allowed("s"))
	is.True(!table.Observe(start, "s", 1, SignalRefused)) // already known
	table.Observe(start.Add(time.Minute), "s", 2, SignalServing)
	is.True(table.Allowed("s"))
	is.True(!table.AllowedInstance(Instance{"s", 1}))
}

// Guards against a late report of an old incarnation that excludes the new one.
func TestLateNewsOfAnOldIncarnationKeepsTheNewOne(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.Observe(start, "s", 2, SignalServing)
	is.True(table.MarkLeft(start, Instance{"s", 1}))
	is.True(table.Allowed("s"))
}

// Guards against an empty or incomplete host list that excludes servers.
func TestEmptyHostListTakesNoServerOut(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.ApplyHostList(start, []metastore.ListedHost{listed("s", 1, metastore.StateLive), listed("t", 1, metastore.StateLive)})
	table.ApplyHostList(start, nil)
	is.True(table.Allowed("s"))
	leaving := []metastore.ListedHost{listed("s", 1, metastore.StateLeaving)}
	is.Equal(table.ApplyHostList(start, leaving), []Instance{{"s", 1}})
	is.Equal(len(table.ApplyHostList(start, leaving)), 0)
	is.True(!table.Allowed("s"))
	is.True(table.Allowed("t"))
	is.Equal(table.LeavingCount(), 1)
}

// Checks, for any order of signals, lists and reports with duplicates, that exactly the departed
// instances are refused.
func TestOnlyANewIncarnationBringsAServerBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		left := make(map[uint64]bool)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			incarnation := rapid.Uint64Range(1, 4).Draw(t, "incarnation")
			switch rapid.IntRange(0, 4).Draw(t, "source") {
			case 0:
				table.Observe(start, "s", incarnation, SignalServing)
			case 1:
				table.ApplyHostList(start, []metastore.ListedHost{listed("s", incarnation, metastore.StateLive)})
			case 2:
				table.Observe(start, "s", incarnation, SignalDraining)
				left[incarnation] = true
			case 3:
				table.ApplyHostList(start, []metastore.ListedHost{listed("s", incarnation, metastore.StateLeaving)})
				left[incarnation] = true
			case 4:
				table.MarkLeft(start, Instance{"s", incarnation})
				left[incarnation] = true
			}
			for i := uint64(1); i <= 4; i++ {
				if table.AllowedInstance(Instance{"s", i}) == left[i] {
					t.Fatalf("incarnation %d: left %v", i, left[i])
				}
			}
		}
	})
}

// Guards against memory that grows with each restart of a server.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	for i := range uint64(1000) {
		table.MarkLeft(start, Instance{"s", i + 1})
	}
	is.Equal(table.departed, maxDepartedPerServer)
	table.ApplyHostList(start.Add(retention+time.Hour), nil)
	is.Equal(len(table.servers), 0)
	is.Equal(table.departed, 0)
}
