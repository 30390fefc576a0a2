#include "base/log.h"

#include <inttypes.h>
#include <string.h>
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
  fwrite (text, 1, len, log->stream);
  fputc ('\n', log->stream);
  fflush (log->stream);
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
