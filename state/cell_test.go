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

// A change that does not lead exactly to the new configuration would put
// something in force that no operator wrote.
func TestChangeLeadsToTheNewConfiguration(t *testing.T) {
	for _, pair := range [][2]Configuration{
		{{}, teams(1, 2)}, {teams(1, 2), teams(1, 3)}, {teams(1, 2, 3), teams(0, 2)}, {teams(1), {}}, {teams(4), teams(4)},
	} {
		got := pair[0].With(ChangeBetween(pair[0], pair[1]))
		if len(got.Teams) != len(pair[1].Teams) || len(got.Teams) > 0 && !reflect.DeepEqual(got, pair[1]) {
			t.Errorf("from %v: got %v, want %v", pair[0], got, pair[1])
		}
	}
}

// Operators race with equal versions and resend: exactly one change of two may
// win, and a resend must get the first answer without a second effect.
func TestConfigureComparesAndRemembers(t *testing.T) {
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

// A domain that reverts to an older configuration, or applies a change to another
// base, breaks what operators were told.
func TestAdoptNeverReverts(t *testing.T) {
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
