#include "upstream/sse.h"

#include <string.h>
#include <strings.h>

bool
br_sse_feed (br_sse_t *sse, br_str_t bytes)
{
  br_buf_consume (&sse->pending, sse->taken);
  sse->taken = 0;
  br_buf_append (&sse->pending, bytes);
  return sse->pending.len <= BR_SSE_EVENT_MAX;
}

/* Takes one line without its line end.  Returns false when no complete line is
 * pending. */
static bool
sse_take_line (br_sse_t *sse, br_str_t *line)
{
  const char *start = sse->pending.data + sse->taken;
  size_t len = sse->pending.len - sse->taken;
  const char *end = len > 0 ? memchr (start, '\n', len) : NULL;

  if (end == NULL)
    return false;
  *line = br_str_make (start, (size_t)(end - start));
  sse->taken += line->len + 1;
  if (line->len > 0 && line->data[line->len - 1] == '\r')
    line->len--;
  return true;
}

typedef struct
{
  bool has_data;
  bool is_error;
} event_t;

/* Splits LINE into the name and the value of a field. */
static void
line_split (br_str_t line, br_str_t *name, br_str_t *value)
{
  const char *colon = memchr (line.data, ':', line.len);

  *name = line;
  *value = br_str_make ("", 0);
  if (colon == NULL)
    return;
  name->len = (size_t)(colon - line.data);
  *value = br_str_make (colon + 1, line.len - name->len - 1);
  if (value->len > 0 && value->data[0] == ' ')
    *value = br_str_make (value->data + 1, value->len - 1);
}

/* Returns false when LINE belongs to no event. */
static bool
sse_add_line (br_sse_t *sse, br_str_t line, event_t *event)
{
  br_str_t name;
  br_str_t value;

  line_split (line, &name, &value);
  if (br_str_equal (name, br_str_from ("event")))
    event->is_error = br_str_equal (value, br_str_from ("error"));
  else if (br_str_equal (name, br_str_from ("data")))
    {
      if (event->has_data)
        br_buf_append_char (&sse->data, '\n');
      br_buf_append (&sse->data, value);
      event->has_data = true;
    }
  else
    return name.len == 0 || br_str_equal (name, br_str_from ("id"))
           || br_str_equal (name, br_str_from ("retry"));
  return true;
}

br_sse_result_t
br_sse_next (br_sse_t *sse, br_str_t *data)
{
  size_t start = sse->taken;
  event_t event = { 0 };
  br_str_t line;

  br_buf_clear (&sse->data);
  while (sse_take_line (sse, &line))
    {
      if (line.len > 0)
        {
          if (!sse_add_line (sse, line, &event))
            return BR_SSE_BAD;
          continue;
        }
      if (event.is_error)
        return BR_SSE_ERROR;
      if (event.has_data)
        {
          *data = br_buf_str (&sse->data);
          return BR_SSE_EVENT;
        }
      event = (event_t){ 0 };
      start = sse->taken;
    }
  sse->taken = start;
  return BR_SSE_MORE;
}

bool
br_sse_is_content_type (br_str_t value)
{
  static const char type[] = "text/event-stream";
  size_t len = sizeof type - 1;

  return value.len >= len && strncasecmp (value.data, type, len) == 0
         && (value.len == len || value.data[len] == ';'
             || value.data[len] == ' ');
}

void
br_sse_free (br_sse_t *sse)
{
  br_buf_free (&sse->pending);
  br_buf_free (&sse->data);
}
