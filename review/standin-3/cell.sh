# Sourced by a case's run.sh: starts the project's programs as a small
# deployment on loopback, with the commands of the deploy file, plays a scenario
# of the stand-ins beside them, and ends what it started.
#
#   play SCENARIO RECORD MINIONS     # sets code

command_of() { # ROLE: its line "run" in the deploy file
  sed -n "/^\[roles\.$1\]/,/^\[/s/^run = \"\(.*\)\"/\1/p" deploy/system.toml
}

settings_of() { # CLASS NUMBER
  local class=$1 number=$2 here=1 disk=null serves i
  serves="  control: \"127.$net.1.$number:8166\""
  if [ "$class" = frontend ]; then
    here=2
    serves="  frontendAddr: \"127.$net.2.$number:8161\"
  readinessAddr: \"127.$net.2.$number:8167\""
  else
    disk="\"$work/core-$number\""
    mkdir -p "$work/core-$number"
  fi
  cat <<END
nodeName: "$class-$number"
role: "$([ "$class" = core ] && echo control || echo entry)"
machineClass: "$class"
ip: "127.$net.$here.$number"
zone: "a"
region: "r"
zones: { a: "r" }
listen:
$serves
internalPorts: [7720, 7735]
seeds:
  - "127.$net.1.1:8166"
  - "127.$net.1.2:8166"
  - "127.$net.1.3:8166"
bootstrap: true
inTolerance: false
limits: { cpuShare: 0.5, cores: 1, memoryMb: 256, maxFds: 4096, linkMbps: 1000.0, diskMb: 128 }
dataDir: $disk
discovery: "register"
entry: "vip"
heartbeatMs: 1500
faultTolerance: { machines: 1, zones: 0, regionCount: 0 }
bounds: { contactMs: 3000, ackMs: 4000, graceS: 6, configApplyMs: 2000, holdMaxMs: 6000, stopTimeoutMs: 400, status_s: 120, noticeMs: 4500, moveS: 1.5, maintenanceS: 2, fencingEnabled: false, leaseMs: 3000 }
controlMode: "call"
advice: "127.$net.7.1:8169"
cloud: { address: "127.$net.6.$number:8169", ratePerS: 60.0, duties: [], dutyPerS: 60.0 }
END
}

start() { # CLASS NUMBER
  local role=entry command listen=
  [ "$1" = core ] && role=control listen="127.$net.3.$2:7720"
  read -r -a command < <(command_of "$role")
  settings_of "$1" "$2" > "$work/$1-$2.yaml"
  # A relay between the control processes: standin.cpp, gate.
  env -i PATH="$PATH" HOME="$work" LANG=C \
    ${listen:+ORIOLE_INTERNAL_LISTEN="$listen"} \
    ORIOLEWALK_SETTINGS="$work/$1-$2.yaml" \
    "${command[@]}" > "$work/$1-$2.log" 2>&1 &
  started+=($!)
  disown
}

end_all() {
  local pid
  for pid in "${started[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  sleep 0.2
  if [ -n "${KEEP:-}" ]; then echo "kept: $work"; else rm -rf "$work"; fi
}

play() { # SCENARIO CASE_FOLDER MINIONS
  local i controls= entries=
  cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
  work=$(mktemp -d)
  net=$((20 + $$ % 200))
  started=()
  trap end_all EXIT
  if [ ! -x target/review-3/standin ] || [ ! -x "$(command_of control)" ]; then
    echo "not built: the deploy file's build, then review/build-3.sh" >&2
    exit 2
  fi
  for i in 1 2 3 4 5; do
    start core "$i"
    controls+="127.$net.1.$i:8166,"
  done
  for i in 1 2; do
    start frontend "$i"
    entries+="127.$net.2.$i:8161,"
  done
  timeout 115 target/review-3/standin "$1" "${controls%,}" "${entries%,}" \
    "127.$net.5.1" "$3" "$2" "$(IFS=,; echo "${started[*]:0:5}")"
  code=$?
  [ "$code" = 0 ] || [ "$code" = 1 ] || code=2
}
