package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cranberryward/cranberryward/cranberryward/commander"
	"github.com/cranberryward/cranberryward/cranberryward/correct"
	"github.com/cranberryward/cranberryward/cranberryward/correction/list"
	"github.com/cranberryward/cranberryward/cranberryward/correction/withdraw"
	"github.com/cranberryward/cranberryward/cranberryward/explain"
	"github.com/cranberryward/cranberryward/cranberryward/local"
	logexplain "github.com/cranberryward/cranberryward/cranberryward/log/explain"
	"github.com/cranberryward/cranberryward/cranberryward/sheet/check"
	"github.com/cranberryward/cranberryward/cranberryward/sheet/diff"
	"github.com/cranberryward/cranberryward/cranberryward/sheet/history"
	"github.com/cranberryward/cranberryward/cranberryward/sheet/show"
	"github.com/cranberryward/cranberryward/cranberryward/sheet/submit"
	"github.com/cranberryward/cranberryward/cranberryward/status"
	"github.com/cranberryward/cranberryward/cranberryward/version"
	"github.com/cranberryward/cranberryward/cranberryward/where"
)

func main() {
	factory := commander.NewFactory(commander.SystemStreams(), os.LookupEnv)
	os.Exit(int(run(factory, os.Args[1:])))
}

func run(factory *commander.Factory, arguments []string) commander.ExitCode {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return commander.Run(ctx, factory, arguments,
		commander.NewParentCommand("sheet", "Check, submit and show the morning sheet",
			check.New(factory), submit.New(factory), show.New(factory), diff.New(factory), history.New(factory)),
		correct.New(factory),
		commander.NewParentCommand("correction", "List and withdraw corrections", list.New(factory), withdraw.New(factory)),
		status.New(factory),
		explain.New(factory),
		where.New(factory),
		commander.NewParentCommand("log", "Read log files of the platform's instances", logexplain.New(factory)),
		local.New(factory),
		version.New(factory),
	)
}
