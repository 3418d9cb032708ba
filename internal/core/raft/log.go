package raft

import "github.com/juju/errors"

// configurationAt is a configuration and the index of its log entry.
type configurationAt struct {
	index uint64
	conf  Configuration
}

// memoryLog holds the entries after baseIndex. A configuration takes effect when it is appended.
type memoryLog struct {
	baseIndex, baseTerm uint64
	entries             []Entry
	confs               []configurationAt // by ascending index; the first is in effect at baseIndex
}

func newMemoryLog(snap *Snapshot) *memoryLog {
	l := &memoryLog{}
	if snap == nil {
		l.confs = []configurationAt{{}}
		return l
	}
	l.baseIndex, l.baseTerm = snap.Index, snap.Term
	l.confs = []configurationAt{{index: snap.Index, conf: snap.Configuration}}
	return l
}

func (l *memoryLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *memoryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index, or false if the log does not hold that entry.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.last():
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *memoryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// configuration returns the latest configuration and its index.
func (l *memoryLog) configuration() configurationAt { return l.confs[len(l.confs)-1] }

// configurationBefore returns the configuration in effect at index, and the index of its entry.
func (l *memoryLog) configurationBefore(index uint64) configurationAt {
	for i := len(l.confs) - 1; i > 0; i-- {
		if l.confs[i].index <= index {
			return l.confs[i]
		}
	}
	return l.confs[0]
}

func (l *memoryLog) append(e Entry) error {
	if e.Index != l.last()+1 {
		return errors.NotValidf("entry %d after entry %d", e.Index, l.last())
	}
	if e.Kind == EntryConfiguration {
		conf, err := decodeConfiguration(e.Data)
		if err != nil {
			return errors.Annotatef(err, "entry %d", e.Index)
		}
		l.confs = append(l.confs, configurationAt{index: e.Index, conf: conf})
	}
	l.entries = append(l.entries, e)
	return nil
}

// truncate drops the entries from index on.
func (l *memoryLog) truncate(index uint64) {
	if index > l.last() {
		return
	}
	l.entries = l.entries[: index-l.baseIndex-1 : index-l.baseIndex-1]
	for len(l.confs) > 1 && l.confs[len(l.confs)-1].index >= index {
		l.confs = l.confs[:len(l.confs)-1]
	}
}

// slice returns the entries from first to last, both inclusive, limited to maxBytes of data but at least one entry.
func (l *memoryLog) slice(first, last uint64, maxBytes int) []Entry {
	if first <= l.baseIndex || first > last || first > l.last() {
		return nil
	}
	from := int(first - l.baseIndex - 1)
	to := from
	size := 0
	for to < len(l.entries) && l.entries[to].Index <= last {
		size += len(l.entries[to].Data)
		if size > maxBytes && to > from {
			break
		}
		to++
	}
	return l.entries[from:to:to]
}

// compact drops the entries up to and including index.
func (l *memoryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index == l.baseIndex {
		return
	}
	kept := append([]Entry(nil), l.entries[index-l.baseIndex:]...)
	confs := []configurationAt{l.configurationBefore(index)} // keeps its index, since the configuration does not change
	for _, c := range l.confs {
		if c.index > index {
			confs = append(confs, c)
		}
	}
	l.baseIndex, l.baseTerm, l.entries, l.confs = index, term, kept, confs
}

// lastPossibleMatch returns the last index up to limit whose term is at most term. It is the last index at which the log
// may match a log that holds an entry of that term at limit.
func (l *memoryLog) lastPossibleMatch(limit, term uint64) uint64 {
	index := min(limit, l.last())
	for index > l.baseIndex {
		t, _ := l.term(index)
		if t <= term {
			break
		}
		index--
	}
	return index
}
