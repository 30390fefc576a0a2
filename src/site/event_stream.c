#include "site/event_stream.h"

#include <string.h>
#include <strings.h>

/* Equal steps between ids after which a longer one means that events are
 * missing.  Before that the upstream may count something other than events. */
#define STEPS_MIN 2

static const char *const fault_names[] = {
#define X(id, name) name,
  BR_EVENT_FAULT_TABLE (X)
#undef X
};

/* The fields of the HTML standard, section 9.2; a comment has no name. */
static const char *const standard_fields[]
    = { "", "id", "data", "event", "retry" };

/* What one event says. */
typedef struct
{
  br_str_t id; /* empty: none */
  bool has_data;
  bool valid; /* all lines are fields */
} event_t;

const char *
br_event_fault_name (br_event_fault_t fault)
{
  return fault_names[fault];
}

bool
br_event_stream_is_type (br_str_t content_type)
{
  static const char type[] = "text/event-stream";
  size_t len = sizeof type - 1;

  if (content_type.len == 0)
    return true;
  return content_type.len >= len
         && strncasecmp (content_type.data, type, len) == 0
         && (content_type.len == len
             || memchr ("; \t", content_type.data[len], 3) != NULL);
}

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

static bool
name_is (br_str_t name, const char *expected)
{
  return name.len == strlen (expected)
         && strncasecmp (name.data, expected, name.len) == 0;
}

static bool
stream_allows (const br_event_stream_t *stream, br_str_t name)
{
  for (size_t i = 0; i < BR_N_ELEMENTS (standard_fields); i++)
    if (name_is (name, standard_fields[i]))
      return true;
  return br_str_equal (name, stream->extra_field);
}

static void
event_add_line (const br_event_stream_t *stream, event_t *event, br_str_t line)
{
  const char *colon = line.len > 0 ? memchr (line.data, ':', line.len) : NULL;
  size_t name_len = colon != NULL ? (size_t)(colon - line.data) : line.len;
  br_str_t name = br_str_make (line.data, name_len);
  br_str_t value = { 0 };

  if (line.len == 0)
    return;
  if (!stream_allows (stream, name))
    event->valid = false;
  if (colon != NULL)
    value = br_str_make (colon + 1, line.len - name_len - 1);
  while (value.len > 0 && value.data[0] == ' ')
    value = br_str_make (value.data + 1, value.len - 1);
  if (name_is (name, "id"))
    event->id = value;
  else if (name_is (name, "data"))
    event->has_data = true;
}

/* Reads the complete lines of TEXT up to the end of the first event.  Returns
 * the event's length with its empty line; 0 when the event is incomplete. */
static size_t
event_read (const br_event_stream_t *stream, br_str_t text, event_t *event)
{
  size_t total = 0;
  size_t len;
  size_t used;

  *event = (event_t){ .valid = true };
  while ((used = line_length (br_str_make (text.data + total, text.len - total),
                              &len))
         > 0)
    {
      event_add_line (stream, event, br_str_make (text.data + total, len));
      total += used;
      if (len == 0)
        return total;
    }
  return 0;
}

/* Compares ID with the last one, and with the steps between ids so far if it
 * continues another upstream's events. */
static br_event_fault_t
stream_check_id (br_event_stream_t *stream, br_str_t id)
{
  br_str_t last_id = br_buf_str (&stream->last_id);
  uint64_t last;
  uint64_t next;
  uint64_t step;

  if (last_id.len == 0)
    return BR_EVENT_FAULT_NONE;
  if (!br_str_to_u64 (last_id, &last) || !br_str_to_u64 (id, &next))
    return br_str_equal (id, last_id) ? BR_EVENT_FAULT_ORDER
                                      : BR_EVENT_FAULT_NONE;
  if (next <= last)
    return BR_EVENT_FAULT_ORDER;
  step = next - last;
  if (stream->resumed && !stream->steps_differ && stream->n_steps >= STEPS_MIN
      && step > stream->step)
    return BR_EVENT_FAULT_MISSING;
  if (stream->n_steps > 0 && step != stream->step)
    stream->steps_differ = true;
  /* The id of a take-up need not be that of the event just before. */
  if (stream->n_steps > 0 || !stream->resumed)
    {
      stream->step = step;
      stream->n_steps++;
    }
  return BR_EVENT_FAULT_NONE;
}

static br_event_fault_t
stream_add_event (br_event_stream_t *stream, const event_t *event)
{
  br_event_fault_t fault = BR_EVENT_FAULT_NONE;

  if (event->id.len > 0)
    fault = stream_check_id (stream, event->id);
  else if (event->has_data && stream->resumed)
    fault = BR_EVENT_FAULT_NO_ID;
  if (fault != BR_EVENT_FAULT_NONE)
    return fault;
  if (event->id.len > 0)
    {
      br_buf_clear (&stream->last_id);
      br_buf_append (&stream->last_id, event->id);
      stream->resumed = false;
      stream->unnumbered = false;
    }
  else if (event->has_data)
    stream->unnumbered = true;
  stream->has_event |= event->id.len > 0 || event->has_data;
  stream->passed++;
  return BR_EVENT_FAULT_NONE;
}

void
br_event_stream_begin_after (br_event_stream_t *stream, br_str_t id)
{
  br_buf_clear (&stream->last_id);
  br_buf_append (&stream->last_id, id);
  stream->resumed = id.len > 0;
}

br_str_t
br_event_stream_take (br_event_stream_t *stream, br_str_t bytes)
{
  size_t whole = 0;
  size_t len = 1;
  event_t event;

  br_buf_clear (&stream->output);
  if (stream->fault != BR_EVENT_FAULT_NONE)
    return (br_str_t){ 0 };
  br_buf_append (&stream->pending, bytes);
  while (len > 0 && stream->fault == BR_EVENT_FAULT_NONE)
    {
      len = event_read (stream,
                        br_str_make (stream->pending.data + whole,
                                     stream->pending.len - whole),
                        &event);
      if (!event.valid)
        stream->fault = BR_EVENT_FAULT_FIELD;
      else if ((len > 0 ? len : stream->pending.len - whole) > BR_EVENT_MAX)
        stream->fault = BR_EVENT_FAULT_LONG;
      else if (len > 0)
        stream->fault = stream_add_event (stream, &event);
      if (stream->fault == BR_EVENT_FAULT_NONE)
        whole += len;
    }
  br_buf_append (&stream->output, br_str_make (stream->pending.data, whole));
  br_buf_consume (&stream->pending, whole);
  return br_buf_str (&stream->output);
}

br_event_fault_t
br_event_stream_fault (const br_event_stream_t *stream)
{
  return stream->fault;
}

bool
br_event_stream_is_inside_event (const br_event_stream_t *stream)
{
  return stream->pending.len > 0;
}

bool
br_event_stream_has_event (const br_event_stream_t *stream)
{
  return stream->has_event;
}

bool
br_event_stream_can_resume (const br_event_stream_t *stream)
{
  return !stream->unnumbered;
}

void
br_event_stream_discard (br_event_stream_t *stream)
{
  br_buf_clear (&stream->pending);
  stream->fault = BR_EVENT_FAULT_NONE;
  stream->has_event = false;
  stream->resumed = stream->last_id.len > 0;
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
