# Wrapper around CMake and tools/. `make help` lists the targets.
SHELL := /bin/bash
JOBS ?= 10

help:
	@echo 'make run     install, build, start the local system, send work, end'
	@echo 'make test    build with sanitizers and run every test'
	@echo 'make bench   build optimised and check the benchmark bounds'
	@echo 'make proofs  run the proof of each promise, a line a point'
	@echo 'make lint    formatter and linter'
	@echo 'make fmt     reformat the sources'
	@echo 'make docs    rewrite the generated pages of docs/'

deps:
	@tools/deps.sh

build:
	@cmake -G Ninja -S . -B build/release >/dev/null
	@cmake --build build/release -j $(JOBS)

build-san:
	@cmake -G Ninja -S . -B build/san -DCATKIN_SANITIZE=ON >/dev/null
	@cmake --build build/san -j $(JOBS)

run: deps build
	@tools/run.sh

test: deps build-san
	@tools/test.sh build/san

bench: deps build
	@tools/bench.sh build/release

proofs: deps build-san
	@tools/proofs.sh build/san

lint:
	@tools/lint.sh

fmt:
	@git ls-files '*.c' '*.h' | xargs clang-format -i

docs: build
	@tools/docs.sh

.PHONY: help deps build build-san run test bench proofs lint fmt docs
