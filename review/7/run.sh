#!/bin/bash
# A host drops off the list of hosts for good. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/drill ] && [ -x target/fescuehall ] || { echo "build first: the build line of deploy/system.toml, then review/build-2.sh"; exit 2; }
exec target/drill lost-entry review/7/record.txt
