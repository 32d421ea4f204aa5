package state

import (
	"fmt"
	"reflect"
	"testing"
)

func teams(quotas ...int) Configuration {
	c := Configuration{Teams: map[string]TeamConfig{}}
	for i, q := range quotas {
		if q > 0 {
			c.Teams[fmt.Sprint("team-", i)] = TeamConfig{Quota: Resources{Slots: q}, Kinds: map[string]KindConfig{"k": {Class: ClassUrgent, MaxTasks: q}}}
		}
	}
	return c
}

// Guards against a computed change that does not yield exactly the new configuration:
// the configuration in force would then differ from the one that the operator submitted.
func TestChangeYieldsTheNewConfiguration(t *testing.T) {
	for _, pair := range [][2]Configuration{
		{{}, teams(1, 2)}, {teams(1, 2), teams(1, 3)}, {teams(1, 2, 3), teams(0, 2)}, {teams(1), {}}, {teams(4), teams(4)},
	} {
		got := pair[0].With(ChangeBetween(pair[0], pair[1]))
		if len(got.Teams) != len(pair[1].Teams) || len(got.Teams) > 0 && !reflect.DeepEqual(got, pair[1]) {
			t.Errorf("from %v: got %v, want %v", pair[0], got, pair[1])
		}
	}
}

// Guards against two effects of concurrent or repeated changes. Of two changes with the
// same expected version only the first is applied, and a resend gets the first answer
// and changes nothing.
func TestConfigureComparesVersionsAndIsIdempotent(t *testing.T) {
	c := NewCell()
	change := func(index uint64, id string, expected uint64, quota int) ConfigureResult {
		c.Apply(index, Command{Configure: &Configure{ChangeID: id, Actor: id, Expected: expected, Config: teams(quota)}})
		r, _ := c.Result(id)
		return r
	}
	if r := change(1, "a", 0, 1); !r.Applied || r.Version != 1 {
		t.Fatalf("first change: %+v", r)
	}
	if r := change(2, "b", 0, 2); r.Applied || r.Author != "a" {
		t.Errorf("the second of two equal versions: %+v, want a refusal that names a", r)
	}
	if r := change(3, "a", 0, 1); !r.Applied || r.Version != 1 || c.Configuration().Version != 1 {
		t.Errorf("resend: %+v, version %d", r, c.Configuration().Version)
	}
	if r := change(4, "c", 1, 3); !r.Applied || r.Version != 2 {
		t.Errorf("next version: %+v", r)
	}
	restored := RestoreCell(c.Snapshot())
	if !reflect.DeepEqual(restored.Snapshot(), c.Snapshot()) || len(restored.Audit()) != 3 {
		t.Errorf("restored state differs: %+v", restored.Snapshot())
	}
}

// Guards against a domain that reverts to an older configuration, or that applies a
// change to another base version. The configuration in force would then differ from
// the one that was reported to the operator.
func TestAdoptRejectsOlderVersionsAndOtherBases(t *testing.T) {
	d := NewDomain("a")
	adopt := func(from, to uint64, cfg Configuration) error {
		change := ChangeBetween(d.Configuration().Configuration, cfg)
		return d.Apply(to, Command{Adopt: &AdoptConfiguration{Config: VersionedConfiguration{Version: to}, Change: change, From: from}}).Rejected
	}
	if err := adopt(0, 3, teams(1, 2)); err != nil {
		t.Fatal(err)
	}
	for _, v := range [][2]uint64{{0, 2}, {3, 3}, {2, 4}} {
		if err := adopt(v[0], v[1], teams(9)); err == nil {
			t.Errorf("adopted %d against %d over 3", v[1], v[0])
		}
	}
	if d.Configuration().Version != 3 || !reflect.DeepEqual(d.Configuration().Configuration, teams(1, 2)) {
		t.Errorf("configuration %+v", d.Configuration())
	}
}
