#include "shell/upstream_check.h"

#include <stdlib.h>

#define CHECK_TIMEOUT_MS 500

typedef struct check
{
  br_upstream_checks_t *checks;
  br_name_t upstream;
  struct check *next;
} check_t;

struct br_upstream_checks
{
  br_http_calls_t *calls;
  check_t *first;
  br_upstream_check_cb_t done;
  void *context;
};

static void
check_free (check_t *check)
{
  check_t **at = &check->checks->first;

  while (*at != check)
    at = &(*at)->next;
  *at = check->next;
  free (check);
}

static void
check_on_done (void *context, int status, br_str_t body)
{
  check_t *check = context;
  br_upstream_checks_t *checks = check->checks;
  br_name_t upstream = check->upstream;

  (void)body;
  check_free (check);
  checks->done (checks->context, &upstream, status != 0);
}

void
br_upstream_checks_start (br_upstream_checks_t *checks,
                          const br_name_t *upstream,
                          const char *address,
                          uint16_t port)
{
  check_t *check;
  br_http_call_options_t options = {
    .address = address,
    .port = port,
    .method = EVHTTP_REQ_GET,
    .path = "/health",
    .timeout_ms = CHECK_TIMEOUT_MS,
    .done = check_on_done,
  };

  for (check = checks->first; check != NULL; check = check->next)
    if (br_name_equal (&check->upstream, upstream))
      return;
  check = br_alloc_zero (sizeof *check);
  check->checks = checks;
  check->upstream = *upstream;
  check->next = checks->first;
  checks->first = check;
  options.context = check;
  br_http_call (checks->calls, &options);
}

br_upstream_checks_t *
br_upstream_checks_new (struct event_base *base,
                        br_upstream_check_cb_t done,
                        void *context)
{
  br_upstream_checks_t *checks = br_alloc_zero (sizeof *checks);

  checks->calls = br_http_calls_new (base);
  checks->done = done;
  checks->context = context;
  return checks;
}

void
br_upstream_checks_free (br_upstream_checks_t *checks)
{
  if (checks == NULL)
    return;
  br_http_calls_free (checks->calls);
  while (checks->first != NULL)
    check_free (checks->first);
  free (checks);
}
