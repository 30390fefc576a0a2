#include "shell/engine_body.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#define JSON_DEPTH_MAX 32

/* Estimate of a request's cost. */
#define BYTES_PER_TOKEN 4
#define ANSWER_TOKENS_DEFAULT 256 /* without max_tokens */
#define ANSWER_TOKENS_MAX 1000000

/* Parses a JSON text strictly.  Returns NULL, with the reason in *WHY, when it
 * is not valid. */
static json_object *
json_read (br_str_t text, const char **why)
{
  json_tokener *tokener = json_tokener_new_ex (JSON_DEPTH_MAX);
  enum json_tokener_error error;
  json_object *object;

  json_tokener_set_flags (tokener,
                          JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
  object = json_tokener_parse_ex (tokener, text.data, (int)text.len);
  error = json_tokener_get_error (tokener);
  *why = error == json_tokener_continue ? "the JSON text ends too early"
                                        : json_tokener_error_desc (error);
  json_tokener_free (tokener);
  return object;
}

static json_object *
json_member (json_object *object, const char *key, json_type type)
{
  json_object *value;

  if (!json_object_object_get_ex (object, key, &value)
      || !json_object_is_type (value, type))
    return NULL;
  return value;
}

static br_str_t
json_text (json_object *value)
{
  return br_str_make (json_object_get_string (value),
                      (size_t)json_object_get_string_len (value));
}

static bool
body_fault (const char *field, const char *what, br_error_t *err)
{
  return br_error_set (err, BR_ERROR_INVALID, "read request", "", "%s: %s",
                       field, what);
}

static bool
completion_read_fields (json_object *object,
                        br_completion_head_t *head,
                        br_error_t *err)
{
  json_object *model = json_member (object, "model", json_type_string);
  json_object *stream;
  json_object *max_tokens;

  if (model == NULL || json_text (model).len == 0
      || !br_name_set (&head->model, json_text (model)))
    return body_fault ("model", "must be a name of 1 to 62 characters", err);
  if (head->chat && json_member (object, "messages", json_type_array) == NULL)
    return body_fault ("messages", "must be an array", err);
  if (!head->chat && json_member (object, "prompt", json_type_string) == NULL)
    return body_fault ("prompt", "must be a string", err);
  max_tokens = json_member (object, "max_tokens", json_type_int);
  head->max_tokens = BR_MAX (json_object_get_int64 (max_tokens), 0);
  if (!json_object_object_get_ex (object, "stream", &stream))
    return true;
  if (!json_object_is_type (stream, json_type_boolean))
    return body_fault ("stream", "must be true or false", err);
  head->stream = json_object_get_boolean (stream);
  return true;
}

bool
br_completion_read (br_str_t body,
                    bool chat,
                    br_completion_head_t *head,
                    br_error_t *err)
{
  const char *why;
  json_object *object = json_read (body, &why);
  bool ok;

  *head = (br_completion_head_t){ .chat = chat };
  if (!json_object_is_type (object, json_type_object))
    ok = body_fault ("body", object == NULL ? why : "must be an object", err);
  else
    ok = completion_read_fields (object, head, err);
  json_object_put (object);
  return ok;
}

uint64_t
br_completion_tokens (br_str_t body, const br_completion_head_t *head)
{
  uint64_t answer = head->max_tokens > 0 ? (uint64_t)head->max_tokens
                                         : ANSWER_TOKENS_DEFAULT;

  return body.len / BYTES_PER_TOKEN + BR_MIN (answer, ANSWER_TOKENS_MAX);
}

static void
json_add_resume (json_object *object, const br_answer_t *answer)
{
  json_object *resume = json_object_new_object ();
  br_buf_t text = { 0 };

  br_answer_text (answer, &text);
  json_object_object_add (resume, "tokens",
                          json_object_new_int64 ((int64_t)answer->parts.len));
  json_object_object_add (
      resume, "text",
      json_object_new_string_len (text.data != NULL ? text.data : "",
                                  (int)text.len));
  json_object_object_add (object, "resume", resume);
  br_buf_free (&text);
}

void
br_engine_body (br_str_t body, const br_answer_t *answer, br_buf_t *out)
{
  const char *why;
  json_object *object = json_read (body, &why);
  size_t len;
  const char *text;

  json_object_object_add (object, "stream", json_object_new_boolean (1));
  if (answer->parts.len > 0)
    json_add_resume (object, answer);
  text = json_object_to_json_string_length (object, JSON_C_TO_STRING_PLAIN,
                                            &len);
  br_buf_append (out, br_str_make (text, len));
  json_object_put (object);
}

/* Returns the text of CHOICE when it has nothing but text, otherwise NULL. */
static json_object *
choice_plain_text (json_object *choice)
{
  json_object *finish;
  json_object *delta;

  if (json_object_object_get_ex (choice, "finish_reason", &finish)
      && finish != NULL)
    return NULL;
  delta = json_member (choice, "delta", json_type_object);
  if (delta == NULL)
    return json_member (choice, "text", json_type_string);
  if (json_object_object_length (delta) != 1)
    return NULL;
  return json_member (delta, "content", json_type_string);
}

/* Returns whether an event with this object reports an error: it has a member
 * "error" or is an object of type "error". */
static bool
object_is_error (json_object *object)
{
  json_object *error;
  json_object *type = json_member (object, "object", json_type_string);

  if (json_object_object_get_ex (object, "error", &error) && error != NULL)
    return true;
  return type != NULL && br_str_equal (json_text (type), br_str_from ("error"));
}

br_engine_event_t
br_engine_event_read (br_str_t data, br_answer_kind_t *kind, br_buf_t *text)
{
  const char *why;
  json_object *object = json_read (data, &why);
  br_engine_event_t event = BR_ENGINE_EVENT_PART;
  json_object *choices;
  json_object *content = NULL;

  if (!json_object_is_type (object, json_type_object))
    event = BR_ENGINE_EVENT_BAD;
  else if (object_is_error (object))
    event = BR_ENGINE_EVENT_ERROR;
  if (event != BR_ENGINE_EVENT_PART)
    {
      json_object_put (object);
      return event;
    }
  choices = json_member (object, "choices", json_type_array);
  if (choices != NULL && json_object_array_length (choices) == 1)
    content = choice_plain_text (json_object_array_get_idx (choices, 0));
  *kind = content != NULL ? BR_ANSWER_TEXT : BR_ANSWER_RAW;
  br_buf_append (text, content != NULL ? json_text (content) : data);
  json_object_put (object);
  return event;
}

static void
buf_append_json_string (br_buf_t *out, br_str_t text)
{
  json_object *string = json_object_new_string_len (text.data, (int)text.len);

  br_buf_printf (
      out, "%s",
      json_object_to_json_string_ext (string, JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (string);
}

void
br_engine_event_write (const br_answer_t *answer,
                       size_t offset,
                       uint64_t digest,
                       const char *contract,
                       const br_name_t *model,
                       bool chat,
                       br_buf_t *out)
{
  br_str_t bytes = br_answer_part (answer, offset);

  br_buf_printf (out, "id: %zu-%08x\ndata: ", offset + 1, (uint32_t)digest);
  switch (answer->parts.items[offset].kind)
    {
    case BR_ANSWER_RAW:
      br_buf_append (out, bytes);
      break;
    case BR_ANSWER_TEXT:
      br_buf_printf (out,
                     "{\"id\":\"%s\",\"object\":\"%s\",\"model\":\"%s\","
                     "\"choices\":[{\"index\":0,",
                     contract,
                     chat ? "chat.completion.chunk" : "text_completion",
                     model->data);
      br_buf_printf (out, chat ? "\"delta\":{\"content\":" : "\"text\":");
      buf_append_json_string (out, bytes);
      br_buf_printf (out, "%s,\"finish_reason\":null}]}", chat ? "}" : "");
      break;
    }
  br_buf_printf (out, "\n\n");
}

bool
br_event_id_parse (br_str_t text, br_event_id_t *id)
{
  const char *dash = text.len > 0 ? memchr (text.data, '-', text.len) : NULL;
  size_t len = dash != NULL ? (size_t)(dash - text.data) : text.len;
  uint64_t offset = 0;
  char digits[9] = { 0 };
  char *end;

  *id = (br_event_id_t){ 0 };
  if (text.len == 0)
    return true;
  if (!br_str_to_u64 (br_str_make (text.data, len), &offset))
    return false;
  id->offset = (size_t)offset;
  if (dash == NULL)
    return true;
  if (text.len - len - 1 != sizeof digits - 1)
    return false;
  memcpy (digits, dash + 1, sizeof digits - 1);
  id->has_digest = true;
  id->digest = (uint32_t)strtoul (digits, &end, 16);
  return end == digits + sizeof digits - 1;
}

static const char *
answer_finish_reason (const br_answer_t *answer)
{
  size_t last = answer->parts.len;

  if (last > 0 && answer->parts.items[last - 1].kind == BR_ANSWER_RAW)
    {
      br_str_t bytes = br_answer_part (answer, last - 1);
      const char *length = "\"length\"";

      if (memmem (bytes.data, bytes.len, length, strlen (length)) != NULL)
        return "length";
    }
  return "stop";
}

void
br_completion_write (const br_answer_t *answer,
                     const char *contract,
                     const br_name_t *model,
                     bool chat,
                     br_buf_t *out)
{
  br_buf_t text = { 0 };

  br_answer_text (answer, &text);
  br_buf_printf (out,
                 "{\"id\":\"%s\",\"object\":\"%s\",\"model\":\"%s\","
                 "\"choices\":[{\"index\":0,",
                 contract, chat ? "chat.completion" : "text_completion",
                 model->data);
  br_buf_printf (out, chat ? "\"message\":{\"role\":\"assistant\",\"content\":"
                           : "\"text\":");
  buf_append_json_string (out, text.data != NULL ? br_buf_str (&text)
                                                 : br_str_from (""));
  br_buf_printf (out, "%s,\"finish_reason\":\"%s\"}]}", chat ? "}" : "",
                 answer_finish_reason (answer));
  br_buf_free (&text);
}
