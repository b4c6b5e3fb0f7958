#!/usr/bin/env bash
# Makes each variant (NAME.sed here) of the operators' site, with what a site needs beside it, in made/NAME/.
# It must never be committed what it makes: that is the operators'. Usage: deploy/sites/make.sh SITE.toml
set -euo pipefail
site=$1
here=$(cd "$(dirname "$0")" && pwd)
for edits in "$here"/*.sed; do
  name=$(basename "$edits" .sed)
  made="$here/made/$name"
  mkdir -p "$made"
  sed -E -f "$edits" "$site" > "$made/$name.toml"
  for beside in wire.json real.json unlock.txt; do
    cp -f "$(dirname "$site")/$beside" "$made/"
  done
  # An edit that no longer meets its line would leave the site as it is, unsaid.
  test "$(diff "$site" "$made/$name.toml" | grep -c '^>')" -ge "$(grep -c '^s' "$edits")" || {
    echo "$name: an edit changes nothing" >&2
    exit 1
  }
  echo "$made/$name.toml"
done
