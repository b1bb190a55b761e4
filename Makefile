# Targets for building, testing and measuring fescuehall.

GO ?= go

all: build

build:
	$(GO) build -o bin/fescuehall .
	$(GO) build -o bin/standin ./cmd/standin

# On arm64 the race detector itself has crashed in the tests of these packages.
ifeq ($(shell $(GO) env GOARCH),arm64)
WITHOUT_RACE = fescuehall/platform
endif

# Runs the tests in KNOWN-RED.txt apart and passes over their results.
test:
	GO="$(GO)" bash script/known-red
	$(GO) test -race -count=1 $(shell bash script/known-red --skip) $(filter-out $(WITHOUT_RACE),$(shell $(GO) list ./...))
ifdef WITHOUT_RACE
	$(GO) test -count=1 $(shell bash script/known-red --skip) $(WITHOUT_RACE)
endif

# Checks formatting, vet, linters and generated code.
check: format vet lint generated

format:
	@files=$$(gofmt -l $$(git ls-files '*.go')); test -z "$$files" || { echo "not formatted: $$files"; exit 1; }

vet:
	$(GO) vet ./...

lint:
	$(GO) tool staticcheck ./...
	$(GO) tool revive -config revive.toml -formatter plain -exclude ./message/message_gen.go ./...

generate:
	$(GO) generate ./...

# Fails when the committed code differs from what the schemas generate.
generated: generate
	git diff --exit-code -- '*/wire.go' message service/configuration.go setting/settings.go

demo: build
	bash script/demo

clean:
	rm -rf bin

.PHONY: all build test check format vet lint generate generated demo clean

# Measures every design decision against its baselines and writes the tables.
bench: build
	cp docs/measurements-head.md docs/MEASUREMENTS.md
	./bin/fescuehall experiment --out docs/MEASUREMENTS.md

# Measures how costs grow with size and computes docs/CAPACITY.md.
capacity: build
	./bin/fescuehall capacity --measure

# Kills, freezes and stops real processes under load and checks every answer.
faults: build
	bash script/faults

# Fuzzes the decoders, 30 seconds each.
fuzz:
	$(GO) test -run '^$$' -fuzz FuzzRead -fuzztime 30s ./frame
	$(GO) test -run '^$$' -fuzz FuzzParse -fuzztime 30s ./setting
	$(GO) test -run '^$$' -fuzz FuzzResponse -fuzztime 30s ./exchange
	$(GO) test -run '^$$' -fuzz FuzzKey -fuzztime 30s ./platform

.PHONY: bench capacity faults fuzz
