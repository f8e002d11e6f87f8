GO ?= go
BIN := bin
TOOLS := $(CURDIR)/$(BIN)/tools
GOFUMPT := $(TOOLS)/gofumpt
REVIVE := $(TOOLS)/revive
GOPLS := $(TOOLS)/gopls
SOURCES := $(shell git ls-files --cached --others --exclude-standard '*.go')
HAND_WRITTEN := $(filter-out %.pb.go,$(SOURCES))

.PHONY: soak build test format-check lint unit demo bench generate tools clean

build: ## Builds the programs into bin/.
	$(GO) build -o $(BIN)/ ./cmd/...

tools: $(GOFUMPT) $(REVIVE) $(GOPLS)

$(GOFUMPT):
	GOBIN=$(TOOLS) $(GO) install mvdan.cc/gofumpt@v0.12.0

$(REVIVE):
	GOBIN=$(TOOLS) $(GO) install github.com/mgechev/revive@v1.17.0

# Renames identifiers: gopls rename -w FILE:LINE:COLUMN NAME.
$(GOPLS):
	GOBIN=$(TOOLS) $(GO) install golang.org/x/tools/gopls@v0.20.0

format-check: $(GOFUMPT)
	@out=$$($(GOFUMPT) -l $(HAND_WRITTEN)); if [ -n "$$out" ]; then echo "not formatted with gofumpt:"; echo "$$out"; exit 1; fi

lint: $(REVIVE)
	$(GO) vet ./...
	$(REVIVE) -config revive.toml -set_exit_status ./...

unit: ## Runs all tests; only those of KNOWN-RED.txt may fail.
	GO=$(GO) scripts/unit.sh

test: format-check lint unit ## Runs the formatter check, the linter and all tests.

demo: build ## Runs scripts/demo.sh: the whole system as separate processes on loopback.
	bash scripts/demo.sh

bench: build ## Prints one JSON line for each figure, or for those in FIGURES=name,...
	bash scripts/bench.sh --figures "$(FIGURES)" --seed "$(or $(SEED),1)"

generate: ## Regenerates schema/*.pb.go; needs protoc and protoc-gen-go.
	protoc --proto_path=. --go_out=. --go_opt=module=dandelionrock.example/dandelionrock schema/*.proto

clean:
	rm -rf $(BIN)

soak: ## Runs the fault soak: SEED=n for one seed, SEEDS=n for random ones, TEST=TestStops for planned stops.
	$(GO) test -count=1 -timeout=120m -v -run $(or $(TEST),TestSoak) ./internal/fault/soak -soak.seed=$(or $(SEED),0) -soak.seeds=$(or $(SEEDS),0) -soak.instances=$(or $(INSTANCES),4)
