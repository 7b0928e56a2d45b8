#!/usr/bin/env bash
# Plays the scenario "crashloop" of review/standin. TROUBLE=0 leaves the disruption
# out. 1: the rule was broken; 0: it held; 2: it couldn't run.
exec "$(dirname "$0")/../standin/play.sh" crashloop "$(cd "$(dirname "$0")" && pwd)/record.txt"
