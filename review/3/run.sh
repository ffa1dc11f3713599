#!/bin/sh
# Plays case 3. Exit code 1: the rule was broken. 0: it held. 2: the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
standin=../standin/target/release/standin
[ -x "$standin" ] || { echo "run review/build.sh first"; exit 2; }
exec "$standin" 3 "$PWD"
