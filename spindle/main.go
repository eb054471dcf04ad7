// Command spindle is the operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"os/user"
	"syscall"

	"github.com/tanagerspindle/tanagerspindle/spindle/cmds"
	"github.com/tanagerspindle/tanagerspindle/spindle/demo"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	program := cmds.Program{
		Output: os.Stdout, Errors: os.Stderr, Author: author(),
		ExtraCommands: demo.Commands(os.Stdout, os.Stderr),
	}
	return program.Main(ctx, os.Args)
}

// author names the operator to others: user@VM.
func author() string {
	name := "operator"
	if current, err := user.Current(); err == nil {
		name = current.Username
	}
	if vm, err := os.Hostname(); err == nil {
		name += "@" + vm
	}
	return name
}
