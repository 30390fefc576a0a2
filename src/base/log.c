#include "base/log.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <string.h>
#include <unistd.h>
#include <yajl/yajl_gen.h>

br_field_t
br_field_str (const char *key, br_str_t value)
{
  br_field_t field = { .kind = BR_FIELD_STR, .key = key, .str = value };

  return field;
}

br_field_t
br_field_z (const char *key, const char *value)
{
  return br_field_str (key, br_str_from (value));
}

br_field_t
br_field_int (const char *key, int64_t value)
{
  br_field_t field = { .kind = BR_FIELD_INT, .key = key, .num = value };

  return field;
}

static void
log_put_str (yajl_gen gen, br_str_t str)
{
  const char *data = str.len > 0 ? str.data : "";

  yajl_gen_string (gen, (const unsigned char *)data, str.len);
}

static void
log_put_field (yajl_gen gen, const br_field_t *field)
{
  log_put_str (gen, br_str_from (field->key));
  switch (field->kind)
    {
    case BR_FIELD_STR:
      log_put_str (gen, field->str);
      break;
    case BR_FIELD_INT:
      yajl_gen_integer (gen, field->num);
      break;
    }
}

static void
log_put_head (yajl_gen gen, br_log_t *log, const char *part, const char *event)
{
  br_hlc_t at = br_hlc_tick (&log->hlc, br_clock_wall ());
  char time[48];

  snprintf (time, sizeof time, "%" PRId64 ".%06" PRIu32, at.wall_ms, at.count);
  br_field_t head[] = {
    br_field_z ("hlc", time),
    br_field_str ("vm", br_name_str (&log->vm)),
    br_field_int ("incarnation", (int64_t)log->incarnation),
    br_field_z ("part", part),
    br_field_z ("event", event),
  };

  for (size_t i = 0; i < BR_N_ELEMENTS (head); i++)
    log_put_field (gen, &head[i]);
}

static void
log_put_line (br_log_t *log, br_str_t line)
{
  if (log->pending_max == 0)
    {
      fwrite (line.data, 1, line.len, log->stream);
      fputc ('\n', log->stream);
      fflush (log->stream);
    }
  else if (log->pending.len + line.len + 1 > log->pending_max)
    {
      log->dropped++;
      log->dropped_total++;
    }
  else
    {
      br_buf_append (&log->pending, line);
      br_buf_append_char (&log->pending, '\n');
    }
}

void
br_log_defer (br_log_t *log, size_t pending_max)
{
  int fd = log->stream != NULL ? fileno (log->stream) : -1;
  int flags = fd >= 0 ? fcntl (fd, F_GETFL) : -1;

  log->pending_max = pending_max;
  if (flags >= 0)
    fcntl (fd, F_SETFL, flags | O_NONBLOCK);
}

void
br_log_flush (br_log_t *log)
{
  ssize_t written;

  if (log->stream == NULL)
    return;
  if (log->dropped > 0)
    {
      uint64_t dropped = log->dropped;

      log->dropped = 0;
      BR_LOG (log, "log", "lines dropped",
              br_field_int ("lines", (int64_t)dropped));
    }
  if (log->pending.len == 0)
    return;
  written = write (fileno (log->stream), log->pending.data, log->pending.len);
  if (written > 0)
    br_buf_consume (&log->pending, (size_t)written);
  else if (written < 0 && errno != EAGAIN && errno != EINTR)
    br_buf_clear (&log->pending); /* the reader has closed the log */
}

void
br_log_release (br_log_t *log)
{
  br_log_flush (log);
  br_buf_free (&log->pending);
}

void
br_log_event (br_log_t *log,
              const char *part,
              const char *event,
              const br_field_t *fields,
              size_t n_fields)
{
  yajl_gen gen;
  const unsigned char *text;
  size_t len;

  if (log->stream == NULL)
    return;
  gen = yajl_gen_alloc (NULL);
  if (gen == NULL)
    return;
  yajl_gen_map_open (gen);
  log_put_head (gen, log, part, event);
  for (size_t i = 0; i < n_fields; i++)
    log_put_field (gen, &fields[i]);
  yajl_gen_map_close (gen);
  yajl_gen_get_buf (gen, &text, &len);
  log_put_line (log, br_str_make ((const char *)text, len));
  yajl_gen_free (gen);
}

void
br_log_error (br_log_t *log,
              const char *part,
              const char *event,
              const br_error_t *err)
{
  BR_LOG (log, part, event, br_field_z ("step", err->step),
          br_field_z ("peer", err->peer),
          br_field_z ("code", br_error_name (err->code)),
          br_field_z ("text", err->text));
}
