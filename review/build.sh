#!/bin/sh
# Builds the stand-ins that the cases start. They need the standard library only.
set -eu
cd "$(dirname "$0")/standin"
exec cargo build --release --offline --locked --target-dir target
