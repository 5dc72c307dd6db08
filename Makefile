GO ?= go
SEEDS ?= 200
BIN := bin

.PHONY: build generate check test spec bench capacity demo soak fuzz

build:
	$(GO) build -o $(BIN)/ ./cmd/...

generate:
	$(GO) build -o $(BIN)/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	cd pb && protoc --plugin=protoc-gen-go=../$(BIN)/protoc-gen-go \
		--go_out=. --go_opt=paths=source_relative *.proto

check:
	./.ci/check

test:
	$(GO) test -race ./...

spec:
	./spec/run

bench: build
	./.ci/bench

capacity: build
	$(BIN)/briarcross-lab capacity

demo: build
	$(BIN)/briarcross-lab demo

soak:
	./.ci/soak $(SEEDS)
