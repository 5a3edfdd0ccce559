package jpplacement_test

import (
	"fmt"

	"jacinthpass/core/jpplacement"
)

type loads []float64

func (ld loads) Len() int { return len(ld) }

func (ld loads) Load(ix int) (float64, bool) { return ld[ix], ld[ix] < 10 }

func ExampleSelect() {
	all, three := jpplacement.Policy{}, jpplacement.Policy{Samples: 3}
	servers := loads{3, 12, 2, 5, 4, 6}
	fmt.Println(jpplacement.Select(all, servers, 0))
	fmt.Println(jpplacement.Select(three, servers, 0xc0ffee))
	fmt.Println(jpplacement.Select(all, loads{11, 12}, 0))
	// Output:
	// 2 true
	// 2 true
	// -1 false
}
