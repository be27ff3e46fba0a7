#!/usr/bin/env bash
# Writes record.txt in this folder. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. With TROUBLE=0 the disruption is left out. Needs deploy/build and review/build.sh.
exec "$(dirname "$0")/../run-case.sh" weights "$(dirname "$0")"
