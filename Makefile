# Two commands are all a newcomer needs: make run, make test.
MODULES := lib platform daemon operator emulator bench scenarios
PROGRAMS := daemon operator emulator bench
BIN := $(CURDIR)/bin

.PHONY: build run test chaos soak regress fmt lint bench-decide bench-path

build:
	@mkdir -p $(BIN)
	go build -o $(BIN)/snipeshiftd ./daemon
	go build -o $(BIN)/snipeshift ./operator
	go build -o $(BIN)/emulator ./emulator
	go build -o $(BIN)/bench ./bench

# run starts a small local deployment of separate processes on loopback until Ctrl-C.
run: build
	@$(BIN)/emulator local --bin $(BIN)

# test runs every unit test under the race detector, then the scenarios.
# SCENARIOS=dir also runs the scripts of a folder of your own. SKIP is a pattern of tests to pass over.
SKIP ?=
test: build
	@for m in $(MODULES); do (cd $$m && go test -race -count=1 -timeout 30m $(if $(SKIP),-skip '$(SKIP)') ./...) || exit 1; done

# chaos plays a random schedule of faults, the same for the same SEED, for CHAOS (such as 60s).
SEED ?= 1
CHAOS ?= 60s
chaos:
	cd scenarios && SEED=$(SEED) CHAOS=$(CHAOS) go test -count=1 -v -timeout 15m -run 'TestChaos$$' .

# soak plays a random schedule of faults against VMs on a stand-in of the platform, the same for
# the same SOAK, for SOAKFOR (such as 60s).
SOAK ?= 1
SOAKFOR ?= 20s
soak:
	cd scenarios && SOAK=$(SOAK) SOAKFOR=$(SOAKFOR) go test -count=1 -v -timeout 15m -run 'TestSoak$$' .

# regress plays the regression set of deployments and compares it with the kept figures: PLAYER is the
# program that plays days, SITES the folder of the deployments. Not part of CI; half an hour and more.
regress:
	@PLAYER=$(PLAYER) SITES=$(SITES) SET="$(SET)" deploy/regress.sh

fmt:
	gofumpt -w $$(git ls-files '*.go')

lint:
	@for m in $(MODULES); do (cd $$m && golangci-lint run --config ../.golangci.yml ./...) || exit 1; done

# bench-decide measures the decision library against the baselines: seeded, some minutes on 4 cores.
bench-decide:
	@mkdir -p $(BIN)
	go build -o $(BIN)/bench ./bench
	@$(BIN)/bench decide
	cd lib && go test -run XXX -bench Decide -benchtime 20000x ./decide
	cd lib && go test -run XXX -bench Slope -benchtime 1x ./decide

# bench-path measures what a daemon adds to a request, in a small deployment of its own: about a minute.
bench-path: build
	@$(BIN)/emulator path --bin $(BIN)
