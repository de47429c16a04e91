# The seed of the property tests: a fixed one gives the same verdict every time.
export RAPID_SEED ?= 20261204
export RAPID_CHECKS ?= 200
export RAPID_NOFAILFILE ?= true

.PHONY: build test lint demo

build:
	go build -o bin/ ./cmd/...

test:
	go test -race -timeout 10m ./...

lint:
	go tool -modfile=tools.mod staticcheck ./...

# Starts a fleet as processes on the loopback interface and checks its promises.
demo: build
	bin/demo -bin bin $(DEMO)
