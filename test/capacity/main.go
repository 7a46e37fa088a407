// Command capacity measures the slopes that docs/CAPACITY.md works from. With
// -check it compares counts and bytes with the page and fails when one is off.
package main

import (
	"flag"
	"fmt"
	"os"
	"regexp"
	"strconv"
)

// tolerance is how far a measured count or size may be from the page.
const tolerance = 0.25

// figure is one measured line. Times are printed but never compared.
type figure struct {
	name   string
	value  float64
	unit   string
	isTime bool
}

func main() {
	page := flag.String("check", "", "page whose figures are compared")
	isTarget := flag.Bool("target", false, "only measure one entry in fleets up to the target size")
	flag.Parse()
	run := measure
	if *isTarget {
		run = measureTarget
	}
	figures, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
	fmt.Println("| figure | measured | unit |")
	fmt.Println("|---|---|---|")
	for _, fig := range figures {
		fmt.Printf("| %s | %.4g | %s |\n", fig.name, fig.value, fig.unit)
	}
	if *page == "" {
		return
	}
	if !check(*page, figures) {
		os.Exit(1)
	}
}

func measure() ([]figure, error) {
	figures, err := measureRecords()
	if err != nil {
		return nil, err
	}
	state, err := measureState()
	if err != nil {
		return nil, err
	}
	figures = append(figures, state...)
	traffic, err := measureTraffic()
	if err != nil {
		return nil, err
	}
	figures = append(figures, traffic...)
	target, err := measureTarget()
	return append(figures, target...), err
}

// check compares the figures with the lines of the page that have their names.
func check(path string, figures []figure) bool {
	text, err := os.ReadFile(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		return false
	}
	isMatching := true
	for _, fig := range figures {
		line := regexp.MustCompile(`(?m)^\| ` + regexp.QuoteMeta(fig.name) + ` \| ([0-9.e+]+) \|`)
		found := line.FindSubmatch(text)
		if found == nil {
			fmt.Fprintf(os.Stderr, "capacity: the page has no line %q\n", fig.name)
			isMatching = false
			continue
		}
		want, err := strconv.ParseFloat(string(found[1]), 64)
		isOutside := err != nil || fig.value > want*(1+tolerance) || fig.value < want*(1-tolerance)
		if isOutside && !fig.isTime {
			fmt.Fprintf(os.Stderr, "capacity: %s is %.4g, the page says %s\n", fig.name, fig.value, found[1])
			isMatching = false
		}
	}
	return isMatching
}
