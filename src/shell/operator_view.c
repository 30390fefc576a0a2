#include "shell/operator_view.h"

#include <event2/keyvalq_struct.h>
#include <inttypes.h>
#include <json-c/json.h>

#include "shell/domain_task.h"
#include "shell/http_reply.h"
#include "shell/peer_task.h"
#include "shell/replica_task.h"
#include "shell/work_task.h"

#define CLAIMS_PER_REPLY_MAX 1000

#define JSON_FLAGS (JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE)

static void
reply_json (struct evhttp_request *request, json_object *object)
{
  br_buf_t out = { 0 };

  br_buf_printf (&out, "%s\n",
                 json_object_to_json_string_ext (object, JSON_FLAGS));
  br_http_reply (request, HTTP_OK, "application/json", br_buf_str (&out));
  br_buf_free (&out);
}

static bool
read_query (struct evhttp_request *request, struct evkeyvalq *query)
{
  const char *text
      = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request));

  return evhttp_parse_query_str (text != NULL ? text : "", query) == 0;
}

typedef struct
{
  br_str_t kind; /* empty: every kind */
  br_selector_t selector;
  json_object *list;
} declarations_view_t;

/* Adds the "labels" of a declaration's JSON to LABELS. */
static void
add_labels (json_object *object, br_labels_t *labels)
{
  json_object *members;

  if (!json_object_object_get_ex (object, "labels", &members)
      || !json_object_is_type (members, json_type_object))
    return;
  json_object_object_foreach (members, key, value)
  {
    br_labels_set (labels, br_str_from (key),
                   br_str_from (json_object_get_string (value)));
  }
}

static void
view_declaration (const br_declaration_t *declaration, void *context)
{
  declarations_view_t *view = context;
  br_str_t kind = br_str_from (declaration->kind);
  br_labels_t labels = { 0 };
  json_object *object;

  if (view->kind.len > 0 && !br_str_equal (view->kind, kind))
    return;
  object = json_tokener_parse (declaration->json);
  add_labels (object, &labels);
  br_labels_set (&labels, br_str_from ("kind"), kind);
  br_labels_set (&labels, br_str_from ("name"),
                 br_str_from (declaration->name));
  if (br_selector_matches (&view->selector, &labels))
    json_object_array_add (view->list, object);
  else
    json_object_put (object);
  br_labels_free (&labels);
}

static bool
view_read (declarations_view_t *view,
           const char *kind,
           const char *selector,
           br_error_t *err)
{
  br_declaration_kind_t parsed;

  view->kind = br_str_from (kind);
  if (kind != NULL && !br_declaration_kind_parse (view->kind, &parsed))
    return br_error_set (err, BR_ERROR_INVALID, "read request", "",
                         "kind: unknown kind %s", kind);
  return br_selector_parse (br_str_from (selector), &view->selector, err);
}

void
br_operator_view_declarations (br_node_t *node, struct evhttp_request *request)
{
  declarations_view_t view = { 0 };
  struct evkeyvalq query;
  json_object *object;
  br_error_t err;

  if (!read_query (request, &query))
    {
      br_error_set (&err, BR_ERROR_INVALID, "read request", "",
                    "the query does not parse");
      br_http_reply_error (request, &err);
      return;
    }
  if (!view_read (&view, evhttp_find_header (&query, "kind"),
                  evhttp_find_header (&query, "selector"), &err))
    {
      br_http_reply_error (request, &err);
      evhttp_clear_headers (&query);
      return;
    }
  object = json_object_new_object ();
  view.list = json_object_new_array ();
  br_state_each_declaration (node->state, view_declaration, &view);
  json_object_object_add (
      object, "revision",
      json_object_new_int64 ((int64_t)br_state_revision (node->state)));
  json_object_object_add (object, "declarations", view.list);
  reply_json (request, object);
  json_object_put (object);
  br_selector_release (&view.selector);
  evhttp_clear_headers (&query);
}

typedef struct
{
  const br_state_t *state;
  br_claim_state_t claim_state;
  json_object *list;
} claims_view_t;

static void
view_claim (const br_claim_record_t *claim, void *context)
{
  claims_view_t *view = context;
  json_object *object;
  br_ms_t settle_in;

  if (claim->state != view->claim_state
      || json_object_array_length (view->list) >= CLAIMS_PER_REPLY_MAX)
    return;
  object = json_object_new_object ();
  settle_in = (br_ms_t)claim->until_ms - br_state_now (view->state);
  json_object_object_add (object, "key", json_object_new_string (claim->key));
  json_object_object_add (
      object, "state",
      json_object_new_string (br_claim_state_name (claim->state)));
  json_object_object_add (object, "vm",
                          json_object_new_string (claim->owner->vm));
  json_object_object_add (object, "attempt",
                          json_object_new_int64 (claim->attempt));
  json_object_object_add (object, "settled",
                          json_object_new_boolean (claim->settled));
  if (claim->state == BR_CLAIM_ANSWERED)
    json_object_object_add (object, "status",
                            json_object_new_int64 (claim->status));
  if (claim->state == BR_CLAIM_UNKNOWN)
    json_object_object_add (object, "settle_in_ms",
                            json_object_new_int64 (BR_MAX (settle_in, 0)));
  json_object_array_add (view->list, object);
}

void
br_operator_view_claims (br_node_t *node, struct evhttp_request *request)
{
  claims_view_t view
      = { .state = node->state, .claim_state = BR_CLAIM_UNKNOWN };
  struct evkeyvalq query;
  json_object *object;
  const char *state = NULL;
  br_error_t err;
  bool ok = read_query (request, &query);

  if (ok)
    state = evhttp_find_header (&query, "state");
  if (ok && state != NULL)
    ok = br_claim_state_parse (br_str_from (state), &view.claim_state);
  evhttp_clear_headers (&query);
  if (!ok)
    {
      br_error_set (
          &err, BR_ERROR_INVALID, "read request", "",
          "state: must be claimed, sent, answered, not-run or unknown");
      br_http_reply_error (request, &err);
      return;
    }
  object = json_object_new_object ();
  view.list = json_object_new_array ();
  br_state_each_claim (node->state, view_claim, &view);
  json_object_object_add (object, "claims", view.list);
  reply_json (request, object);
  json_object_put (object);
}

void
br_operator_view_status (br_node_t *node,
                         const br_operator_catalog_t *catalog,
                         struct evhttp_request *request)
{
  br_buf_t out = { 0 };

  br_buf_printf (
      &out,
      "{\"vm\":\"%s\",\"incarnation\":%" PRIu64
      ",\"failure_domain\":\"%s\",\"revision\":%" PRIu64 ",\"applied\":%" PRIu64
      ",\"draining\":%s,\"in_progress\":%zu,\"revisions\":[",
      node->settings.vm.data, node->incarnation,
      node->settings.failure_domain.data, node->catalog.revision,
      br_state_applied (node->state), node->draining ? "true" : "false",
      br_work_task_in_progress (node->works));
  br_operator_catalog_print (catalog, &out);
  br_buf_printf (&out, "],\"peers\":[");
  if (node->peers != NULL)
    br_peer_task_status (node->peers, &out);
  br_buf_printf (&out, "],\"members\":");
  br_domain_task_status (node->domain, &out);
  br_buf_printf (&out, ",\"replica\":");
  br_replica_task_status (node->replica, &out);
  br_buf_printf (&out, "}\n");
  br_http_reply (request, HTTP_OK, "application/json", br_buf_str (&out));
  br_buf_free (&out);
}
