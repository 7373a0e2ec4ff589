package pace_test

import "testing"

func TestTrace(t *testing.T) {
	for i := range scenarios {
		if s := &scenarios[i]; s.name == "freeze" {
			for _, p := range []bool{false, true} {
				r := newReplay(s.kind, p, 300, s.targets, 1)
				r.trace = true
				s.playOn(r)
				for _, w := range r.windows {
					t.Log(w)
				}
				t.Logf("%+v", r.result)
			}
		}
	}
}
