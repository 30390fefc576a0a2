#include "shell/operator_input.h"

#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <string.h>

#include "state/command.h"
#include "state/declaration_text.h"
#include "state/state.h"

void
br_operator_input_release (br_operator_input_t *input)
{
  for (size_t i = 0; i < input->put.len; i++)
    br_buf_free (&input->put.items[i].json);
  br_operator_items_free (&input->put);
  br_operator_items_free (&input->remove);
  br_buf_free (&input->operation);
}

const br_operator_item_t *
br_operator_items_find (const br_operator_items_t *items,
                        br_declaration_kind_t kind,
                        br_str_t name)
{
  for (size_t i = 0; i < items->len; i++)
    if (items->items[i].kind == kind
        && br_str_equal (br_name_str (&items->items[i].name), name))
      return &items->items[i];
  return NULL;
}

br_declaration_t **
br_operator_items_to_messages (const br_operator_items_t *items)
{
  br_declaration_t *all
      = br_alloc ((items->len + 1) * sizeof (br_declaration_t));
  br_declaration_t **list
      = br_alloc ((items->len + 1) * sizeof (br_declaration_t *));

  list[0] = all;
  for (size_t i = 0; i < items->len; i++)
    {
      const br_operator_item_t *item = &items->items[i];

      list[i] = &all[i];
      br__state__declaration__init (list[i]);
      list[i]->kind = (char *)br_declaration_kind_name (item->kind);
      list[i]->name = (char *)item->name.data;
      if (item->json.len > 0)
        list[i]->json = item->json.data;
    }
  return list;
}

void
br_operator_messages_free (br_declaration_t **list)
{
  free (list[0]);
  free (list);
}

/* Drops the characters that JSON and the log would have to escape. */
static void
input_set_operation (br_operator_input_t *input, const char *name)
{
  for (const char *c = name; c != NULL && *c != '\0'; c++)
    if ((unsigned char)*c > ' ' && *c != '"' && *c != '\\')
      br_buf_append_char (&input->operation, *c);
}

bool
br_operator_input_read_query (br_operator_input_t *input,
                              struct evhttp_request *request,
                              br_error_t *err)
{
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (request);
  const char *text = evhttp_uri_get_query (uri);
  struct evkeyvalq query;
  const char *expect;
  bool ok = true;

  if (evhttp_parse_query_str (text != NULL ? text : "", &query) != 0)
    return br_error_set (err, BR_ERROR_INVALID, "read request", "",
                         "the query does not parse");
  expect = evhttp_find_header (&query, "expect");
  input->expects = expect != NULL;
  if (expect != NULL
      && !br_str_to_u64 (br_str_from (expect), &input->expected_revision))
    ok = br_error_set (err, BR_ERROR_INVALID, "read request", "",
                       "expect: must be a revision");
  input->dry_run = evhttp_find_header (&query, "dry_run") != NULL;
  input_set_operation (input, evhttp_find_header (&query, "operation"));
  evhttp_clear_headers (&query);
  return ok;
}

static bool
input_add_put (br_operator_input_t *input,
               const br_declaration_text_t *text,
               br_error_t *err)
{
  br_operator_item_t item = { 0 };
  br_error_t inner;

  if (!br_catalog_check (br_buf_str (&text->json), &item.kind, &item.name,
                         &inner))
    return br_error_set (err, inner.code, inner.step, inner.peer, "line %d: %s",
                         text->line, inner.text);
  if (br_operator_items_find (&input->put, item.kind, br_name_str (&item.name))
      != NULL)
    return br_error_set (
        err, BR_ERROR_CONFLICT, "check declarations", item.name.data,
        "line %d: %s/%s: is declared twice in this request", text->line,
        br_declaration_kind_name (item.kind), item.name.data);
  br_buf_append (&item.json, br_buf_str (&text->json));
  br_operator_items_push (&input->put, item);
  return true;
}

bool
br_operator_input_read_body (br_operator_input_t *input,
                             br_str_t body,
                             br_error_t *err)
{
  br_declaration_texts_t texts = { 0 };
  bool ok = true;

  if (body.len > BR_STATE_CHANGE_MAX_BYTES)
    return br_error_set (err, BR_ERROR_TOO_LARGE, "read declarations", "",
                         "the declarations of one operation are over %d bytes",
                         BR_STATE_CHANGE_MAX_BYTES);
  if (!br_declaration_texts_parse (body, &texts, err))
    return false;
  for (size_t i = 0; ok && i < texts.len; i++)
    ok = input_add_put (input, &texts.items[i], err);
  br_declaration_texts_release (&texts);
  return ok;
}

bool
br_operator_input_read_path (br_operator_input_t *input,
                             br_str_t path,
                             br_error_t *err)
{
  const char *slash = memchr (path.data, '/', path.len);
  size_t kind_len = slash != NULL ? (size_t)(slash - path.data) : 0;
  br_operator_item_t item = { 0 };

  if (slash == NULL
      || !br_declaration_kind_parse (br_str_make (path.data, kind_len),
                                     &item.kind)
      || !br_name_set (&item.name,
                       br_str_make (slash + 1, path.len - kind_len - 1)))
    return br_error_set (err, BR_ERROR_INVALID, "read request", "",
                         "the path must end with KIND/NAME");
  br_operator_items_push (&input->remove, item);
  return true;
}

bool
br_operator_settle_read_query (struct evhttp_request *request,
                               br_buf_t *command,
                               br_error_t *err)
{
  const char *text
      = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request));
  struct evkeyvalq query;
  br_claim_state_t state;
  const char *key;
  const char *as;
  bool ok;

  if (evhttp_parse_query_str (text != NULL ? text : "", &query) != 0)
    return br_error_set (err, BR_ERROR_INVALID, "read request", "",
                         "the query does not parse");
  key = evhttp_find_header (&query, "key");
  as = evhttp_find_header (&query, "as");
  ok = key != NULL && as != NULL
       && br_claim_state_parse (br_str_from (as), &state)
       && (state == BR_CLAIM_ANSWERED || state == BR_CLAIM_NOT_RUN);
  if (ok)
    br_state_command_settle (br_str_from (key), state, command);
  else
    br_error_set (err, BR_ERROR_INVALID, "read request", "",
                  "key, and as=answered or as=not-run, are required");
  evhttp_clear_headers (&query);
  return ok;
}
