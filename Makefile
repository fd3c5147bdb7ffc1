# cactusmast. README.md explains the targets.

BUILD ?= build
CXX ?= g++
PACKAGES = glib-2.0 gio-2.0 gio-unix-2.0 libsoup-3.0 yaml-cpp
OPT ?= -O2 -g1
SANITIZE ?=
CXXFLAGS += -std=c++17 $(OPT) $(SANITIZE) -Wall -Wextra -Werror -I. \
  -DBOOST_LOG_DYN_LINK $(shell pkg-config --cflags $(PACKAGES))
LDFLAGS += $(SANITIZE)
CORE_LIBS = -lxxhash -lyaml-cpp
SHELL_LIBS = $(shell pkg-config --libs $(PACKAGES)) -lxxhash \
  -lprometheus-cpp-core -lboost_log -lboost_thread -lboost_system -ldocopt \
  -lpthread

PROCESSORS := $(shell nproc)

CORE_SOURCES := $(wildcard cactusmast/*.cc)
SHELL_SOURCES := $(wildcard shell/*.cc)
TEST_SOURCES := $(wildcard cactusmast/testing/*.cc platform/testing/*.cc \
  shell/testing/*.cc)
PLATFORM_SOURCES := $(filter-out %_main.cc,$(wildcard platform/*.cc))
BENCH_SOURCES := $(wildcard bench/*_bench.cc)

CORE_OBJECTS := $(CORE_SOURCES:%.cc=$(BUILD)/obj/%.o)
SHELL_OBJECTS := $(SHELL_SOURCES:%.cc=$(BUILD)/obj/%.o)
PLATFORM_OBJECTS := $(PLATFORM_SOURCES:%.cc=$(BUILD)/obj/%.o)
TEST_OBJECTS := $(TEST_SOURCES:%.cc=$(BUILD)/obj/%.o)

CORE_LIB := $(BUILD)/libcactusmast.a
SHELL_LIB := $(BUILD)/libcactusmast_shell.a
PROGRAMS := $(addprefix $(BUILD)/, cactusmast-entry cactusmast-guard \
  cactusmast platform-table backend-server cactusmast-load)

.PHONY: all programs platform-programs test demo bench plots chaos soak lint format \
  format-check deps generate sanitize fuzzers clean

all: programs platform-programs

programs: $(PROGRAMS) $(BUILD)/cactusmast-platform-load

# The programs that deploy/system.toml runs.
platform-programs: $(BUILD)/cactusmast-coordinator $(BUILD)/cactusmast-executor

deps:
	@scripts/install_deps.sh

$(BUILD)/obj/%.o: %.cc
	@mkdir -p $(@D)
	@echo CXX $<
	@$(CXX) $(CXXFLAGS) -MMD -MP -c $< -o $@

$(CORE_LIB): $(CORE_OBJECTS)
	@rm -f $@
	@ar rcs $@ $^

$(SHELL_LIB): $(SHELL_OBJECTS)
	@rm -f $@
	@ar rcs $@ $^

$(BUILD)/cactusmast-entry: $(BUILD)/obj/cmd/entry_main.o $(SHELL_LIB) $(CORE_LIB)
	@$(CXX) $(LDFLAGS) $^ $(SHELL_LIBS) -o $@

$(BUILD)/cactusmast-guard: $(BUILD)/obj/cmd/guard_main.o $(SHELL_LIB) $(CORE_LIB)
	@$(CXX) $(LDFLAGS) $^ $(SHELL_LIBS) -o $@

$(BUILD)/cactusmast: $(BUILD)/obj/cmd/cactusmast_main.o \
  $(BUILD)/obj/cmd/documents.o $(BUILD)/obj/cmd/evacuations_command.o \
  $(BUILD)/obj/cmd/demand_command.o $(BUILD)/obj/cmd/metrics_request.o \
  $(SHELL_LIB) $(CORE_LIB)
	@$(CXX) $(LDFLAGS) $^ $(SHELL_LIBS) -o $@

$(BUILD)/platform-table: $(BUILD)/obj/standins/platform_table_main.o $(SHELL_LIB) \
  $(CORE_LIB)
	@$(CXX) $(LDFLAGS) $^ $(SHELL_LIBS) -o $@

$(BUILD)/backend-server: $(BUILD)/obj/standins/backend_server_main.o $(SHELL_LIB) \
  $(CORE_LIB)
	@$(CXX) $(LDFLAGS) $^ $(SHELL_LIBS) -o $@

$(BUILD)/cactusmast-load: $(BUILD)/obj/standins/load_main.o $(SHELL_LIB) \
  $(CORE_LIB)
	@$(CXX) $(LDFLAGS) $^ $(SHELL_LIBS) -o $@

$(BUILD)/cactusmast-platform-load: $(BUILD)/obj/standins/platform_load_main.o \
  $(SHELL_LIB) $(CORE_LIB)
	@$(CXX) $(LDFLAGS) $^ $(SHELL_LIBS) -o $@

$(BUILD)/cactusmast-coordinator: $(BUILD)/obj/platform/coordinator_main.o \
  $(PLATFORM_OBJECTS) $(SHELL_LIB) $(CORE_LIB)
	@$(CXX) $(LDFLAGS) $^ $(SHELL_LIBS) -o $@

$(BUILD)/cactusmast-executor: $(BUILD)/obj/platform/executor_main.o \
  $(PLATFORM_OBJECTS) $(SHELL_LIB) $(CORE_LIB)
	@$(CXX) $(LDFLAGS) $^ $(SHELL_LIBS) -o $@

$(BUILD)/cactusmast-test: $(TEST_OBJECTS) $(PLATFORM_OBJECTS) \
  $(BUILD)/obj/cmd/demand_command.o $(BUILD)/obj/cmd/metrics_request.o $(SHELL_LIB) $(CORE_LIB)
	@$(CXX) $(LDFLAGS) $^ $(SHELL_LIBS) -lrapidcheck -o $@

# Runs all tests; the last line of the output counts them.
test: deps
	@$(MAKE) --no-print-directory -j$(PROCESSORS) programs platform-programs \
	  $(BUILD)/cactusmast-test
	@scripts/run_tests.sh $(BUILD)

# All sources but generated/, which keeps the format of its generator.
OWN_SOURCES := $(wildcard cactusmast/*.cc \
  cactusmast/*.h cactusmast/testing/*.cc cactusmast/testing/*.h shell/*.cc \
  shell/*.h util/*.h cmd/*.cc cmd/*.h platform/*.cc \
  platform/*.h platform/testing/*.cc platform/testing/*.h shell/testing/*.cc shell/testing/*.h \
  standins/*.cc bench/*.cc bench/*.h fuzz/*.cc)

format:
	@clang-format -i $(OWN_SOURCES)

format-check:
	@clang-format --dry-run -Werror $(OWN_SOURCES)

LINT_STAMPS := $(patsubst %.cc,$(BUILD)/lint/%.ok,$(filter-out %_test.cc \
  %_bench.cc fuzz/%,$(filter %.cc,$(OWN_SOURCES))))

lint: $(LINT_STAMPS)

$(BUILD)/lint/%.ok: %.cc .clang-tidy
	@mkdir -p $(@D)
	@echo LINT $<
	@clang-tidy --quiet $< -- -std=c++17 -I. -DBOOST_LOG_DYN_LINK \
	  $(shell pkg-config --cflags $(PACKAGES)) 2>$@.err || \
	  (cat $@.err; exit 1)
	@touch $@

# Runs the library's tests under AddressSanitizer and UBSan, with fewer random
# schedules.
sanitize:
	@$(MAKE) --no-print-directory BUILD=$(BUILD)/sanitize OPT="-O1 -g" \
	  SANITIZE="-fsanitize=address,undefined -fno-sanitize-recover=all" \
	  $(BUILD)/sanitize/cactusmast-test
	@CACTUSMAST_SOAK=100 $(BUILD)/sanitize/cactusmast-test --minimal

BENCH_PROGRAMS := $(BUILD)/policy-bench $(BUILD)/scale-bench \
  $(BUILD)/sized-bench

$(BUILD)/policy-bench: $(BUILD)/obj/bench/policy_bench.o \
  $(BUILD)/obj/bench/runner_model.o $(CORE_LIB)
	@$(CXX) $(LDFLAGS) $^ $(CORE_LIBS) -o $@

$(BUILD)/scale-bench: $(BUILD)/obj/bench/scale_bench.o \
  $(BUILD)/obj/cactusmast/testing/world.o \
  $(BUILD)/obj/cactusmast/testing/world_faults.o \
  $(BUILD)/obj/cactusmast/testing/world_callers.o \
  $(BUILD)/obj/cactusmast/testing/history.o $(CORE_LIB)
	@$(CXX) $(LDFLAGS) $^ $(CORE_LIBS) -o $@

$(BUILD)/sized-bench: $(BUILD)/obj/bench/sized_bench.o \
  $(BUILD)/obj/cactusmast/testing/sized_world.o \
  $(BUILD)/obj/cactusmast/testing/sized_world_callers.o \
  $(BUILD)/obj/cactusmast/testing/sized_world_faults.o \
  $(BUILD)/obj/cactusmast/testing/sized_load.o \
  $(BUILD)/obj/cactusmast/testing/fake_server.o $(CORE_LIB)
	@$(CXX) $(LDFLAGS) $^ $(CORE_LIBS) -o $@

# Runs all benchmarks; prints tables and writes JSON to results/. Not part of CI.
bench: deps
	@$(MAKE) --no-print-directory programs $(BENCH_PROGRAMS)
	@mkdir -p results
	@$(BUILD)/policy-bench --json results/policy.json
	@$(BUILD)/scale-bench --json results/scale.json
	@$(BUILD)/sized-bench --json results/sized.json
	@scripts/measure_path.sh $(BUILD) results/path.json
	@cat results/path.json
	@scripts/measure_scale.sh $(BUILD) results/processes.json

# Plots results/policy.json.
plots:
	@scripts/plot.sh results

# Injects faults into real processes for SECONDS, by default 600.
chaos: programs
	@scripts/chaos.sh $(BUILD) $(or $(SECONDS),600) $(or $(SEED),1)

# Runs random schedules of faults with COUNT seeds from SEED on, until one
# breaks a guarantee.
soak: $(BUILD)/cactusmast-test
	@CACTUSMAST_SEED=$(or $(SEED),1) CACTUSMAST_SOAK=$(or $(COUNT),1000000) \
	  $(BUILD)/cactusmast-test -tc="random schedules of faults break*"

FUZZERS := $(patsubst fuzz/%.cc,$(BUILD)/%,$(wildcard fuzz/*_fuzz.cc))

# libFuzzer targets; run one as $(BUILD)/json_fuzz -max_total_time=60
fuzzers: $(FUZZERS)

$(BUILD)/%_fuzz: fuzz/%_fuzz.cc $(CORE_SOURCES)
	@mkdir -p $(@D)
	@echo FUZZ $<
	@clang++ -std=c++17 -O1 -g -fsanitize=fuzzer,address,undefined -I. $^ \
	  $(CORE_LIBS) -o $@

generate: schema/wire.fbs
	flatc --cpp --gen-object-api --object-suffix _msg --scoped-enums \
	  --cpp-std c++17 -o generated $<

demo:
	@$(MAKE) --no-print-directory -j$(PROCESSORS) programs
	@scripts/demo.sh $(BUILD)

clean:
	rm -rf $(BUILD)

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
