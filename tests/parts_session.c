/* Runs the search for crashing prompt parts from a script.  Each line of the
 * script is
 *   crash UPSTREAM INCARNATION AT_MS PART...   (parts are hexadecimal)
 *   many UPSTREAM INCARNATION AT_MS FROM N     (N parts, counted from FROM)
 *   reclaimed UPSTREAM INCARNATION | expire NOW_MS
 *   ban PART | ask
 *   begun PART AT_MS                           (an answer to the question)
 *   decide UNTIL_MS                            (bans the parts that are blamed)
 * Prints each line, the suspects that are asked about, and those blamed. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "upstream/part_suspects.h"

#define WORDS_MAX 24
#define BANNED_MAX 16

typedef struct
{
  br_part_suspects_t suspects;
  br_part_candidates_t candidates;
  uint64_t banned[BANNED_MAX];
  size_t n_banned;
} session_t;

static bool
is_banned (const void *context, uint64_t part)
{
  const session_t *session = context;

  for (size_t i = 0; i < session->n_banned; i++)
    if (session->banned[i] == part)
      return true;
  return false;
}

static void
session_ban (session_t *session, uint64_t part)
{
  if (session->n_banned < BANNED_MAX)
    session->banned[session->n_banned++] = part;
}

static uint64_t
word_number (char **words, int at, int base)
{
  return words[at] != NULL ? strtoull (words[at], NULL, base) : 0;
}

static br_part_crash_t
crash_make (char **words)
{
  return (br_part_crash_t){
    .upstream = br_name_from (words[1]),
    .incarnation = word_number (words, 2, 10),
    .at_ms = (br_ms_t)word_number (words, 3, 10),
  };
}

static void
session_report (session_t *session, const br_part_crash_t *crash)
{
  printf ("  %s\n", br_part_suspects_report (&session->suspects, crash)
                        ? "recorded"
                        : "known");
}

static void
session_ask (session_t *session)
{
  br_part_suspects_candidates (&session->suspects, is_banned, session,
                               &session->candidates);
  printf ("  %zu candidates:", session->candidates.len);
  for (size_t i = 0; i < session->candidates.len; i++)
    printf (" %" PRIx64, session->candidates.items[i].part);
  printf ("\n");
}

static void
session_decide (session_t *session, br_ms_t until_ms)
{
  uint64_t blamed[BR_PART_CANDIDATES_MAX];
  size_t n = br_part_suspects_blame (&session->suspects, &session->candidates,
                                     is_banned, session, until_ms, blamed);

  printf ("  blamed:");
  for (size_t i = 0; i < n; i++)
    {
      printf (" %" PRIx64, blamed[i]);
      session_ban (session, blamed[i]);
    }
  printf (n > 0 ? "\n" : " none\n");
}

static void
session_run (session_t *session, char **words, int n)
{
  br_part_crash_t crash;
  uint64_t incarnation;

  if (strcmp (words[0], "crash") == 0)
    {
      crash = crash_make (words);
      for (int i = 4; i < n; i++)
        crash.suspects[crash.n++] = word_number (words, i, 16);
      session_report (session, &crash);
    }
  else if (strcmp (words[0], "many") == 0)
    {
      crash = crash_make (words);
      crash.n = word_number (words, 5, 10);
      for (size_t i = 0; i < crash.n; i++)
        crash.suspects[i] = word_number (words, 4, 16) + i;
      session_report (session, &crash);
    }
  else if (strcmp (words[0], "reclaimed") == 0)
    {
      br_name_t upstream = br_name_from (words[1]);

      incarnation = word_number (words, 2, 10);
      br_part_suspects_discard (&session->suspects, &upstream, &incarnation);
    }
  else if (strcmp (words[0], "expire") == 0)
    br_part_suspects_expire (&session->suspects,
                             (br_ms_t)word_number (words, 1, 10));
  else if (strcmp (words[0], "ban") == 0)
    session_ban (session, word_number (words, 1, 16));
  else if (strcmp (words[0], "ask") == 0)
    session_ask (session);
  else if (strcmp (words[0], "begun") == 0)
    br_part_candidates_begun (&session->candidates, word_number (words, 1, 16),
                              (br_ms_t)word_number (words, 2, 10));
  else if (strcmp (words[0], "decide") == 0)
    session_decide (session, (br_ms_t)word_number (words, 1, 10));
  else
    {
      fprintf (stderr, "unknown word: %s\n", words[0]);
      exit (1);
    }
}

int
main (void)
{
  session_t session = { 0 };
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
  br_part_suspects_free (&session.suspects);
  return 0;
}
