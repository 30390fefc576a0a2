# Every setting that the program knows stands in the operators' page as the
# program describes it.  Usage: operations_page.sh BUILD
set -u
page=$(dirname "$0")/../../docs/OPERATIONS.md
missing=$("$1/briarrack" check --describe | while IFS= read -r line; do
  grep -qF -- "$line" "$page" || echo "$line"
done)
[ -z "$missing" ] || { echo "not in OPERATIONS.md:"; echo "$missing"; exit 1; }
