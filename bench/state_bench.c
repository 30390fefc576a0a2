/* Measures how the replicated state scales: time of a command, and heap and
 * snapshot bytes of a claim and of a declaration, at several sizes.  Prints one
 * JSON object a line. */
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "state/command.h"
#include "state/state.h"

#define ANSWER_BYTES 64

static double
now_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static void
apply (br_state_t *state, const br_command_t *command)
{
  static uint64_t index;
  br_buf_t packed = { 0 };
  br_buf_t result = { 0 };

  br_command_pack (command, &packed);
  br_state_apply (state, ++index, br_buf_str (&packed), &result);
  br_buf_free (&packed);
  br_buf_free (&result);
}

/* Applies the three commands of a claim: taken, sent and answered. */
static void
add_claim (br_state_t *state, size_t i)
{
  static uint8_t digest[BR_DIGEST_BYTES];
  static uint8_t body[ANSWER_BYTES];
  br_command_t command = BR__STATE__COMMAND__INIT;
  br_claim_owner_t owner = BR__STATE__CLAIM_OWNER__INIT;
  Br__State__ClaimTake take = BR__STATE__CLAIM_TAKE__INIT;
  Br__State__ClaimSent sent = BR__STATE__CLAIM_SENT__INIT;
  Br__State__ClaimEnd end = BR__STATE__CLAIM_END__INIT;
  char key[64];

  snprintf (key, sizeof key, "alcornocales/payments/order-%zu", i);
  owner.vm = (char *)"castillos-1";
  owner.number = i;
  take.key = sent.key = end.key = key;
  take.owner = sent.owner = end.owner = &owner;
  take.attempt = sent.attempt = end.attempt = 1;
  take.retention_ms = end.retention_ms = 86400000;
  take.digest.data = end.digest.data = digest;
  take.digest.len = end.digest.len = sizeof digest;
  end.state = BR_CLAIM_ANSWERED;
  end.body.data = body;
  end.body.len = sizeof body;
  end.body_kept = true;
  command.body_case = BR__STATE__COMMAND__BODY_CLAIM_TAKE;
  command.claim_take = &take;
  apply (state, &command);
  command.body_case = BR__STATE__COMMAND__BODY_CLAIM_SENT;
  command.claim_sent = &sent;
  apply (state, &command);
  command.body_case = BR__STATE__COMMAND__BODY_CLAIM_END;
  command.claim_end = &end;
  apply (state, &command);
}

static void
add_declaration (br_state_t *state, size_t i)
{
  br_command_t command = BR__STATE__COMMAND__INIT;
  br_change_t change = BR__STATE__CHANGE__INIT;
  br_declaration_t put = BR__STATE__DECLARATION__INIT;
  br_declaration_t *list = &put;
  char operation[32];
  char name[32];
  char json[256];

  snprintf (operation, sizeof operation, "op-%zu", i);
  snprintf (name, sizeof name, "w%zu", i);
  snprintf (json, sizeof json,
            "{\"kind\":\"workload\",\"name\":\"%s\",\"key_digest\":\"sha256:"
            "%064zx\",\"labels\":{\"org\":\"alcornocales\"}}",
            name, i);
  put.kind = (char *)"workload";
  put.name = name;
  put.json = json;
  change.operation = operation;
  change.actor = (char *)"castillos-1";
  change.base_revision = br_state_revision (state);
  change.n_put = 1;
  change.put = &list;
  command.body_case = BR__STATE__COMMAND__BODY_CHANGE;
  command.change = &change;
  apply (state, &command);
}

static void
measure (const char *what,
         void (*add) (br_state_t *state, size_t i),
         int commands,
         size_t n)
{
  br_state_t *state = br_state_new ();
  size_t heap = mallinfo2 ().uordblks;
  br_buf_t snapshot = { 0 };
  br_error_t err;
  double start = now_us ();
  double add_us;
  double snapshot_us;

  for (size_t i = 0; i < n; i++)
    add (state, i);
  add_us = now_us () - start;
  heap = mallinfo2 ().uordblks - heap;
  start = now_us ();
  br_state_snapshot (state, &snapshot);
  snapshot_us = now_us () - start;
  start = now_us ();
  br_state_restore (state, br_buf_str (&snapshot), &err);
  printf ("{\"what\":\"%s\",\"n\":%zu,\"us_per_command\":%.2f,"
          "\"heap_bytes_each\":%zu,\"snapshot_bytes_each\":%zu,"
          "\"snapshot_ms\":%.1f,\"restore_ms\":%.1f}\n",
          what, n, add_us / (double)n / commands, heap / n, snapshot.len / n,
          snapshot_us / 1e3, (now_us () - start) / 1e3);
  br_buf_free (&snapshot);
  br_state_free (state);
}

int
main (void)
{
  static const size_t claims[] = { 1000, 8000, 64000 };
  static const size_t declarations[] = { 100, 1000, 10000 };

  for (size_t i = 0; i < BR_N_ELEMENTS (claims); i++)
    measure ("claim", add_claim, 3, claims[i]);
  for (size_t i = 0; i < BR_N_ELEMENTS (declarations); i++)
    measure ("declaration", add_declaration, 1, declarations[i]);
  return 0;
}
