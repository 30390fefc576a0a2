# Checks that the operators' page, docs/OPERATIONS.md, contains each line of the
# program's description of its settings.  Usage: operations_page.sh BUILD
set -u
page=$(dirname "$0")/../../docs/OPERATIONS.md
missing=$("$1/briarrack" check --describe | while IFS= read -r line; do
  grep -qF -- "$line" "$page" || echo "$line"
done)
if [ -n "$missing" ]; then
  printf '%s\n' "docs/OPERATIONS.md lacks these lines:" "$missing"
  exit 1
fi
