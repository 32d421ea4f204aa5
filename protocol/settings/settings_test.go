package settings

import (
	"strings"
	"testing"
)

const valid = `{"name":"a1","domain":"north","listen":"127.0.0.1:7400","peer_listen":"127.0.0.1:7401","data_dir":"/var/lib/p",
"peers":[{"name":"a1","domain":"north","address":"127.0.0.1:7401","public_address":"127.0.0.1:7400","disk":true},
{"name":"b1","domain":"south","address":"127.0.0.2:7401","public_address":"127.0.0.2:7400","disk":false}],"insecure":true}`

func TestDefaultsAreFilledIn(t *testing.T) {
	s, err := Parse([]byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	want := Limits{DefaultMaxBodyBytes, DefaultMaxConnections, DefaultRequestTimeoutMS, DefaultShutdownTimeoutMS}
	if s.Advertise != s.Listen || s.PeerAdvertise != s.PeerListen || s.LogLevel != "info" || s.Limits != want || !s.Self().Disk {
		t.Fatalf("settings after defaults: %+v", s)
	}
}

// Guards against a check that stops at the first fault, after which an operator would
// have to restart the process once for each of them.
func TestAllFaultsAreListedAtOnce(t *testing.T) {
	_, err := Parse([]byte(`{"name":"A 1","domain":"no.rth","colour":"red","listen":"0.0.0.0:7400","peer_listen":"localhost:7401","data_dir":"here",
"peers":[{"name":"b1","domain":"south","address":"10.0.0.1:1","public_address":"10.0.0.1:1"},{"name":"b1","domain":7,"address":"0.0.0.0:1","public_address":"10.0.0.3:0"}],
"limits":{"max_connections":0,"max_body_bytes":"big","request_timeout_ms":1.5},"log_level":"loud","tls":{"cert_file":"x"}}`))
	if err == nil {
		t.Fatal("accepted")
	}
	got := err.Error()
	for _, path := range []string{"name", "domain", "colour", "peer_listen", "advertise", "data_dir", "peers", "peers[0].public_address",
		"peers[1].name", "peers[1].domain", "peers[1].address", "peers[1].public_address", "limits.max_connections", "limits.max_body_bytes",
		"limits.request_timeout_ms", "log_level", "tls.key_file", "tokens"} {
		if n := strings.Count("\n"+got, "\n"+path+": "); n != 1 {
			t.Errorf("%d lines name %s", n, path)
		}
	}
	if t.Failed() {
		t.Log(got)
	}
}

func TestRefusedSettings(t *testing.T) {
	for name, c := range map[string]struct{ old, new, want string }{
		"not JSON":              {`"domain":"north",`, `"domain":`, "line 1, column"},
		"text after the end":    {`"insecure":true}`, `"insecure":true} x`, "after the document"},
		"field given twice":     {`"insecure":true`, `"insecure":true,"insecure":true`, "insecure: appears more than once"},
		"null":                  {`"insecure":true`, `"insecure":true,"tls":null`, "tls: null is not allowed"},
		"no credentials":        {`,"insecure":true`, ``, "tokens: required"},
		"credentials both ways": {`"insecure":true`, `"insecure":true,"tokens":{"callers_file":"a","operators_file":"a","endpoints_file":"a","peer_file":"a"}`, "insecure: contradicts"},
		"self in other domain":  {`"domain":"north","listen"`, `"domain":"south","listen"`, "peers[0].domain"},
		"self with no disk":     {`"data_dir":"/var/lib/p",`, ``, "peers[0].disk"},
		"self missing":          {`{"name":"a1","domain":"north","listen"`, `{"name":"c1","domain":"north","listen"`, `no entry is named "c1"`},
		"list instead of text":  {`"listen":"127.0.0.1:7400"`, `"listen":[1]`, "listen: want a string, got a list"},
	} {
		t.Run(name, func(t *testing.T) {
			changed := strings.Replace(valid, c.old, c.new, 1)
			if changed == valid {
				t.Fatal("the case changes nothing")
			}
			_, err := Parse([]byte(changed))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("error %v, want %q", err, c.want)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"peers":[{"name":[[[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := Parse(data); (s == nil) == (err == nil) {
			t.Fatalf("settings %v, error %v", s, err)
		}
	})
}
