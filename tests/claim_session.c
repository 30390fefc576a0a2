/* Runs the claims of several contracts against the replicated state.  Each line
 * of the script is one event, which may set the clock.  Prints every action,
 * outcome and the resulting claim. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "contract/claim.h"
#include "state/command.h"

#define CONTRACTS_MAX 4
#define PROPOSALS_MAX 64

typedef struct
{
  int contract;
  br_claim_proposal_t kind;
  uint32_t attempt;
  br_buf_t command; /* owned */
} proposal_t;

typedef struct
{
  br_state_t *state;
  uint64_t index;
  br_ms_t now;
  br_claim_t contracts[CONTRACTS_MAX];
  proposal_t proposals[PROPOSALS_MAX];
  int n_proposals;
} session_t;

static const char key[] = "alcornocales/ledger/order-1";

static void
session_print_action (session_t *session,
                      int contract,
                      br_claim_action_t *action)
{
  static const char *const kinds[] = { "take", "sent", "end" };
  proposal_t *proposal = &session->proposals[session->n_proposals];

  printf ("  %c ", 'a' + contract);
  switch (action->kind)
    {
    case BR_CLAIM_ACTION_PROPOSE:
      proposal->contract = contract;
      proposal->kind = action->proposal;
      proposal->attempt = action->attempt;
      br_buf_append (&proposal->command, br_buf_str (&action->bytes));
      printf ("proposes %d: %s, attempt %u\n", session->n_proposals++,
              kinds[action->proposal], action->attempt);
      break;
    case BR_CLAIM_ACTION_SEND:
      printf ("sends, not after %" PRId64 "\n", action->not_after_ms);
      break;
    case BR_CLAIM_ACTION_ANSWER:
      printf ("answers from the log: %u %s\n", action->status,
              action->bytes.data);
      break;
    case BR_CLAIM_ACTION_FAIL:
      printf ("replies %s: %s\n", br_error_name (action->error.code),
              action->error.text);
      break;
    }
}

static void
session_handle (session_t *session, int contract, const br_claim_input_t *input)
{
  br_claim_t *claim = &session->contracts[contract];
  br_claim_actions_t outbox = { 0 };

  br_claim_handle (claim, session->now, input, &outbox);
  for (size_t i = 0; i < outbox.len; i++)
    session_print_action (session, contract, &outbox.items[i]);
  br_claim_actions_release (&outbox);
  printf ("  %c is %s\n", 'a' + contract, br_claim_step_name (claim->step));
}

static void
session_open (session_t *session, int contract, const char *body)
{
  br_claim_options_t options = {
    .organisation = br_str_from ("alcornocales"),
    .service = br_str_from ("ledger"),
    .key = br_str_from ("order-1"),
    .body = br_str_from (body),
    .contract = { .incarnation = 1, .number = 1 },
    .retention_ms = 86400000,
  };
  char vm[] = { 'v', 'm', '-', (char)('a' + contract), '\0' };
  br_error_t err;

  options.contract.vm = br_name_from (vm);
  br_claim_init (&session->contracts[contract], &options, &err);
}

static br_claim_input_t
session_record_input (const session_t *session, br_claim_input_kind_t kind)
{
  br_claim_input_t input = { .kind = kind };

  input.record = br_state_claim (session->state, br_str_from (key));
  return input;
}

static void
session_apply (session_t *session, br_str_t command, br_buf_t *result)
{
  br_state_apply (session->state, ++session->index, command, result);
}

static void
session_reply (session_t *session, int number, br_proposal_outcome_t outcome)
{
  const proposal_t *proposal = &session->proposals[number];
  br_claim_input_t input = { .kind = BR_CLAIM_INPUT_PROPOSAL };
  br_buf_t bytes = { 0 };
  br_result_t *result = NULL;

  input.proposal.kind = proposal->kind;
  input.proposal.attempt = proposal->attempt;
  input.proposal.outcome = outcome;
  if (outcome == BR_PROPOSAL_COMMITTED)
    {
      session_apply (session, br_buf_str (&proposal->command), &bytes);
      result = br_result_unpack (br_buf_str (&bytes));
      input.proposal.result = result->claim;
      printf ("  outcome %s\n", br_claim_outcome_name (result->claim->verdict));
    }
  session_handle (session, proposal->contract, &input);
  br_result_free (result);
  br_buf_free (&bytes);
}

/* Applies a command without a reply to its proposer. */
static void
session_apply_without_reply (session_t *session, br_str_t command)
{
  br_buf_t bytes = { 0 };
  br_result_t *result;

  session_apply (session, command, &bytes);
  result = br_result_unpack (br_buf_str (&bytes));
  if (result->body_case == BR__STATE__RESULT__BODY_CLAIM)
    printf ("  outcome %s\n", br_claim_outcome_name (result->claim->verdict));
  br_result_free (result);
  br_buf_free (&bytes);
}

static void
session_end (session_t *session, int contract, const char *how)
{
  br_claim_input_t input = { .kind = BR_CLAIM_INPUT_END };

  br_claim_state_parse (br_str_from (how), &input.end.state);
  input.end.status = 200;
  input.end.body = br_str_from ("{\"paid\":1}");
  br_error_set (&input.end.error,
                input.end.state == BR_CLAIM_UNKNOWN ? BR_ERROR_UNKNOWN_OUTCOME
                                                    : BR_ERROR_UPSTREAM,
                "read answer", "ledger-1", "the connection broke");
  session_handle (session, contract, &input);
}

static void
session_show (const session_t *session)
{
  const br_claim_record_t *claim
      = br_state_claim (session->state, br_str_from (key));

  if (claim == NULL)
    printf ("  no claim\n");
  else
    printf ("  claim: %s, attempt %u of %s%s\n",
            br_claim_state_name (claim->state), claim->attempt,
            claim->owner->vm, claim->settled ? ", settled" : "");
}

static void
session_tick (session_t *session, br_ms_t elapsed)
{
  br_buf_t command = { 0 };

  br_state_command_tick (br_state_tick (session->state) + 1, elapsed, &command);
  session_apply_without_reply (session, br_buf_str (&command));
  br_buf_free (&command);
}

static void
session_abandon (session_t *session)
{
  br_buf_t command = { 0 };

  br_state_command_abandon (br_state_claim (session->state, br_str_from (key)),
                            &command);
  session_apply_without_reply (session, br_buf_str (&command));
  br_buf_free (&command);
}

static void
session_settle (session_t *session, const char *as)
{
  br_buf_t command = { 0 };
  br_claim_state_t state = BR_CLAIM_NONE;

  br_claim_state_parse (br_str_from (as), &state);
  br_state_command_settle (br_str_from (key), state, &command);
  session_apply_without_reply (session, br_buf_str (&command));
  br_buf_free (&command);
}

/* Replaces the state by its own snapshot. */
static void
session_restore (session_t *session)
{
  br_buf_t first = { 0 };
  br_buf_t second = { 0 };
  br_error_t err;

  br_state_snapshot (session->state, &first);
  if (!br_state_restore (session->state, br_buf_str (&first), &err))
    printf ("  %s\n", err.text);
  br_state_snapshot (session->state, &second);
  printf ("  the snapshot of the restored state is %s\n",
          br_str_equal (br_buf_str (&first), br_buf_str (&second)) ? "the same"
                                                                   : "another");
  br_buf_free (&first);
  br_buf_free (&second);
}

static void
session_run (session_t *session, const char *verb, const char *arguments)
{
  int contract = arguments[0] >= 'a' && arguments[0] < 'a' + CONTRACTS_MAX
                     ? arguments[0] - 'a'
                     : 0;
  const char *rest
      = arguments[0] != '\0' && arguments[1] == ' ' ? arguments + 2 : "";
  br_claim_input_t input;

  if (strcmp (verb, "open") == 0)
    session_open (session, contract, rest);
  else if (strcmp (verb, "at") == 0)
    session->now = atoll (arguments);
  else if (strcmp (verb, "start") == 0)
    {
      input = session_record_input (session, BR_CLAIM_INPUT_START);
      session_handle (session, contract, &input);
    }
  else if (strcmp (verb, "record") == 0)
    {
      input = session_record_input (session, BR_CLAIM_INPUT_RECORD);
      session_handle (session, contract, &input);
    }
  else if (strcmp (verb, "poll") == 0)
    {
      input = (br_claim_input_t){ .kind = BR_CLAIM_INPUT_TIME };
      session_handle (session, contract, &input);
    }
  else if (strcmp (verb, "commit") == 0)
    session_reply (session, atoi (arguments), BR_PROPOSAL_COMMITTED);
  else if (strcmp (verb, "refuse") == 0)
    session_reply (session, atoi (arguments), BR_PROPOSAL_REFUSED);
  else if (strcmp (verb, "unknown") == 0)
    session_reply (session, atoi (arguments), BR_PROPOSAL_UNKNOWN);
  else if (strcmp (verb, "apply") == 0)
    session_apply_without_reply (
        session, br_buf_str (&session->proposals[atoi (arguments)].command));
  else if (strcmp (verb, "end") == 0)
    session_end (session, contract, rest);
  else if (strcmp (verb, "abandon") == 0)
    session_abandon (session);
  else if (strcmp (verb, "settle") == 0)
    session_settle (session, arguments);
  else if (strcmp (verb, "tick") == 0)
    session_tick (session, atoll (arguments));
  else if (strcmp (verb, "restore") == 0)
    session_restore (session);
  else
    printf ("  unknown event\n");
  if (strcmp (verb, "open") != 0 && strcmp (verb, "at") != 0)
    session_show (session);
}

int
main (void)
{
  static session_t session;
  char line[200];

  session.state = br_state_new ();
  while (fgets (line, sizeof line, stdin) != NULL)
    {
      char *arguments;

      line[strcspn (line, "\n")] = '\0';
      if (line[0] == '#' || line[0] == '\0')
        continue;
      printf ("%s\n", line);
      arguments = line + strcspn (line, " ");
      if (*arguments != '\0')
        *arguments++ = '\0';
      session_run (&session, line, arguments);
    }
  for (int i = 0; i < CONTRACTS_MAX; i++)
    br_claim_release (&session.contracts[i]);
  for (int i = 0; i < session.n_proposals; i++)
    br_buf_free (&session.proposals[i].command);
  br_state_free (session.state);
  return 0;
}
