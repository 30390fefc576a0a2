/* Runs the router with a simulated clock from a script on standard input. Lines
 * of the script:
 *   at MS | domain NAME | upstream NAME DOMAIN INCARNATION live|leaving|down
 *   service NAME SELECTOR | label UPSTREAM KEY VALUE | build
 *   link DOMAIN DELAY_MS COST_MS
 *   report UPSTREAM TAKEN_MS RUNNING WAITING SLOTS PREFILL_PER_S
 *   choose SERVICE PROMPT [TRIED...]  (PROMPT: letters; each letter a block)
 *   send SERVICE PROMPT               (chooses and sends)
 *   first UPSTREAM UNCACHED | ended UPSTREAM HELD_MS
 *   event UPSTREAM SEQUENCE stored|removed|cleared TAKEN_MS [PROMPT]
 *   capacity SERVICE N_VMS
 * Prints each line and below it the router's result. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "route/router.h"

#define WORDS_MAX 12

typedef struct
{
  br_router_t *router;
  br_catalog_t catalog;
  br_registry_t registry;
  br_ms_t now;
} session_t;

static br_prefix_t
prompt_prefix (const char *letters)
{
  br_prefix_t prefix;
  br_buf_t text = { 0 };

  for (; *letters != '\0'; letters++)
    for (int i = 0; i < BR_PREFIX_BLOCK_BYTES; i++)
      br_buf_append_char (&text, *letters);
  br_prefix_set (&prefix, br_buf_str (&text), 0);
  br_buf_free (&text);
  return prefix;
}

static void
session_add (session_t *session, const char *json)
{
  br_error_t err;

  if (!br_catalog_add (&session->catalog, br_str_from (json), &err))
    printf ("  %s\n", err.text);
}

static void
session_upstream (session_t *session, char **words)
{
  br_upstream_t upstream = {
    .name = br_name_from (words[1]),
    .failure_domain = br_name_from (words[2]),
    .incarnation = strtoull (words[3], NULL, 10),
  };
  br_upstream_t *known;

  br_labels_set (&upstream.labels, br_str_from ("model"), br_str_from ("lm"));
  known = br_registry_put (&session->registry, upstream);
  if (strcmp (words[4], "leaving") == 0)
    br_registry_leave (&session->registry, br_name_str (&known->name),
                       known->incarnation, session->now);
  br_upstream_set_down (known, strcmp (words[4], "down") == 0, session->now);
}

static void
session_choose (session_t *session, char **words, int n, bool send)
{
  br_prefix_t prefix = prompt_prefix (words[2]);
  br_names_t tried = { 0 };
  br_route_query_t query = {
    .service = br_str_from (words[1]),
    .prefix = &prefix,
    .tried = &tried,
  };
  br_route_t route;

  for (int i = 3; i < n; i++)
    br_names_push (&tried, br_name_from (words[i]));
  route = br_router_choose (session->router, &query);
  br_names_free (&tried);
  if (route.upstream == BR_ROUTE_NONE)
    {
      printf ("  none\n");
      return;
    }
  printf ("  %s first token in %" PRId64 " ms, %" PRIu64 " tokens to read\n",
          br_router_name (session->router, route.upstream)->data,
          route.first_token_ms, route.uncached);
  if (send)
    br_router_sent (session->router, &route, &prefix, session->now);
}

static void
session_event (session_t *session, char **words, int n)
{
  br_prefix_t prefix = prompt_prefix (n > 5 ? words[5] : "");
  br_cache_event_t event = {
    .upstream = br_router_find (session->router, br_str_from (words[1])),
    .sequence = strtoull (words[2], NULL, 10),
    .kind = strcmp (words[3], "stored") == 0    ? BR_CACHE_STORED
            : strcmp (words[3], "removed") == 0 ? BR_CACHE_REMOVED
                                                : BR_CACHE_CLEARED,
    .taken_ms = atoll (words[4]),
    .hashes = prefix.hashes,
    .n_hashes = prefix.n_blocks,
  };

  br_router_cache_event (session->router, &event);
}

static void
session_report (session_t *session, char **words)
{
  br_load_t load = {
    .known = true,
    .taken_ms = atoll (words[2]),
    .running = (uint32_t)atoi (words[3]),
    .waiting = (uint32_t)atoi (words[4]),
    .slots = (uint32_t)atoi (words[5]),
    .prefill_per_s = (uint32_t)atoi (words[6]),
  };

  br_router_report (session->router,
                    br_router_find (session->router, br_str_from (words[1])),
                    &load);
}

static void
session_declare (session_t *session, char **words)
{
  char json[512];

  if (strcmp (words[0], "service") == 0)
    snprintf (json, sizeof json,
              "{\"kind\":\"service\",\"name\":\"%s\",\"selector\":\"%s\"}",
              words[1], words[2]);
  else
    snprintf (json, sizeof json,
              "{\"kind\":\"labels\",\"name\":\"upstream/%s\",\"labels\":"
              "{\"%s\":\"%s\"}}",
              words[1], words[2], words[3]);
  session_add (session, json);
}

static void
session_start (session_t *session, const char *domain)
{
  br_router_options_t options = { .failure_domain = br_name_from (domain) };

  session->router = br_router_new (&options);
}

static void
session_capacity (session_t *session, char **words)
{
  br_route_capacity_t capacity = br_router_capacity (
      session->router, br_str_from (words[1]), (size_t)atoi (words[2]));

  printf ("  max %" PRId64 " unreserved %" PRId64 "\n", (int64_t)capacity.max,
          (int64_t)capacity.unreserved);
}

static void
session_run (session_t *session, char **words, int n)
{
  const char *command = words[0];

  if (strcmp (command, "at") == 0)
    session->now = atoll (words[1]);
  else if (strcmp (command, "domain") == 0)
    session_start (session, words[1]);
  else if (strcmp (command, "upstream") == 0)
    session_upstream (session, words);
  else if (strcmp (command, "service") == 0 || strcmp (command, "label") == 0)
    session_declare (session, words);
  else if (strcmp (command, "build") == 0)
    br_router_build (session->router, &session->catalog, &session->registry);
  else if (strcmp (command, "link") == 0)
    {
      br_name_t domain = br_name_from (words[1]);

      br_router_set_link (session->router, &domain, atoll (words[2]),
                          atoll (words[3]));
    }
  else if (strcmp (command, "report") == 0)
    session_report (session, words);
  else if (strcmp (command, "choose") == 0 || strcmp (command, "send") == 0)
    session_choose (session, words, n, command[0] == 's');
  else if (strcmp (command, "first") == 0)
    br_router_first_token (
        session->router,
        br_router_find (session->router, br_str_from (words[1])),
        strtoull (words[2], NULL, 10));
  else if (strcmp (command, "ended") == 0)
    br_router_ended (session->router,
                     br_router_find (session->router, br_str_from (words[1])),
                     atoll (words[2]), true, session->now);
  else if (strcmp (command, "event") == 0)
    session_event (session, words, n);
  else if (strcmp (command, "capacity") == 0)
    session_capacity (session, words);
}

int
main (void)
{
  session_t session = { 0 };
  char line[256];

  while (fgets (line, sizeof line, stdin) != NULL)
    {
      char *words[WORDS_MAX] = { 0 };
      char *rest = NULL;
      int n = 0;

      fputs (line, stdout);
      for (char *word = strtok_r (line, " \n", &rest);
           word != NULL && n < WORDS_MAX; word = strtok_r (NULL, " \n", &rest))
        words[n++] = word;
      if (n > 0 && words[0][0] != '#')
        session_run (&session, words, n);
    }
  br_router_free (session.router);
  br_catalog_release (&session.catalog);
  br_registry_release (&session.registry);
  return 0;
}
