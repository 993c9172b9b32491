.PHONY: all build test lint fmt

all: lint test build

build:
	go build -o bin/ ./cmd/...

test:
	go test ./...

lint:
	@test -z "$$(gofmt -l .)" || { echo "not formatted:"; gofmt -l .; exit 1; }
	go vet ./...
	go tool staticcheck ./...
