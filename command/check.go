package command

import (
	"fmt"
	"os"

	"fescuehall/platform"
	"fescuehall/schema"
	"fescuehall/service"
	"fescuehall/setting"
)

func init() {
	register("check", "Check settings and configuration files without starting anything.", &check{})
}

type check struct {
	Settings      []string `type:"existingfile" help:"Settings files of entry hosts."`
	Configuration []string `type:"existingfile" help:"Configuration files."`
	Platform      []string `type:"existingfile" help:"Settings files in the platform's format."`
}

// Run prints all problems of all files.
func (check *check) Run() error {
	if len(check.Settings)+len(check.Configuration)+len(check.Platform) == 0 {
		return &ExitError{Code: ExitUsage, Detail: "give --settings, --configuration or --platform"}
	}
	problemCount := 0
	for _, file := range check.Settings {
		problemCount += reportProblems(file, func(content []byte) []schema.Problem {
			_, problems := setting.Parse(content)
			return problems
		})
	}
	for _, file := range check.Configuration {
		problemCount += reportProblems(file, func(content []byte) []schema.Problem {
			_, problems := service.Parse(content)
			return problems
		})
	}
	for _, file := range check.Platform {
		if _, err := platform.LoadSettings(file); err != nil {
			fmt.Println(err)
			problemCount++
			continue
		}
		fmt.Printf("%s: good\n", file)
	}
	if problemCount > 0 {
		return &ExitError{Code: ExitRefused, Detail: fmt.Sprintf("%d problems", problemCount)}
	}
	return nil
}

func reportProblems(file string, parse func([]byte) []schema.Problem) int {
	content, err := os.ReadFile(file)
	if err != nil {
		fmt.Printf("%s: %v\n", file, err)
		return 1
	}
	problems := parse(content)
	for _, problem := range problems {
		fmt.Printf("%s: %s\n", file, problem)
	}
	if len(problems) == 0 {
		fmt.Printf("%s: good\n", file)
	}
	return len(problems)
}
