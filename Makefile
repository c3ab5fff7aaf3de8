# Wrapper around CMake and the scripts.  Targets that build also install
# missing packages (deps), so that they work on a fresh machine.  JOBS is the
# number of parallel compilations, SEED the seed of the benchmarks.

PACKAGES = build-essential cmake pkg-config clang clang-format clang-tidy \
	libclang-rt-14-dev \
	curl libck-dev libzmq3-dev libprotobuf-c-dev libmicrohttpd-dev \
	libcurl4-openssl-dev libglib2.0-dev liblog4c-dev libjansson-dev \
	libxxhash-dev
SUDO = $(shell [ "$$(id -u)" = 0 ] || echo sudo)
JOBS = $(shell nproc)
SEED ?= 1
C_FILES = $(shell find include src platform daemons tests bench soak -name '*.[ch]')

.PHONY: all deps build check demo bench bench-decisions soak lint format \
	format-check sanitize fuzz clean

all: build

deps:
	@pkg-config --exists ck libzmq libprotobuf-c libmicrohttpd libcurl \
	    glib-2.0 log4c jansson libxxhash 2>/dev/null && \
	    command -v cmake clang-format clang-tidy curl >/dev/null || \
	    { $(SUDO) apt-get update -qq && $(SUDO) env \
	      DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $(PACKAGES); }

build: deps
	@cmake -S . -B build -DNUTMEG_WERROR=ON >/dev/null
	@$(MAKE) -s -C build -j$(JOBS) >/dev/null

check: build
	@tests/run.sh build

demo: build
	@scripts/demo.sh kreidefeld

bench: build
	@bench/run.sh build $(SEED)

# Benchmarks that measure no time; the results of a seed are deterministic.
bench-decisions: build
	@bench/run.sh build $(SEED) decisions

# Fault soak of real entry hosts with seeds FIRST to LAST:
# make soak FIRST=1 LAST=50
FIRST ?= 1
LAST ?= 10
soak: build
	@scripts/soak.sh build $(FIRST) $(LAST)

sanitize: deps
	@cmake -S . -B build-sanitize -DNUTMEG_SANITIZE=ON \
	    -DNUTMEG_WERROR=ON >/dev/null
	@$(MAKE) -s -C build-sanitize -j$(JOBS) >/dev/null
	@tests/run.sh build-sanitize units

fuzz: deps
	@cmake -S . -B build-fuzz -DNUTMEG_FUZZ=ON -DCMAKE_C_COMPILER=clang \
	    >/dev/null
	@$(MAKE) -s -C build-fuzz -j$(JOBS) fuzz_input fuzz_platform >/dev/null
	@tests/fuzz.sh build-fuzz

lint: build
	@find src platform daemons -name '*.c' | \
	    xargs -P $(JOBS) -n 4 clang-tidy -p build --quiet 2>/dev/null

format:
	@clang-format -i $(C_FILES)

format-check: deps
	@clang-format --dry-run --Werror $(C_FILES)

clean:
	@rm -rf build build-sanitize build-fuzz
