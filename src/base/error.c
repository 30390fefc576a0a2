#include "base/error.h"

#include <stdio.h>

typedef struct
{
  const char *name;
  int exit_code;
  int http_status;
} error_row_t;

static const error_row_t error_rows[] = {
#define X(id, name, exit_code, http) { name, exit_code, http },
  BR_ERROR_TABLE (X)
#undef X
};

const char *
br_error_name (br_error_code_t code)
{
  return error_rows[code].name;
}

int
br_error_exit_code (br_error_code_t code)
{
  return error_rows[code].exit_code;
}

int
br_error_http_status (br_error_code_t code)
{
  return error_rows[code].http_status;
}

bool
br_error_set (br_error_t *err,
              br_error_code_t code,
              const char *step,
              const char *peer,
              const char *format,
              ...)
{
  va_list args;

  if (err == NULL)
    return false;
  *err = (br_error_t){ .code = code };
  snprintf (err->step, sizeof err->step, "%s", step != NULL ? step : "");
  snprintf (err->peer, sizeof err->peer, "%s", peer != NULL ? peer : "");
  va_start (args, format);
  vsnprintf (err->text, sizeof err->text, format, args);
  va_end (args);
  return false;
}

void
br_error_print (const br_error_t *err, br_buf_t *out)
{
  br_buf_printf (out, "%s", err->step);
  if (err->peer[0] != '\0')
    br_buf_printf (out, " at %s", err->peer);
  br_buf_printf (out, ": %s", err->text);
}
