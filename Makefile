# mimosaquay: build, test, demo.  "make help" lists the targets.

BUILD ?= build
CC ?= gcc
PACKAGES = talloc tevent libprotobuf-c libmicrohttpd libcurl inih jansson \
           gnutls nettle libxxhash
# mimosa-routerd is started often and on small hosts: it links just these.
ROUTER_LIBS = $(shell pkg-config --libs talloc tevent libprotobuf-c inih \
              jansson nettle libxxhash 2>/dev/null) -lhttp_parser -lm
DEBIAN = build-essential pkg-config libtalloc-dev libtevent-dev \
         libprotobuf-c-dev libmicrohttpd-dev libcurl4-gnutls-dev libinih-dev \
         libjansson-dev libgnutls28-dev nettle-dev \
         libhttp-parser-dev libxxhash-dev libcriterion-dev \
         clang-format clang-tidy cppcheck curl
WARNINGS = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
           -Wmissing-prototypes -Wpointer-arith -Wvla
SANITIZE ?=
OPT ?= -O2
CFLAGS = -std=gnu11 -D_GNU_SOURCE $(OPT) -g $(WARNINGS) $(SANITIZE) \
         -MMD -MP -Iinclude -Isrc $(shell pkg-config --cflags $(PACKAGES) 2>/dev/null)
LDLIBS = $(shell pkg-config --libs $(PACKAGES) 2>/dev/null) -lhttp_parser -lm
TESTLIBS = -lcriterion

# The folders of the library, lowest first; tests/includes.sh checks the order.
LIB_DIRS = src/core src/core/organisation src/core/text src/core/owner src/core/gate src/core/router \
           src/net src/log src/daemon src/entry src/target src/router \
           src/ctl src/load
LIB_SRC = $(wildcard $(addsuffix /*.c,$(LIB_DIRS)) proto/*.c) src/daemon.c
# platform/ speaks to the users' platform; routerd.c holds its main.
PLATFORM_SRC = $(filter-out platform/routerd.c,$(wildcard platform/*.c))
# What mimosa-routerd is made of; its build needs the headers of these alone.
ROUTER_SRC = $(wildcard src/router/*.c src/core/router/*.c src/core/organisation/*.c) proto/turn.pb-c.c proto/relay.pb-c.c \
             $(addprefix src/core/,error.c histogram.c id.c idmap.c memory.c) \
             $(addprefix src/core/text/,text_hint.c text_ini.c text_keys.c text_values.c) \
             $(addprefix src/net/,base64.c buffer.c clock.c frame.c http_conn.c \
             http_message.c listen.c tcp.c timer.c) \
             $(addprefix src/log/,json_log.c log_schema.c metrics.c) \
             src/daemon/settings_file.c
ROUTER_OBJ = $(ROUTER_SRC:%.c=$(BUILD)/%.o)
PLATFORM_OBJ = $(PLATFORM_SRC:%.c=$(BUILD)/%.o)
LIB_OBJ = $(LIB_SRC:%.c=$(BUILD)/%.o)
LIB = $(BUILD)/libmimosaquay.a
DAEMONS = entryd targetd mimosactl load
DAEMON_BIN = $(foreach d,$(DAEMONS),$(if $(wildcard src/$(d).c),$(BUILD)/bin/$(if $(filter mimosactl,$(d)),mimosactl,mimosa-$(d))))
# standins/standin_NAME.c hold a main each; the other files are shared.
STANDIN_MAIN = $(wildcard standins/standin_*.c)
STANDIN_SRC = $(filter-out $(STANDIN_MAIN),$(wildcard standins/*.c)) \
              $(filter-out platform/standins/users_site.c,$(wildcard platform/standins/*.c))
STANDIN_OBJ = $(STANDIN_SRC:%.c=$(BUILD)/%.o)
STANDIN_BIN = $(STANDIN_MAIN:standins/standin_%.c=$(BUILD)/bin/standin-%)
# tests/test_NAME.c are Criterion programs; the other files are shared.
TEST_MAIN = $(wildcard tests/test_*.c)
TEST_SRC = $(filter-out $(TEST_MAIN),$(wildcard tests/*.c)) \
           $(wildcard tests/fuzz/*.c)
TEST_OBJ = $(TEST_SRC:%.c=$(BUILD)/%.o)
TEST_BIN = $(TEST_MAIN:tests/%.c=$(BUILD)/tests/%)
BENCH_MAIN = $(wildcard bench/bench_*.c)
BENCH_SRC = $(filter-out $(BENCH_MAIN),$(wildcard bench/*.c))
BENCH_OBJ = $(BENCH_SRC:%.c=$(BUILD)/%.o)
BENCH_BIN = $(BENCH_MAIN:bench/%.c=$(BUILD)/bin/%)
EXAMPLE_BIN = $(patsubst examples/%.c,$(BUILD)/examples/%,$(wildcard examples/*.c))
SOURCES = $(filter-out %.pb-c.c %.pb-c.h,$(wildcard src/*.[ch] \
          $(addsuffix /*.[ch],$(LIB_DIRS)) platform/*.[ch] platform/standins/*.[ch] include/*.h standins/*.[ch] tests/*.[ch] \
          tests/fuzz/*.[ch] tests/soak/*.[ch] bench/*.[ch] \
          examples/*.c))

.PHONY: all help deps check check-sanitized demo format format-check lint \
        scan includes proto clean install
.SECONDARY:

all: $(LIB) $(DAEMON_BIN) $(BUILD)/bin/mimosa-routerd $(BUILD)/bin/standin-users $(STANDIN_BIN) $(BENCH_BIN) $(EXAMPLE_BIN)

help:
	@grep -E '^## ' $(MAKEFILE_LIST) | sed 's/^## //'

## deps: install the Debian packages that are missing
deps:
	@pkg-config --exists $(PACKAGES) criterion 2>/dev/null \
	  || { apt-get update -q && apt-get install -y -q $(DEBIAN); }

$(BUILD)/proto/%.o: proto/%.c
	@mkdir -p $(@D)
	$(CC) $(filter-out -Werror -Wshadow -Wmissing-prototypes,$(CFLAGS)) -c $< -o $@

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -c $< -o $@

$(LIB): $(LIB_OBJ)
	@mkdir -p $(@D)
	@rm -f $@
	ar rcs $@ $^

$(BUILD)/bin/mimosactl: $(BUILD)/src/mimosactl.o $(LIB)
	@mkdir -p $(@D)
	$(CC) $(SANITIZE) $^ -o $@ $(LDLIBS)

$(BUILD)/bin/mimosa-routerd: $(BUILD)/platform/routerd.o $(PLATFORM_OBJ) $(ROUTER_OBJ)
	@mkdir -p $(@D)
	$(CC) $(SANITIZE) $^ -o $@ -Wl,--as-needed $(ROUTER_LIBS)

$(BUILD)/bin/mimosa-%: $(BUILD)/src/%.o $(LIB)
	@mkdir -p $(@D)
	$(CC) $(SANITIZE) $^ -o $@ $(LDLIBS)

$(BUILD)/bin/standin-%: $(BUILD)/standins/standin_%.o $(STANDIN_OBJ) $(PLATFORM_OBJ) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(SANITIZE) $^ -o $@ $(LDLIBS)

$(BUILD)/bin/standin-users: $(BUILD)/platform/standins/users_site.o $(STANDIN_OBJ) $(PLATFORM_OBJ) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(SANITIZE) $^ -o $@ $(LDLIBS)

$(BUILD)/bin/bench_%: $(BUILD)/bench/bench_%.o $(BENCH_OBJ) $(BUILD)/tests/fleet.o $(BUILD)/tests/replay.o $(STANDIN_OBJ) $(PLATFORM_OBJ) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(SANITIZE) $^ -o $@ $(LDLIBS)

$(BUILD)/tests/test_%: $(BUILD)/tests/test_%.o $(TEST_OBJ) $(STANDIN_OBJ) $(PLATFORM_OBJ) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(SANITIZE) $^ -o $@ $(TESTLIBS) $(LDLIBS)

$(BUILD)/examples/%: $(BUILD)/examples/%.o $(LIB)
	@mkdir -p $(@D)
	$(CC) $(SANITIZE) $^ -o $@ $(LDLIBS)

## check: build everything and run every test
check: deps
	@$(MAKE) --no-print-directory all tests
	@BUILD=$(BUILD) sh tests/run.sh

.PHONY: tests
tests: $(TEST_BIN)

SANITIZED = BUILD=$(BUILD)-asan OPT=-O1 \
  SANITIZE="-fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer"

## check-sanitized: the same tests under ASan and UBSan
check-sanitized: deps
	@$(MAKE) --no-print-directory $(SANITIZED) all tests
	@BUILD=$(BUILD)-asan sh tests/run.sh

# Each tests/fuzz/fuzz_NAME.c is a libFuzzer program too; what it finds new is
# kept below $(BUILD), what breaks it as $(BUILD)/fuzz/NAME-*.
FUZZ_SECONDS ?= 60
FUZZ_BIN = $(patsubst tests/fuzz/fuzz_%.c,$(BUILD)/fuzz/%,$(wildcard tests/fuzz/fuzz_*.c))
FUZZ_FLAGS = address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer
FUZZ_SHARED = $(BUILD)/tests/fuzz/fuzz.o $(BUILD)/tests/message_samples.o \
              $(BUILD)/standins/table.o $(PLATFORM_OBJ)

$(BUILD)/fuzz/%.o: tests/fuzz/fuzz_%.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -DMQ_FUZZER -c $< -o $@

$(BUILD)/fuzz/%: $(BUILD)/fuzz/%.o $(FUZZ_SHARED) $(LIB)
	$(CC) -fsanitize=fuzzer,$(FUZZ_FLAGS) $^ -o $@ $(LDLIBS)

.PHONY: fuzz fuzz-deps fuzz-programs
fuzz-programs: $(FUZZ_BIN)

fuzz-deps: deps
	@[ -n "$$(clang -print-file-name=libclang_rt.fuzzer-x86_64.a | grep /)" ] \
	  || { apt-get update -q && apt-get install -y -q clang libclang-rt-14-dev; }

## fuzz: libFuzzer on every decoder of bytes from outside, FUZZ_SECONDS each
fuzz: fuzz-deps
	@$(MAKE) --no-print-directory BUILD=$(BUILD)-fuzz CC=clang OPT=-O1 \
	  SANITIZE="-fsanitize=fuzzer-no-link,$(FUZZ_FLAGS)" fuzz-programs
	@BUILD=$(BUILD)-fuzz FUZZ_SECONDS=$(FUZZ_SECONDS) sh tests/fuzz.sh

## demo: run programs of both deployments on the stand-ins
demo: deps
	@$(MAKE) --no-print-directory all
	@BUILD=$(BUILD) bash examples/demo.sh
	@BUILD=$(BUILD) bash examples/router_demo.sh

## bench: placement and order of calls against baselines, both deployments
.PHONY: bench
bench: deps
	@$(MAKE) --no-print-directory all
	@BUILD=$(BUILD) bash bench/site_bench.sh

## capacity: slopes behind docs/CAPACITY.md (about four minutes)
.PHONY: capacity
capacity: deps
	@$(MAKE) --no-print-directory all
	@$(BUILD)/bin/bench_capacity
	@BUILD=$(BUILD) bash bench/capacity.sh

## replay: bursts of programs against the model of the engines, a table; writes
## build/replay.svg (half a minute)
.PHONY: replay
replay: deps
	@$(MAKE) --no-print-directory $(BUILD)/bin/bench_replay
	@$(BUILD)/bin/bench_replay --svg=$(BUILD)/replay.svg

# A seeded soak of real routers, SEEDS of them one after the other.
SOAK_SRC = $(wildcard tests/soak/*.c)
SOAK_OBJ = $(SOAK_SRC:%.c=$(BUILD)/%.o)
SEED ?= 1
SEEDS ?= 1
SOAK_SECONDS ?= 8
SOAK_HOSTS ?= 4
$(BUILD)/bin/soak: $(SOAK_OBJ) $(STANDIN_OBJ) $(PLATFORM_OBJ) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(SANITIZE) $^ -o $@ $(LDLIBS)

## soak: faults on real routers, SEEDS seeds from SEED, SOAK_SECONDS each
.PHONY: soak
soak: deps
	@$(MAKE) --no-print-directory $(BUILD)/bin/mimosa-routerd $(BUILD)/bin/soak
	@BUILD=$(BUILD) sh tests/soak/run.sh $(SEED) $(SEEDS) $(SOAK_SECONDS) $(SOAK_HOSTS)

## soak-sanitized: the same under ASan and UBSan
.PHONY: soak-sanitized
soak-sanitized:
	@$(MAKE) --no-print-directory $(SANITIZED) soak

## format: format the sources; format-check: fail where that would change one
format:
	@clang-format -i $(SOURCES)
format-check:
	@clang-format --dry-run -Werror $(SOURCES)

## lint: clang-tidy and cppcheck
lint:
	@sh tests/lint.sh $(filter %.c,$(SOURCES))

## scan: src/core must stay free of input, output, clocks and randomness
scan:
	@sh tests/scan.sh

## includes: the folders of src include downward only, and files in no circle
includes:
	@sh tests/includes.sh

## doc-names: identifiers and files that the pages name exist
.PHONY: doc-names
doc-names:
	@sh tests/doc_names.sh

## proto: generate proto/*.pb-c.[ch] again (needs protobuf-c-compiler)
proto:
	cd proto && protoc-c --c_out=. *.proto

PREFIX ?= /usr/local
VERSION = $(shell sed -n 's/.*MIMOSAQUAY_VERSION "\(.*\)"/\1/p' include/mimosaquay.h)
# The headers that include/mimosaquay.h names and those that they include.
PUBLIC_HEADERS = $(addprefix src/core/,action.h error.h host.h id.h limits.h \
                 message.h spread.h store.h types.h owner/front.h owner/owner.h \
                 owner/place.h gate/gate.h text/text.h text/text_diff.h)
UNITS = $(wildcard examples/systemd/*.service)
## install: install below $(DESTDIR)$(PREFIX)
install: all
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/lib/pkgconfig \
	  $(DESTDIR)$(PREFIX)/include/mimosaquay/core \
	  $(DESTDIR)$(PREFIX)/share/man/man1 $(DESTDIR)$(PREFIX)/share/man/man8 \
	  $(DESTDIR)$(PREFIX)/share/doc/mimosaquay/examples
	install $(DAEMON_BIN) $(BUILD)/bin/mimosa-routerd $(DESTDIR)$(PREFIX)/bin
	install -m 644 $(LIB) $(DESTDIR)$(PREFIX)/lib
	sed 's|"core/|"mimosaquay/core/|' include/mimosaquay.h \
	  >$(DESTDIR)$(PREFIX)/include/mimosaquay.h
	chmod 644 $(DESTDIR)$(PREFIX)/include/mimosaquay.h
	for h in $(PUBLIC_HEADERS:src/%=%); do \
	  install -D -m 644 src/$$h $(DESTDIR)$(PREFIX)/include/mimosaquay/$$h || exit 1; \
	done
	printf '%s\n' 'prefix=$(PREFIX)' 'libdir=$${prefix}/lib' \
	  'includedir=$${prefix}/include' '' 'Name: mimosaquay' \
	  'Description: decisions of a scheduler for agent programs' \
	  'Version: $(VERSION)' 'Requires: $(PACKAGES)' \
	  'Libs: -L$${libdir} -lmimosaquay -lm' 'Cflags: -I$${includedir}' \
	  >$(DESTDIR)$(PREFIX)/lib/pkgconfig/mimosaquay.pc
	install -m 644 man/*.1 $(DESTDIR)$(PREFIX)/share/man/man1
	install -m 644 man/*.8 $(DESTDIR)$(PREFIX)/share/man/man8
	install -m 644 $(UNITS) $(wildcard examples/*.ini) \
	  $(DESTDIR)$(PREFIX)/share/doc/mimosaquay/examples

clean:
	rm -rf $(BUILD) $(BUILD)-asan $(BUILD)-fuzz

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
