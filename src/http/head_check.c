#include "http/head_check.h"

#include <stdlib.h>

#include "http/http_reader.h"

struct br_http_head_check
{
  br_http_reader_t *reader;
  bool is_over;
};

br_http_head_check_t *
br_http_head_check_new (size_t head_max)
{
  br_http_head_check_t *check = br_alloc_zero (sizeof *check);

  check->reader = br_http_reader_new (BR_HTTP_RESPONSES, head_max);
  return check;
}

void
br_http_head_check_free (br_http_head_check_t *check)
{
  if (check == NULL)
    return;
  br_http_reader_free (check->reader);
  free (check);
}

bool
br_http_head_check_feed (br_http_head_check_t *check,
                         br_str_t bytes,
                         br_error_t *err)
{
  while (!check->is_over)
    {
      size_t used = 0;
      br_http_step_t step
          = br_http_reader_next (check->reader, bytes, &used, err);

      bytes = br_str_make (bytes.data + used, bytes.len - used);
      if (step == BR_HTTP_BAD)
        return false;
      if (step == BR_HTTP_NEED_MORE)
        return true;
      check->is_over = step == BR_HTTP_HEAD
                       && br_http_reader_head (check->reader)->status >= 200;
    }
  return true;
}

bool
br_http_head_check_is_over (const br_http_head_check_t *check)
{
  return check->is_over;
}
