# Entry points for people and CI. The build itself is CMake's.

BUILD := build/release
JOBS ?= $(shell nproc)

.PHONY: help deps configure build test lint format bench slopes demo clean

help:
	@echo "make demo    build and run the demo: entry hosts, upstreams, traffic and failures"
	@echo "make test    build and run every test"
	@echo "make lint    check format and run clang-tidy"
	@echo "make bench   run the benchmarks against their bounds"
	@echo "make slopes  measure the slopes behind docs/CAPACITY.md"
	@echo "make build   build everything into $(BUILD)"
	@echo "make format  format every tracked C++ file"
	@echo "make clean   remove $(BUILD)"

deps:
	@Tools/install-dependencies

configure: deps
	@cmake -S . -B $(BUILD) -DCMAKE_BUILD_TYPE=RelWithDebInfo

build: configure
	@cmake --build $(BUILD) --parallel $(JOBS)

test: build
	@Tools/run-tests $(BUILD)

lint: build
	@Tools/lint $(BUILD)

format:
	@git ls-files -z '*.h' '*.cpp' | xargs -0 clang-format -i

demo: build
	@Tools/demo $(BUILD)

bench: build
	@Tools/bench $(BUILD)

slopes: build
	@Tools/slopes $(BUILD)

clean:
	rm -rf $(BUILD)
