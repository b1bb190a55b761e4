# Targets for building, testing and measuring fescuehall.

GO ?= go
PROGRAMS = fescuehall standin

all: build

build:
	$(GO) build -o bin/fescuehall .
	$(GO) build -o bin/standin ./standin

test:
	$(GO) test -count=1 ./...

generate:
	$(GO) generate ./...

clean:
	rm -rf bin

.PHONY: all build test generate clean
