#!/bin/bash
# A frozen reader hands older lists on as newer ones. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/drill ] && [ -x target/fescuehall ] || { echo "build first: the build line of deploy/system.toml, then review/build-2.sh"; exit 2; }
exec target/drill old-lists review/6/record.txt
