package settings_test

import (
	"errors"
	"os"
	"testing"

	"github.com/hyssopwall/hyssopwall/internal/site/form"
	"github.com/hyssopwall/hyssopwall/internal/site/settings"
)

func FuzzDecode(f *testing.F) {
	raw, err := os.ReadFile("../../../examples/host.hujson")
	if err != nil {
		f.Fatal(err)
	}
	if _, err := settings.Decode("host.hujson", raw); err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte(`{"host": 1, "drain": "-1s", "x": null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := settings.Decode("fuzz", data)
		var problems *form.ProblemsError
		if err != nil && (!errors.As(err, &problems) || len(problems.Problems) == 0) {
			t.Fatalf("error without problems: %v", err)
		}
	})
}
