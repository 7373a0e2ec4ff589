package fleetapi

import (
	"reflect"
	"strings"
	"testing"
)

// Guards against two fields of a message with the same name on the wire: encoding/json leaves both out without an error.
func TestFieldNamesAreUnique(t *testing.T) {
	for _, message := range []any{WatchRequest{}, WatchResponse{}, TargetLoad{}, ModelLoad{}, LoadReport{}, LoadSummary{}, AccountLoad{}, SpeedReport{}, Speeds{}, RotationReport{}, RotationSummary{}} {
		fields := make(map[string]string)
		for _, field := range reflect.VisibleFields(reflect.TypeOf(message)) {
			name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
			if other, ok := fields[name]; ok {
				t.Errorf("%T: fields %s and %s are both named %q", message, other, field.Name, name)
			}
			fields[name] = field.Name
		}
	}
}
