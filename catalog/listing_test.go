package catalog

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/metastore"
)

var start = time.Date(2026, 4, 6, 8, 0, 0, 0, time.UTC)

func rowsOf(n int) []metastore.ListedHost {
	rows := make([]metastore.ListedHost, n)
	for i := range rows {
		rows[i] = metastore.ListedHost{Name: fmt.Sprint("server-", i), Kind: metastore.KindBackend, State: metastore.StateLive}
	}
	return rows
}

// For three seconds every search of sales staff is refused, though all backend
// servers answer: the platform's host list came back empty, or with a few rows
// only, and the hosts took it at its word.
func TestEmptyOrCutListTakesNobodyOff(t *testing.T) {
	is := is.New(t)
	l := NewServerList()
	is.Equal(len(l.Update(start, rowsOf(10))), 10)
	now := start
	for range 60 {
		now = now.Add(time.Second)
		is.Equal(len(l.Update(now, nil)), 10)
		is.Equal(len(l.Update(now, rowsOf(3))), 10)
	}
	is.Equal(len(l.Update(now.Add(keepAbsent), rowsOf(4))), 10)
	is.Equal(len(l.Update(now.Add(keepCutOff+keepAbsent), rowsOf(4))), 4) // believed in the end
}

func TestRemovedServerIsForgotten(t *testing.T) {
	is := is.New(t)
	l := NewServerList()
	l.Update(start, rowsOf(10))
	is.Equal(len(l.Update(start.Add(time.Second), rowsOf(9))), 10)
	is.Equal(len(l.Update(start.Add(keepAbsent+time.Second), rowsOf(9))), 9)
}

func TestNewRowReplacesTheOld(t *testing.T) {
	is := is.New(t)
	l := NewServerList()
	l.Update(start, rowsOf(1))
	next := rowsOf(1)
	next[0].Incarnation = 2
	next[0].State = metastore.StateLeaving
	is.Equal(l.Update(start.Add(time.Second), next), next)
}
