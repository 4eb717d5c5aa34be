#!/usr/bin/env bash
# Runs every line of docs/API.md that is marked as shell against a site of
# stand-ins: each must succeed, and be refused only where it says so.
set -eu
cd "$(dirname "$0")/.."
. examples/site.sh
trap site_end EXIT

site_begin
site_apply examples/diagne.ini >"$site_dir/apply.log"
site_engines guide 1 guide-8b --time-scale 0.2
site_service accueil-app 1
site_service room-plan 1
site_target plateau-1 plateau "guide-models,model,${site_urls_guide% },guide-8b" \
  "accueil-app,plain,${site_urls_accueil_app% }" "room-plan,tool,${site_urls_room_plan% }"
site_entry entry-1 plateau
site_ready "$site_http_entry_1"

# One command a line; a "\" or an open quote goes on in the next one.
sed -n '/^```sh$/,/^```$/{/^```/!p;}' docs/API.md >"$site_dir/lines.sh"
curls=$(grep -c '^curl\|=\$(curl' "$site_dir/lines.sh")
{
  echo 'set -eu'
  cat "$site_dir/lines.sh"
} >"$site_dir/run.sh"
if ! entry=$site_http_entry_1 bash "$site_dir/run.sh" >"$site_dir/out" 2>&1; then
  cat "$site_dir/out"
  exit 1
fi
wanted=$(grep -c '# refused' "$site_dir/lines.sh")
refused=$(grep -o '"error":"[a-z_]*","ran"' "$site_dir/out" | wc -l)
if [ "$refused" -ne "$wanted" ]; then
  cat "$site_dir/out"
  echo "docs/API.md: $refused refusals, $wanted expected"
  exit 1
fi
echo "docs/API.md: $curls calls work as written"
