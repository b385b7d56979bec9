#!/bin/sh
# Runs the case of this folder, see claim.txt. Exits with 1 if the rule was broken, with 0 if it held
# and with 2 if the case could not run; with TROUBLE=0 the disruption is left out. Needs the build of
# deploy/balancer.toml and review/build-2.sh. Writes record.txt beside this file.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
ROOT=$(cd "$folder/../.." && pwd) || exit 2
export ROOT
program=$ROOT/target/review-2/case-$(basename "$folder")
for file in "$program" "$ROOT/target/release/pumiceway"; do
  [ -x "$file" ] || { echo "could not run: $file has not been built"; exit 2; }
done
cd "$ROOT" || exit 2
exec "$program" "$folder/record.txt"
