#include "site/event_stream.h"

#include <string.h>
#include <strings.h>

static const char id_field[] = "id:";

#define ID_FIELD_LEN (sizeof id_field - 1)

/* Returns the length of the first line of TEXT with its line end, and in *LEN
 * the length without it; 0 when the line is incomplete. */
static size_t
line_length (br_str_t text, size_t *len)
{
  const char *end = text.len > 0 ? memchr (text.data, '\n', text.len) : NULL;

  if (end == NULL)
    return 0;
  *len = (size_t)(end - text.data);
  if (*len > 0 && text.data[*len - 1] == '\r')
    (*len)--;
  return (size_t)(end - text.data) + 1;
}

static void
stream_note_id (br_event_stream_t *stream, br_str_t line)
{
  br_str_t id;

  if (line.len < ID_FIELD_LEN
      || strncasecmp (line.data, id_field, ID_FIELD_LEN) != 0)
    return;
  id = br_str_make (line.data + ID_FIELD_LEN, line.len - ID_FIELD_LEN);
  while (id.len > 0 && id.data[0] == ' ')
    id = br_str_make (id.data + 1, id.len - 1);
  br_buf_clear (&stream->last_id);
  br_buf_append (&stream->last_id, id);
}

/* Records the id of the event in TEXT, which must be complete. */
static void
stream_note_event (br_event_stream_t *stream, br_str_t text)
{
  size_t len;
  size_t used;

  while ((used = line_length (text, &len)) > 0)
    {
      stream_note_id (stream, br_str_make (text.data, len));
      text = br_str_make (text.data + used, text.len - used);
    }
  stream->passed++;
}

/* Returns the length of the first event in TEXT with its empty line; 0 when the
 * event is incomplete. */
static size_t
event_length (br_str_t text)
{
  size_t total = 0;
  size_t len;
  size_t used;

  while ((used = line_length (br_str_make (text.data + total, text.len - total),
                              &len))
         > 0)
    {
      total += used;
      if (len == 0)
        return total;
    }
  return 0;
}

br_str_t
br_event_stream_take (br_event_stream_t *stream, br_str_t bytes)
{
  size_t whole = 0;
  size_t len;

  br_buf_append (&stream->pending, bytes);
  while ((len = event_length (br_str_make (stream->pending.data + whole,
                                           stream->pending.len - whole)))
         > 0)
    {
      stream_note_event (stream,
                         br_str_make (stream->pending.data + whole, len));
      whole += len;
    }
  br_buf_clear (&stream->output);
  br_buf_append (&stream->output, br_str_make (stream->pending.data, whole));
  br_buf_consume (&stream->pending, whole);
  return br_buf_str (&stream->output);
}

bool
br_event_stream_is_inside_event (const br_event_stream_t *stream)
{
  return stream->pending.len > 0;
}

void
br_event_stream_discard (br_event_stream_t *stream)
{
  br_buf_clear (&stream->pending);
}

br_str_t
br_event_stream_last (const br_event_stream_t *stream)
{
  return br_buf_str (&stream->last_id);
}

void
br_event_stream_release (br_event_stream_t *stream)
{
  br_buf_free (&stream->pending);
  br_buf_free (&stream->output);
  br_buf_free (&stream->last_id);
}
