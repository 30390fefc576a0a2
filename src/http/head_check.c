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

static bool
check_read (br_http_head_check_t *check, br_str_t bytes, br_error_t *err)
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
br_http_head_check_take (br_http_head_check_t *check,
                         struct evbuffer *input,
                         size_t n_added,
                         br_error_t *err)
{
  size_t before = evbuffer_get_length (input) - n_added;
  struct evbuffer_ptr from;
  br_buf_t bytes = { 0 };
  bool is_sound;

  if (check->is_over)
    return true;
  br_buf_reserve (&bytes, n_added);
  evbuffer_ptr_set (input, &from, before, EVBUFFER_PTR_SET);
  evbuffer_copyout_from (input, &from, bytes.data, n_added);
  is_sound = check_read (check, br_str_make (bytes.data, n_added), err);
  br_buf_free (&bytes);
  return is_sound;
}
