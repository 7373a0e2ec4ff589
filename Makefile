.PHONY: build test lint demo measure wire

build:
	go build -o bin/ ./cmd/...

lint:
	@unformatted=$$(git ls-files '*.go' | xargs -r gofmt -l); \
	if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi
	go vet ./...
	go build -C tools/lint -o ../../bin/staticcheck honnef.co/go/tools/cmd/staticcheck
	./bin/staticcheck ./...

test: lint
	go test -race ./...

demo: build
	./bin/hoist-demo

measure: build
	./bin/hoist-measure

wire:
	go build -C tools/lint -o ../../bin/wire github.com/google/wire/cmd/wire
	./bin/wire ./instance/...
