#include "http/error_body.h"

#include <json-c/json.h>

void
br_http_error_json (const br_error_t *err, br_buf_t *out)
{
  bool unknown = err->code == BR_ERROR_UNKNOWN_OUTCOME || err->may_have_run;
  json_object *object = json_object_new_object ();
  json_object *inner = json_object_new_object ();

  json_object_object_add (inner, "code",
                          json_object_new_string (br_error_name (err->code)));
  json_object_object_add (inner, "step", json_object_new_string (err->step));
  json_object_object_add (inner, "peer", json_object_new_string (err->peer));
  json_object_object_add (inner, "message", json_object_new_string (err->text));
  json_object_object_add (
      inner, "outcome",
      json_object_new_string (err->code == BR_ERROR_ANSWER_GONE ? "answered"
                              : unknown                         ? "unknown"
                                                                : "not_run"));
  if (err->key_unknown)
    json_object_object_add (inner, "key_outcome",
                            json_object_new_string ("unknown"));
  if (err->retry_after_ms > 0)
    json_object_object_add (inner, "retry_after_ms",
                            json_object_new_int64 (err->retry_after_ms));
  json_object_object_add (object, "error", inner);
  br_buf_printf (
      out, "%s\n",
      json_object_to_json_string_ext (
          object, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (object);
}
