package recordkey_test

import (
	"testing"

	"daisywheel/internal/schedule/recordkey"
)

const job = "0123456789abcdef"

// Records in logs of earlier versions, and the pool that they are of.
func TestKeysOfEarlierVersions(t *testing.T) {
	for text, want := range map[string]recordkey.Key{
		"gate/j/" + job:        {Pool: "gate", Kind: recordkey.Job, ID: job},
		"gate/n/" + job:        {Pool: "gate", Kind: recordkey.Apart, ID: job},
		"gate/m/" + job:        {Pool: "gate", Kind: recordkey.Handover, ID: job},
		"gate/p/" + job:        {Pool: "gate", Kind: recordkey.Progress, ID: job},
		"gate/v/w-12":          {Pool: "gate", Kind: recordkey.VM, ID: "w-12"},
		"gate/v/rack 1/vm%203": {Pool: "gate", Kind: recordkey.VM, ID: "rack 1/vm%203"},
		"gate/v/%20":           {Pool: "gate", Kind: recordkey.VM, ID: "%20"},
		"a/j/" + job:           {Pool: "a", Kind: recordkey.Job, ID: job},
		"a/j/j/" + job:         {Pool: "a/j", Kind: recordkey.Job, ID: job},
		"a/j/v/w-12":           {Pool: "a/j", Kind: recordkey.VM, ID: "w-12"},
		"/p/" + job:            {Pool: "", Kind: recordkey.Progress, ID: job},
		`mill "B"/j/` + job:    {Pool: `mill "B"`, Kind: recordkey.Job, ID: job},
	} {
		key, ok := recordkey.Parse(text)
		if !ok || key != want {
			t.Errorf("%q is %+v, %v, want %+v", text, key, ok, want)
		}
		if got := want.String(); got != text {
			t.Errorf("%+v has the key %q, want %q", want, got, text)
		}
	}
	for _, text := range []string{"", "gate", "gate/later/" + job, "gate/j", "j/" + job, "gate/j/b/" + job} {
		if key, ok := recordkey.Parse(text); ok {
			t.Errorf("%q is %+v, want none", text, key)
		}
	}
}

// The records of two pools, or two VMs, must not have one key, or be taken for each other's.
func FuzzKey(f *testing.F) {
	for _, names := range [][2]string{
		{"gate", "w-12"}, {"a", "j/w"}, {"a/j", "w"}, {"a", "v/w/v/x"}, {"a/v/w", "v/x"}, {"", ""}, {"/", "/"}, {"a/v/", "/v/"}, {"v", "v/"}, {"%", "%"},
		{"a", "%a%2Fv%2Fb"}, {"a", "a/v/b"}, {"a", "%25"}, {"a", "%2525"},
	} {
		f.Add(names[0], names[1])
	}
	f.Fuzz(func(t *testing.T, pool, vm string) {
		for _, key := range []recordkey.Key{
			{Pool: pool, Kind: recordkey.VM, ID: vm}, {Pool: pool, Kind: recordkey.Job, ID: job}, {Pool: pool, Kind: recordkey.Progress, ID: job},
		} {
			if got, ok := recordkey.Parse(key.String()); !ok || got != key {
				t.Errorf("%+v has the key %q, which is read as %+v, %v", key, key.String(), got, ok)
			}
		}
	})
}
