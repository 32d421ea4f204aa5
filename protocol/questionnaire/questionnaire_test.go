package questionnaire

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/primrosereach/primrosereach/coordination/derive"
)

func examples(t *testing.T, name string) []File {
	t.Helper()
	paths, err := filepath.Glob("../../examples/" + name + "/*.json")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no examples of %s: %v", name, err)
	}
	var files []File
	for _, p := range paths {
		data, err := os.ReadFile(p)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, File{p, data})
	}
	return files
}

// Guards against published examples that are rejected or leave questions open.
func TestExamplesLeaveNoQuestions(t *testing.T) {
	for _, name := range []string{"claims", "mail"} {
		a, err := Parse(examples(t, name))
		if err != nil {
			t.Fatal(err)
		}
		if r := derive.Derive(a); a.Site == nil || len(r.Questions) > 0 {
			t.Errorf("%s: site %v, questions %+v", name, a.Site, r.Questions)
		}
	}
}

// Guards against a parser that stops at the first fault or the first faulty file.
func TestAllFaultsOfAllFilesAreListed(t *testing.T) {
	_, err := Parse([]File{
		{"a", []byte(`{"form":"team","team":"A b","colour":1,"at_most":{"cores":-1},"work":[{"name":"w","matters_most":"speed","may_wait":"maybe","finished_within":"2h","usual_run_time":"400 days","try_again":-1,"parts":{}},
			{"name":"w","matters_most":"starts_at_once","must_never_happen_twice":true,"size":{"cores":0,"memory_gb":1}}]}`)},
		{"b", []byte(`{"form":"site","domains":0,"computers":[{"count":1,"small_tasks":8,"cores":4},{"count":2}]}`)},
		{"c", []byte(`{"form":"site","domains":1,"computers":[]}`)},
		{"d", []byte(`{"form":"staff"}`)},
		{"e", []byte(`{"form":`)},
		{"f", []byte(`{"form":"team","team":"x","work":[]}`)},
		{"g", []byte(`{"form":"team","team":"x","work":[{"name":"w","matters_most":"starts_at_once","must_never_happen_twice":null}]}`)},
	})
	if err == nil {
		t.Fatal("accepted")
	}
	for _, want := range []string{"a: team: ", "a: colour: ", "a: at_most.cores: ", "a: work[0].matters_most: ", "a: work[0].may_wait: ", "a: work[0].finished_within: ",
		"a: work[0].usual_run_time: ", "a: work[0].try_again: ", "a: work[0].parts.at_most: required", "a: work[0].must_never_happen_twice: required", "a: work[1].name: ", "a: work[1].size.cores: ",
		"b: domains: ", "b: computers[0]: ", "b: computers[1]: ", "c: form: ", "c: computers: ", "d: form: ", "e: not valid JSON", "f: work: ", "g: team: ", "g: work[0].must_never_happen_twice: null"} {
		if strings.Count("\n"+err.Error(), "\n"+want) != 1 {
			t.Errorf("not one line with %q", want)
		}
	}
	if t.Failed() {
		t.Log(err)
	}
}

func TestPeriods(t *testing.T) {
	for text, want := range map[string]int64{"1 second": 1000, "1.5 hours": 5_400_000, "20 milliseconds": 20, "365 days": maxPeriodMS} {
		var p period
		if err := p.UnmarshalText([]byte(text)); err != nil || int64(p) != want {
			t.Errorf("%q: %d, %v", text, p, err)
		}
	}
	for _, text := range []string{"", "5", "5 weeks", "-1 second", "0 seconds", "1 second ", "366 days", "1e3 seconds", "0.1 milliseconds", "99999999999999999999 days"} {
		var p period
		if p.UnmarshalText([]byte(text)) == nil {
			t.Errorf("%q is accepted as %d", text, p)
		}
	}
}

// Guards against a form field that has no question, or whose question the published
// schema leaves out, so that no team would answer it.
func TestSchemaShowsEveryQuestion(t *testing.T) {
	data, err := Schema()
	if err != nil || !json.Valid(data) {
		t.Fatalf("%v\n%s", err, data)
	}
	var check func(reflect.Type)
	check = func(st reflect.Type) {
		for i := range st.NumField() {
			f := st.Field(i)
			quoted, _ := json.Marshal(f.Tag.Get("doc"))
			if f.Tag.Get("doc") == "" || !strings.Contains(string(data), string(quoted)) {
				t.Errorf("%s.%s is not described in the schema", st.Name(), f.Name)
			}
			inner := f.Type
			for inner.Kind() == reflect.Pointer || inner.Kind() == reflect.Slice {
				inner = inner.Elem()
			}
			if inner.Kind() == reflect.Struct {
				check(inner)
			}
		}
	}
	check(reflect.TypeFor[teamForm]())
	check(reflect.TypeFor[siteForm]())
}
