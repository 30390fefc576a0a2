# Targets for developers and CI.  CMake does the build.
JOBS ?= $(shell nproc)
FORMATTED = $(shell git ls-files -co --exclude-standard 'src/*.[ch]' 'platform/*.[ch]' 'tests/*.[ch]' 'tests/*.cc' 'bench/*.[ch]' | grep -v pb-c)

.PHONY: all deps build build-sanitize check test-upgrade lint format demo bench clean

all: build

deps:
	./tools/install-deps

build: deps
	cmake -S . -B build/release -G Ninja > build/cmake.log 2>&1 || { cat build/cmake.log; exit 1; }
	cmake --build build/release -j $(JOBS)

build-sanitize: deps
	cmake -S . -B build/sanitize -G Ninja -DBR_SANITIZE=ON -DCMAKE_BUILD_TYPE=Debug > build/cmake.log 2>&1 || { cat build/cmake.log; exit 1; }
	cmake --build build/sanitize -j $(JOBS)

check: build-sanitize
	./tools/run-tests build/sanitize

test-upgrade: build
	./tools/test-upgrade build/release

lint: build
	@clang-format --dry-run --Werror $(FORMATTED)
	./tools/lint build/release

format:
	@clang-format -i $(FORMATTED)

demo: build
	./tools/demo build/release

bench: build
	./bench/run build/release

clean:
	rm -rf build
