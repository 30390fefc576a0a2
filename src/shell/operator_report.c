#include "shell/operator_report.h"

#include <string.h>

#include "route/catalog_match.h"

static const char *const scope_names[] = {
  [BR_MATCH_UPSTREAMS] = "upstreams",
  [BR_MATCH_WORKLOADS] = "workloads",
  [BR_MATCH_OFFERS] = "offers",
};

static void
report_collect_upstreams (const br_node_t *node, br_match_upstreams_t *out)
{
  for (size_t i = 0; i < node->registry.upstreams.len; i++)
    {
      const br_upstream_t *each = &node->registry.upstreams.items[i];
      br_match_upstream_t one = { each->name, &each->labels };

      br_match_upstreams_push (out, one);
    }
}

static const br_catalog_selector_t *
find_selector (const br_catalog_selectors_t *selectors,
               const br_catalog_selector_t *selector)
{
  for (size_t i = 0; i < selectors->len; i++)
    {
      const br_catalog_selector_t *each = &selectors->items[i];

      if (each->kind == selector->kind
          && br_name_equal (each->name, selector->name)
          && strcmp (each->field, selector->field) == 0)
        return each;
    }
  return NULL;
}

static bool
names_equal (const br_names_t *a, const br_names_t *b)
{
  if (a->len != b->len)
    return false;
  for (size_t i = 0; i < a->len; i++)
    if (!br_name_equal (&a->items[i], &b->items[i]))
      return false;
  return true;
}

/* Prints NAME without the characters that JSON would have to escape.  Names
 * come from the settings, the VM list and checked declarations. */
static void
print_name (const br_name_t *name, br_buf_t *out)
{
  for (size_t i = 0; i < name->len; i++)
    if ((unsigned char)name->data[i] >= ' ' && name->data[i] != '"'
        && name->data[i] != '\\')
      br_buf_append_char (out, name->data[i]);
}

static void
print_names (const char *key, const br_names_t *names, br_buf_t *out)
{
  br_buf_printf (out, ",\"%s\":[", key);
  for (size_t i = 0; i < names->len; i++)
    {
      br_buf_printf (out, "%s\"", i > 0 ? "," : "");
      print_name (&names->items[i], out);
      br_buf_append_char (out, '"');
    }
  br_buf_append_char (out, ']');
}

static bool
is_put (const br_paths_t *put, const br_catalog_selector_t *selector)
{
  br_buf_t path = { 0 };
  bool found = false;

  br_buf_printf (&path, "%s/%s", br_declaration_kind_name (selector->kind),
                 selector->name->data);
  for (size_t i = 0; i < put->len && !found; i++)
    found = br_str_equal (br_buf_str (&put->items[i]), br_buf_str (&path));
  br_buf_free (&path);
  return found;
}

static void
print_selector (const br_catalog_selector_t *selector,
                const br_names_t *before,
                const br_names_t *after,
                br_buf_t *out)
{
  if (out->len > 0)
    br_buf_append_char (out, ',');
  br_buf_printf (out, "{\"declaration\":\"%s/",
                 br_declaration_kind_name (selector->kind));
  print_name (selector->name, out);
  br_buf_printf (out, "\",\"field\":\"%s\",\"matches\":\"%s\"", selector->field,
                 scope_names[selector->scope]);
  print_names ("before", before, out);
  print_names ("after", after, out);
  br_buf_append_char (out, '}');
}

typedef struct
{
  const br_catalog_t *before;
  const br_catalog_t *after;
  br_catalog_selectors_t old_selectors;
  br_match_upstreams_t upstreams;
  const br_paths_t *put;
} report_t;

static bool
report_selector (const report_t *report,
                 const br_catalog_selector_t *selector,
                 br_buf_t *out,
                 br_error_t *err)
{
  const br_catalog_selector_t *old
      = find_selector (&report->old_selectors, selector);
  bool put = is_put (report->put, selector);
  br_names_t before = { 0 };
  br_names_t after = { 0 };
  bool ok = true;

  if (old != NULL)
    br_catalog_match (report->before, &report->upstreams, old, &before);
  br_catalog_match (report->after, &report->upstreams, selector, &after);
  if (put && after.len == 0 && selector->scope != BR_MATCH_OFFERS)
    ok = br_error_set (
        err, BR_ERROR_INVALID, "check declarations", selector->name->data,
        "%s/%s: %s: matches none of the %s known here",
        br_declaration_kind_name (selector->kind), selector->name->data,
        selector->field, scope_names[selector->scope]);
  else if (old == NULL || put || !names_equal (&before, &after))
    print_selector (selector, &before, &after, out);
  br_names_free (&before);
  br_names_free (&after);
  return ok;
}

bool
br_operator_report (const br_node_t *node,
                    const br_catalog_t *before,
                    const br_catalog_t *after,
                    const br_paths_t *put,
                    br_buf_t *out,
                    br_error_t *err)
{
  report_t report = { .before = before, .after = after, .put = put };
  br_catalog_selectors_t selectors = { 0 };
  bool ok;

  report_collect_upstreams (node, &report.upstreams);
  br_catalog_list_selectors (before, &report.old_selectors);
  br_catalog_list_selectors (after, &selectors);
  ok = br_catalog_check_conflicts (after, &report.upstreams, err);
  for (size_t i = 0; ok && i < selectors.len; i++)
    ok = report_selector (&report, &selectors.items[i], out, err);
  br_catalog_selectors_free (&selectors);
  br_catalog_selectors_free (&report.old_selectors);
  br_match_upstreams_free (&report.upstreams);
  return ok;
}

typedef struct
{
  const br_operator_input_t *input;
  br_catalog_t *catalog;
} overlay_t;

static void
overlay_visit (const br_declaration_t *declaration, void *context)
{
  overlay_t *overlay = context;
  br_declaration_kind_t kind;
  br_str_t name = br_str_from (declaration->name);

  if (!br_declaration_kind_parse (br_str_from (declaration->kind), &kind)
      || br_operator_items_find (&overlay->input->put, kind, name) != NULL
      || br_operator_items_find (&overlay->input->remove, kind, name) != NULL)
    return;
  br_catalog_add (overlay->catalog, br_str_from (declaration->json), NULL);
}

void
br_operator_overlay (const br_state_t *state,
                     const br_operator_input_t *input,
                     br_catalog_t *catalog)
{
  overlay_t overlay = { .input = input, .catalog = catalog };

  br_state_each_declaration (state, overlay_visit, &overlay);
  for (size_t i = 0; i < input->put.len; i++)
    br_catalog_add (catalog, br_buf_str (&input->put.items[i].json), NULL);
}
