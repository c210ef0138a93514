# Wraps CMake.  "make demo" and "make test" need no other command before them.
JOBS ?= $(shell nproc)
BUILD = build/release

all: build

deps:
	sh scripts/install-deps.sh

build: deps
	cmake -S . -B $(BUILD) -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

sanitize: deps
	cmake -S . -B build/sanitize -DCMAKE_BUILD_TYPE=Debug \
		-DCMAKE_C_COMPILER=clang -DWISTERIA_SANITIZE=ON >/dev/null
	cmake --build build/sanitize -j $(JOBS)

fuzz-build: deps
	cmake -S . -B build/fuzz -DCMAKE_BUILD_TYPE=RelWithDebInfo \
		-DCMAKE_C_COMPILER=clang -DWISTERIA_FUZZ=ON >/dev/null
	cmake --build build/fuzz -j $(JOBS)

test: deps
	sh scripts/run-tests.sh

unit: build
	ctest --test-dir $(BUILD) -R unit/ --output-on-failure

format:
	git ls-files -co --exclude-standard '*.c' '*.h' | \
		xargs clang-format -i

lint: build
	sh scripts/lint.sh

fuzz: fuzz-build
	sh scripts/fuzz.sh

demo: build
	sh scripts/demo.sh

bench: build
	sh scripts/bench.sh

capacity: build
	sh scripts/capacity.sh

soak: build
	sh scripts/soak.sh

clean:
	rm -rf build

.PHONY: all deps build sanitize fuzz-build test unit format lint fuzz demo \
	bench capacity soak clean
