package maintenance

import (
	"reflect"
	"testing"
	"time"
)

// Every key of a plan is read into its field. Operators keep files with these keys, so none may be renamed.
func TestEveryPlanKeyIsRead(t *testing.T) {
	const common = `
reserve = 0.25
bears = 120.5
in_time = 0.75
longest = "2h"
back = "started"
cut_off = "awaited"
[out]
fleet = "10%"
zone = 2
cell = "3"
`
	for selector, want := range map[string]Plan{
		`machines = ["s-1", "s-2"]`: {Machines: []string{"s-1", "s-2"}},
		`cells = [3, 4]`:            {Cells: []int{3, 4}},
		`zones = ["b", "c"]`:        {Zones: []string{"b", "c"}},
		`all = true`:                {All: true},
	} {
		want.Reserve, want.CapacityPerMachine, want.InTime, want.MaxDuration = 0.25, 120.5, 0.75, Duration(2*time.Hour)
		want.DoneWhen, want.CutOff = "started", "awaited"
		want.Out = Bounds{Fleet: &Bound{Percent: 10}, Zone: &Bound{Count: 2}, Cell: &Bound{Count: 3}}
		got, err := Parse([]byte(selector + common))
		if err != nil {
			t.Errorf("parsing a plan with %s: %v", selector, err)
			continue
		}
		if !reflect.DeepEqual(*got, want) {
			t.Errorf("plan with %s was read as %+v, want %+v", selector, *got, want)
		}
	}
}
