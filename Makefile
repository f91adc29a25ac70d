# Build, test and measure lacewingspoke.

GO ?= go

.PHONY: build demo test lint bench

build:
	$(GO) build -o bin/ ./cmd/...

demo: build
	bash scripts/demo.sh

test:
	bash scripts/test.sh

lint:
	bash scripts/lint.sh

bench: build
	$(GO) run ./bench
