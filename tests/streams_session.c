/* Runs the records of stream versions from a script.  Each line of the script
 * is now MS | begin ID SERVICE VERSION | find ID many N SERVICE VERSION (N
 * streams begin) list [SERVICE:VERSION...] | sole SERVICE | forget Prints each
 * line and the answers. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "site/stream_version.h"

#define WORDS_MAX 16
#define VERSIONS_MAX 16

typedef struct
{
  br_ms_t now;
  br_stream_table_t table;
  br_version_history_t history;
  br_listing_t seen[VERSIONS_MAX]; /* to print a version by its name */
  size_t n_seen;
} session_t;

static br_listing_t
listing_make (session_t *session, const char *service, const char *version)
{
  br_listing_t listing = {
    .service = br_name_from (service),
    .version = br_name_from (version),
  };

  if (session->n_seen < VERSIONS_MAX)
    session->seen[session->n_seen++] = listing;
  return listing;
}

static void
print_version (const session_t *session, br_version_t version)
{
  for (size_t i = 0; i < session->n_seen; i++)
    if (br_listing_version (&session->seen[i]) == version)
      {
        printf ("  %s\n", session->seen[i].version.data);
        return;
      }
  printf ("  unknown\n");
}

static void
session_begin (session_t *session, const char *id, char **words)
{
  br_listing_t listing = listing_make (session, words[2], words[3]);
  br_stream_record_t record = {
    .stream = br_stream_from_id (br_str_from (id)),
    .version = br_listing_version (&listing),
    .at_ms = session->now,
  };

  br_stream_table_add (&session->table, &record);
}

static void
session_list (session_t *session, char **words, int n)
{
  br_listings_t listings = { 0 };

  for (int i = 1; i < n; i++)
    {
      char *colon = strchr (words[i], ':');

      *colon = '\0';
      br_listings_push (&listings, listing_make (session, words[i], colon + 1));
    }
  br_version_history_update (&session->history, &listings, session->now);
  br_listings_free (&listings);
}

static void
session_run (session_t *session, char **words, int n)
{
  char id[32];

  if (strcmp (words[0], "now") == 0)
    session->now = atoi (words[1]);
  else if (strcmp (words[0], "begin") == 0)
    session_begin (session, words[1], words);
  else if (strcmp (words[0], "many") == 0)
    for (int i = 0; i < atoi (words[1]); i++)
      {
        snprintf (id, sizeof id, "many-%d", i);
        session_begin (session, id, words);
      }
  else if (strcmp (words[0], "find") == 0)
    print_version (session, br_stream_table_find (
                                &session->table,
                                br_stream_from_id (br_str_from (words[1])),
                                session->now));
  else if (strcmp (words[0], "list") == 0)
    session_list (session, words, n);
  else if (strcmp (words[0], "sole") == 0)
    {
      br_name_t service = br_name_from (words[1]);

      print_version (session, br_version_history_sole (&session->history,
                                                       &service, session->now));
    }
  else if (strcmp (words[0], "forget") == 0)
    br_version_history_clear (&session->history);
  else
    {
      fprintf (stderr, "unknown word: %s\n", words[0]);
      exit (1);
    }
}

int
main (void)
{
  session_t session = { .table = { .n_buckets = 64 } };
  char line[512];

  while (fgets (line, sizeof line, stdin) != NULL)
    {
      char *words[WORDS_MAX + 1] = { 0 };
      char *rest = NULL;
      int n = 0;

      printf ("%s", line);
      for (char *word = strtok_r (line, " \n", &rest);
           word != NULL && word[0] != '#' && n < WORDS_MAX;
           word = strtok_r (NULL, " \n", &rest))
        words[n++] = word;
      if (n > 0)
        session_run (&session, words, n);
    }
  br_stream_table_free (&session.table);
  br_version_history_clear (&session.history);
  return 0;
}
