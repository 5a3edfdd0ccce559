# The two commands that the README names, and what they are made of.
.PHONY: demo test check lint unit generate

demo:
	go build -o bin/ ./cmd/jacinthpass ./cmd/jacinthpass-lab
	bin/jacinthpass-lab demo

test: lint unit

lint:
	@files=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$files" ]; then echo "not formatted: $$files"; exit 1; fi
	go vet ./...
	go tool staticcheck $$(go list ./... | grep -v '^jacinthpass/gen')

unit:
	./scripts/unit

generate:
	go tool goa gen jacinthpass/api/design -o .
