/* Runs admission from a script that sets the clock.  Each line of the script is
 *   at MS | vm NAME of VMS... | limits ORG WEIGHT RPS IN_FLIGHT | remove ORG
 *   capacity SERVICE MAX [UNRESERVED]
 *   request TICKET ORG SERVICE TOKENS DEADLINE_MS
 *   disconnect TICKET | done TICKET | tick
 *   digest VM INCARNATION SENT ECHO_INCARNATION ECHO_SENT [ORG LACKING_RATE
 *     LACKING_SLOTS LENT_RATE LENT_SLOTS]
 * Prints each line, and one line for each output message. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "organisation/admission.h"

#define WORDS_MAX 12

typedef struct
{
  br_admission_t *admission;
  br_admission_outbox_t outbox;
  br_ms_t now;
} session_t;

static void
print_digest (const br_admission_digest_t *digest)
{
  printf ("  digest to %s echo %" PRIu64 "/%" PRId64 "\n", digest->vm.data,
          digest->echo_incarnation, digest->echo_sent_ms);
  for (size_t i = 0; i < digest->demands.len; i++)
    {
      const br_admission_demand_t *demand = &digest->demands.items[i];

      printf ("    %s lacks %" PRIu64 "/%" PRIu64 " lends %" PRIu64 "/%" PRIu64
              "\n",
              demand->organisation.data, demand->lacking_rate,
              demand->lacking_slots, demand->lent_rate, demand->lent_slots);
    }
}

static void
session_handle (session_t *session, br_admission_input_t *input)
{
  br_admission_handle (session->admission, input, session->now,
                       &session->outbox);
  for (size_t i = 0; i < session->outbox.len; i++)
    {
      const br_admission_output_t *output = &session->outbox.items[i];

      switch (output->kind)
        {
        case BR_ADMISSION_ADMITTED:
          printf ("  admitted %" PRIu64 "\n", output->ticket);
          break;
        case BR_ADMISSION_REFUSED:
          printf ("  refused %" PRIu64 " %s after %" PRId64 " ms: %s\n",
                  output->ticket, br_error_name (output->error.code),
                  output->error.retry_after_ms, output->error.text);
          break;
        case BR_ADMISSION_SEND_DIGEST:
          print_digest (&output->digest);
          break;
        }
    }
  br_admission_outbox_reset (&session->outbox);
}

static void
session_start (session_t *session, char **words, int n)
{
  br_names_t vms = { 0 };
  br_admission_options_t options = {
    .vm = br_name_from (words[1]),
    .incarnation = 1,
    .vms = &vms,
    .now = session->now,
  };

  for (int i = 3; i < n; i++)
    br_names_push (&vms, br_name_from (words[i]));
  session->admission = br_admission_new (&options);
  br_names_free (&vms);
}

static void
session_digest (session_t *session, char **words, int n)
{
  br_admission_digest_t digest = {
    .vm = br_name_from (words[1]),
    .incarnation = strtoull (words[2], NULL, 10),
    .sent_ms = atoll (words[3]),
    .echo_incarnation = strtoull (words[4], NULL, 10),
    .echo_sent_ms = atoll (words[5]),
  };
  br_admission_input_t input = { .kind = BR_ADMISSION_DIGEST };

  if (n > 10)
    br_admission_demands_push (
        &digest.demands, (br_admission_demand_t){
                             .organisation = br_name_from (words[6]),
                             .lacking_rate = strtoull (words[7], NULL, 10),
                             .lacking_slots = strtoull (words[8], NULL, 10),
                             .lent_rate = strtoull (words[9], NULL, 10),
                             .lent_slots = strtoull (words[10], NULL, 10),
                         });
  input.digest = &digest;
  session_handle (session, &input);
  br_admission_demands_free (&digest.demands);
}

static void
session_request (session_t *session, char **words)
{
  br_admission_input_t input = { .kind = BR_ADMISSION_REQUEST };

  input.request.ticket = strtoull (words[1], NULL, 10);
  input.request.organisation = br_name_from (words[2]);
  input.request.service = br_name_from (words[3]);
  input.request.tokens = strtoull (words[4], NULL, 10);
  input.request.deadline_ms = atoll (words[5]);
  session_handle (session, &input);
}

static void
session_limits (session_t *session, char **words)
{
  br_admission_input_t input = { .kind = BR_ADMISSION_LIMITS };

  input.limits.name = br_name_from (words[1]);
  input.limits.weight = atoll (words[2]);
  input.limits.requests_per_second = atoll (words[3]);
  input.limits.in_flight = atoll (words[4]);
  session_handle (session, &input);
}

static void
session_other (session_t *session, char **words)
{
  br_admission_input_t input = { .kind = BR_ADMISSION_TICK };

  if (strcmp (words[0], "remove") == 0)
    {
      input.kind = BR_ADMISSION_REMOVE;
      input.remove = br_name_from (words[1]);
    }
  else if (strcmp (words[0], "capacity") == 0)
    {
      input.kind = BR_ADMISSION_CAPACITY;
      input.capacity.service = br_name_from (words[1]);
      input.capacity.max = strtoull (words[2], NULL, 10);
      input.capacity.unreserved = words[3] != NULL
                                      ? strtoull (words[3], NULL, 10)
                                      : input.capacity.max;
    }
  else if (strcmp (words[0], "disconnect") == 0)
    {
      input.kind = BR_ADMISSION_DISCONNECT;
      input.disconnect = strtoull (words[1], NULL, 10);
    }
  else if (strcmp (words[0], "done") == 0)
    {
      input.kind = BR_ADMISSION_DONE;
      input.done = strtoull (words[1], NULL, 10);
    }
  session_handle (session, &input);
}

static void
session_run (session_t *session, char **words, int n)
{
  if (strcmp (words[0], "at") == 0)
    session->now = atoll (words[1]);
  else if (strcmp (words[0], "vm") == 0)
    session_start (session, words, n);
  else if (strcmp (words[0], "limits") == 0)
    session_limits (session, words);
  else if (strcmp (words[0], "request") == 0)
    session_request (session, words);
  else if (strcmp (words[0], "digest") == 0)
    session_digest (session, words, n);
  else
    session_other (session, words);
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
  br_admission_free (session.admission);
  br_admission_outbox_free (&session.outbox);
  return 0;
}
