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

// Guards against an empty or truncated host list that removes servers which still answer.
func TestEmptyOrTruncatedListRemovesNoServer(t *testing.T) {
	is := is.New(t)
	l := NewServerList()
	is.Equal(len(l.Update(start, rowsOf(10))), 10)
	now := start
	for range 60 {
		now = now.Add(time.Second)
		is.Equal(len(l.Update(now, nil)), 10)
		is.Equal(len(l.Update(now, rowsOf(3))), 10)
	}
	is.Equal(len(l.Update(now.Add(keepAbsentFor), rowsOf(4))), 10)
	is.Equal(len(l.Update(now.Add(keepTruncatedFor+keepAbsentFor), rowsOf(4))), 4) // removed after keepTruncatedFor
}

// Guards against a removed server that is kept forever.
func TestRemovedServerExpires(t *testing.T) {
	is := is.New(t)
	l := NewServerList()
	l.Update(start, rowsOf(10))
	is.Equal(len(l.Update(start.Add(time.Second), rowsOf(9))), 10)
	is.Equal(len(l.Update(start.Add(keepAbsentFor+time.Second), rowsOf(9))), 9)
}

// Guards against an outdated row of a server that is listed with a new incarnation or state.
func TestNewRowReplacesTheOld(t *testing.T) {
	is := is.New(t)
	l := NewServerList()
	l.Update(start, rowsOf(1))
	next := rowsOf(1)
	next[0].Incarnation = 2
	next[0].State = metastore.StateLeaving
	is.Equal(l.Update(start.Add(time.Second), next), next)
}
