package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 2 {
		os.Exit(2)
	}
	defer func() {
		if r := recover(); r != nil {
			fmt.Println(r)
			os.Exit(2)
		}
	}()
	cases[os.Args[1]]()
	os.Exit(exitCode)
}

var cases = map[string]func(){}
