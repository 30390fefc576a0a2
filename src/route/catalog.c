#include "route/catalog.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#define JSON_DEPTH_MAX 8

/* Type of a declaration's key: the JSON type that it takes and the type of the
 * field that stores it. */
typedef enum
{
  KEY_SELECTOR,
  KEY_LABELS,
  KEY_NAME,
  KEY_DIGEST,
  KEY_INT,
  KEY_BOOL,
  KEY_ANSWERS,
} key_kind_t;

typedef struct
{
  const char *key;
  key_kind_t kind;
  size_t offset;
  bool required;
  int64_t minimum;
  int64_t maximum;
  int64_t fallback;
} key_row_t;

static const key_row_t service_keys[] = {
  { "answers", KEY_ANSWERS, offsetof (br_service_t, kind), false, 0, 0, 0 },
  { "selector", KEY_SELECTOR, offsetof (br_service_t, upstreams), true, 0, 0,
    0 },
  { "workloads", KEY_SELECTOR, offsetof (br_service_t, workloads), false, 0, 0,
    0 },
  { "repeatable", KEY_BOOL, offsetof (br_service_t, repeatable), false, 0, 0,
    1 },
  { "retention_s", KEY_INT, offsetof (br_service_t, retention_s), false, 60,
    2592000, 86400 },
  { "first_token_ms", KEY_INT, offsetof (br_service_t, first_token_ms), false,
    1, 600000, 1100 },
  { "token_gap_ms", KEY_INT, offsetof (br_service_t, token_gap_ms), false, 1,
    60000, 28 },
};

static const key_row_t organisation_keys[] = {
  { "selector", KEY_SELECTOR, offsetof (br_organisation_t, workloads), true, 0,
    0, 0 },
  { "weight", KEY_INT, offsetof (br_organisation_t, weight), false, 1, 1000,
    1 },
  { "requests_per_second", KEY_INT,
    offsetof (br_organisation_t, requests_per_second), false, 0, 1000000, 0 },
  { "in_flight", KEY_INT, offsetof (br_organisation_t, in_flight), false, 0,
    1000000, 0 },
};

static const key_row_t workload_keys[] = {
  { "key_digest", KEY_DIGEST, offsetof (br_workload_t, key_digest), true, 0, 0,
    0 },
  { "labels", KEY_LABELS, offsetof (br_workload_t, labels), true, 0, 0, 0 },
};

static const key_row_t target_keys[] = {
  { "labels", KEY_LABELS, offsetof (br_target_labels_t, labels), true, 0, 0,
    0 },
};

static const key_row_t placement_keys[] = {
  { "service", KEY_NAME, offsetof (br_placement_t, service), true, 0, 0, 0 },
  { "selector", KEY_SELECTOR, offsetof (br_placement_t, vms), true, 0, 0, 0 },
  { "minimum", KEY_INT, offsetof (br_placement_t, minimum), false, 0, 10000,
    1 },
  { "maximum", KEY_INT, offsetof (br_placement_t, maximum), true, 0, 10000, 0 },
  { "reclaimable_percent", KEY_INT,
    offsetof (br_placement_t, reclaimable_percent), false, 0, 100, 50 },
};

typedef struct
{
  const char *name;
  const key_row_t *keys;
  size_t n_keys;
} kind_row_t;

#define KIND_ROW(name, keys)                                                   \
  {                                                                            \
    name, keys, BR_N_ELEMENTS (keys)                                           \
  }

static const kind_row_t kind_rows[BR_DECLARATION_COUNT] = {
  [BR_DECLARATION_SERVICE] = KIND_ROW ("service", service_keys),
  [BR_DECLARATION_ORGANISATION] = KIND_ROW ("organisation", organisation_keys),
  [BR_DECLARATION_WORKLOAD] = KIND_ROW ("workload", workload_keys),
  [BR_DECLARATION_LABELS] = KIND_ROW ("labels", target_keys),
  [BR_DECLARATION_PLACEMENT] = KIND_ROW ("placement", placement_keys),
};

/* A declaration of any kind, read but not yet in a catalog. */
typedef struct
{
  br_declaration_kind_t kind;
  union
  {
    br_name_t name; /* the first member of each of these */
    br_service_t service;
    br_organisation_t organisation;
    br_workload_t workload;
    br_target_labels_t target;
    br_placement_t placement;
  };
} declaration_t;

const char *
br_declaration_kind_name (br_declaration_kind_t kind)
{
  return kind_rows[kind].name;
}

bool
br_declaration_kind_parse (br_str_t text, br_declaration_kind_t *kind)
{
  for (int i = 0; i < BR_DECLARATION_COUNT; i++)
    if (br_str_equal (text, br_str_from (kind_rows[i].name)))
      {
        *kind = (br_declaration_kind_t)i;
        return true;
      }
  return false;
}

static bool
declaration_error (const declaration_t *declaration,
                   const char *key,
                   const char *what,
                   br_error_t *err)
{
  return br_error_set (err, BR_ERROR_INVALID, "check declaration",
                       declaration->name.data, "%s/%s: %s: %s",
                       kind_rows[declaration->kind].name,
                       declaration->name.data, key, what);
}

static br_str_t
json_text (json_object *value)
{
  return br_str_make (json_object_get_string (value),
                      (size_t)json_object_get_string_len (value));
}

static bool
read_labels (json_object *value, br_labels_t *labels)
{
  json_object_object_foreach (value, key, member)
  {
    if (!json_object_is_type (member, json_type_string)
        || !br_labels_set (labels, br_str_from (key), json_text (member)))
      return false;
  }
  return true;
}

static bool
read_answers (json_object *value, br_service_kind_t *kind)
{
  br_str_t text = json_text (value);

  *kind = br_str_equal (text, br_str_from ("plain")) ? BR_SERVICE_PLAIN
                                                     : BR_SERVICE_MODEL;
  return *kind == BR_SERVICE_PLAIN
         || br_str_equal (text, br_str_from ("model"));
}

static json_type
key_json_type (key_kind_t kind)
{
  switch (kind)
    {
    case KEY_LABELS:
      return json_type_object;
    case KEY_INT:
      return json_type_int;
    case KEY_BOOL:
      return json_type_boolean;
    case KEY_SELECTOR:
    case KEY_NAME:
    case KEY_DIGEST:
    case KEY_ANSWERS:
      break;
    }
  return json_type_string;
}

static bool
read_int (const declaration_t *declaration,
          const key_row_t *row,
          json_object *value,
          int64_t *field,
          br_error_t *err)
{
  char what[96];

  *field = json_object_get_int64 (value);
  if (*field >= row->minimum && *field <= row->maximum)
    return true;
  snprintf (what, sizeof what,
            "%" PRId64 " is out of range %" PRId64 " to %" PRId64, *field,
            row->minimum, row->maximum);
  return declaration_error (declaration, row->key, what, err);
}

static bool
read_key (declaration_t *declaration,
          const key_row_t *row,
          json_object *value,
          br_error_t *err)
{
  void *field = (char *)&declaration->name + row->offset;
  br_error_t inner;
  json_type type = key_json_type (row->kind);

  if (!json_object_is_type (value, type))
    {
      snprintf (inner.text, sizeof inner.text,
                "must be a JSON value of type %s", json_type_to_name (type));
      return declaration_error (declaration, row->key, inner.text, err);
    }
  switch (row->kind)
    {
    case KEY_SELECTOR:
      return br_selector_parse (json_text (value), field, &inner)
             || declaration_error (declaration, row->key, inner.text, err);
    case KEY_LABELS:
      return read_labels (value, field)
             || declaration_error (
                 declaration, row->key,
                 "values must be strings of at most 62 characters", err);
    case KEY_NAME:
      return (json_text (value).len > 0
              && br_name_set (field, json_text (value)))
             || declaration_error (declaration, row->key,
                                   "must have 1 to 62 characters", err);
    case KEY_DIGEST:
      return br_digest_parse (json_text (value), field)
             || declaration_error (declaration, row->key,
                                   "must be sha256: and 64 hexadecimal digits",
                                   err);
    case KEY_INT:
      return read_int (declaration, row, value, field, err);
    case KEY_BOOL:
      *(bool *)field = json_object_get_boolean (value);
      return true;
    case KEY_ANSWERS:
      return read_answers (value, field)
             || declaration_error (declaration, row->key,
                                   "must be \"model\" or \"plain\"", err);
    }
  return false;
}

static void
declaration_set_defaults (declaration_t *declaration)
{
  const kind_row_t *kind = &kind_rows[declaration->kind];

  for (size_t i = 0; i < kind->n_keys; i++)
    {
      const key_row_t *row = &kind->keys[i];
      void *field = (char *)&declaration->name + row->offset;

      if (row->kind == KEY_INT)
        *(int64_t *)field = row->fallback;
      else if (row->kind == KEY_BOOL)
        *(bool *)field = row->fallback != 0;
    }
}

static bool
declaration_check_keys (declaration_t *declaration,
                        json_object *object,
                        br_error_t *err)
{
  const kind_row_t *kind = &kind_rows[declaration->kind];

  json_object_object_foreach (object, key, value)
  {
    bool known = strcmp (key, "kind") == 0 || strcmp (key, "name") == 0;

    (void)value;
    for (size_t i = 0; i < kind->n_keys && !known; i++)
      known = strcmp (kind->keys[i].key, key) == 0;
    if (!known)
      return declaration_error (declaration, key, "unknown key", err);
  }
  return true;
}

static bool
declaration_read_keys (declaration_t *declaration,
                       json_object *object,
                       br_error_t *err)
{
  const kind_row_t *kind = &kind_rows[declaration->kind];

  declaration_set_defaults (declaration);
  for (size_t i = 0; i < kind->n_keys; i++)
    {
      const key_row_t *row = &kind->keys[i];
      json_object *value;

      if (json_object_object_get_ex (object, row->key, &value))
        {
          if (!read_key (declaration, row, value, err))
            return false;
        }
      else if (row->required)
        return declaration_error (declaration, row->key,
                                  "is required and missing", err);
    }
  return true;
}

static bool
declaration_read_head (declaration_t *declaration,
                       json_object *object,
                       br_error_t *err)
{
  json_object *kind;
  json_object *name;

  if (!json_object_object_get_ex (object, "kind", &kind)
      || !json_object_is_type (kind, json_type_string)
      || !br_declaration_kind_parse (json_text (kind), &declaration->kind))
    return br_error_set (err, BR_ERROR_INVALID, "check declaration", "",
                         "kind: must be service, organisation, workload, "
                         "labels or placement");
  if (!json_object_object_get_ex (object, "name", &name)
      || !json_object_is_type (name, json_type_string)
      || json_text (name).len == 0
      || !br_name_set (&declaration->name, json_text (name)))
    return br_error_set (err, BR_ERROR_INVALID, "check declaration", "",
                         "%s: name: must have 1 to 62 characters",
                         kind_rows[declaration->kind].name);
  return true;
}

/* Checks the keys of a declaration against each other. */
static bool
declaration_check_whole (const declaration_t *declaration, br_error_t *err)
{
  if (declaration->kind == BR_DECLARATION_SERVICE
      && declaration->service.kind == BR_SERVICE_MODEL
      && !declaration->service.repeatable)
    return declaration_error (declaration, "repeatable",
                              "false requires \"answers\": \"plain\"", err);
  return true;
}

static void
declaration_release (declaration_t *declaration)
{
  switch (declaration->kind)
    {
    case BR_DECLARATION_SERVICE:
      br_selector_release (&declaration->service.upstreams);
      br_selector_release (&declaration->service.workloads);
      break;
    case BR_DECLARATION_ORGANISATION:
      br_selector_release (&declaration->organisation.workloads);
      break;
    case BR_DECLARATION_WORKLOAD:
      br_labels_free (&declaration->workload.labels);
      break;
    case BR_DECLARATION_LABELS:
      br_labels_free (&declaration->target.labels);
      break;
    case BR_DECLARATION_PLACEMENT:
      br_selector_release (&declaration->placement.vms);
      break;
    case BR_DECLARATION_COUNT:
      break;
    }
}

static bool
declaration_parse (br_str_t json, declaration_t *declaration, br_error_t *err)
{
  json_tokener *tokener = json_tokener_new_ex (JSON_DEPTH_MAX);
  json_object *object;
  bool ok = false;

  memset (declaration, 0, sizeof *declaration);
  json_tokener_set_flags (tokener, JSON_TOKENER_STRICT);
  object = json_tokener_parse_ex (tokener, json.data, (int)json.len);
  if (!json_object_is_type (object, json_type_object))
    {
      br_error_set (err, BR_ERROR_INVALID, "check declaration", "",
                    "the declaration is not a JSON object: %s",
                    json_tokener_error_desc (json_tokener_get_error (tokener)));
      goto out;
    }
  ok = declaration_read_head (declaration, object, err)
       && declaration_check_keys (declaration, object, err)
       && declaration_read_keys (declaration, object, err)
       && declaration_check_whole (declaration, err);
  if (!ok)
    declaration_release (declaration);
out:
  json_object_put (object);
  json_tokener_free (tokener);
  return ok;
}

bool
br_catalog_add (br_catalog_t *catalog, br_str_t json, br_error_t *err)
{
  declaration_t declaration;

  if (!declaration_parse (json, &declaration, err))
    return false;
  switch (declaration.kind)
    {
    case BR_DECLARATION_SERVICE:
      br_services_push (&catalog->services, declaration.service);
      break;
    case BR_DECLARATION_ORGANISATION:
      br_organisations_push (&catalog->organisations, declaration.organisation);
      break;
    case BR_DECLARATION_WORKLOAD:
      br_workloads_push (&catalog->workloads, declaration.workload);
      break;
    case BR_DECLARATION_LABELS:
      br_targets_push (&catalog->targets, declaration.target);
      break;
    case BR_DECLARATION_PLACEMENT:
      br_placements_push (&catalog->placements, declaration.placement);
      break;
    case BR_DECLARATION_COUNT:
      break;
    }
  return true;
}

bool
br_catalog_check (br_str_t json,
                  br_declaration_kind_t *kind,
                  br_name_t *name,
                  br_error_t *err)
{
  declaration_t declaration;

  if (!declaration_parse (json, &declaration, err))
    return false;
  *kind = declaration.kind;
  *name = declaration.name;
  declaration_release (&declaration);
  return true;
}

#define RELEASE_ALL(list, member, tag)                                         \
  for (size_t i = 0; i < (list).len; i++)                                      \
    {                                                                          \
      declaration_t one = { .kind = (tag) };                                   \
      one.member = (list).items[i];                                            \
      declaration_release (&one);                                              \
    }

void
br_catalog_release (br_catalog_t *catalog)
{
  RELEASE_ALL (catalog->services, service, BR_DECLARATION_SERVICE);
  RELEASE_ALL (catalog->organisations, organisation,
               BR_DECLARATION_ORGANISATION);
  RELEASE_ALL (catalog->workloads, workload, BR_DECLARATION_WORKLOAD);
  RELEASE_ALL (catalog->targets, target, BR_DECLARATION_LABELS);
  RELEASE_ALL (catalog->placements, placement, BR_DECLARATION_PLACEMENT);
  br_services_free (&catalog->services);
  br_organisations_free (&catalog->organisations);
  br_workloads_free (&catalog->workloads);
  br_targets_free (&catalog->targets);
  br_placements_free (&catalog->placements);
}
