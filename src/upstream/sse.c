#include "upstream/sse.h"

#include <string.h>

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

static void
sse_add_line (br_sse_t *sse, br_str_t line, bool *has_data)
{
  br_str_t field = br_str_from ("data:");

  if (!br_str_starts_with (line, field))
    return;
  line = br_str_make (line.data + field.len, line.len - field.len);
  if (line.len > 0 && line.data[0] == ' ')
    line = br_str_make (line.data + 1, line.len - 1);
  if (*has_data)
    br_buf_append_char (&sse->data, '\n');
  br_buf_append (&sse->data, line);
  *has_data = true;
}

bool
br_sse_next (br_sse_t *sse, br_str_t *data)
{
  size_t start = sse->taken;
  bool has_data = false;
  br_str_t line;

  br_buf_clear (&sse->data);
  while (sse_take_line (sse, &line))
    {
      if (line.len > 0)
        {
          sse_add_line (sse, line, &has_data);
          continue;
        }
      if (has_data)
        {
          *data = br_buf_str (&sse->data);
          return true;
        }
      start = sse->taken;
    }
  sse->taken = start;
  return false;
}

void
br_sse_free (br_sse_t *sse)
{
  br_buf_free (&sse->pending);
  br_buf_free (&sse->data);
}
