#include "shell/operator_change.h"

#include <inttypes.h>

#include "shell/http_reply.h"
#include "shell/operator_input.h"
#include "shell/operator_report.h"
#include "shell/replica_task.h"
#include "state/command.h"

#define TRIES_MAX 8
#define REPLY_TIMEOUT_MS 10000
#define RETRY_AFTER_MS 1000
#define POLL_MS 200

/* One request of an operator that waits for the replicated log. */
typedef struct change
{
  br_operator_change_t *changes;
  struct evhttp_request *request; /* NULL after the operator's disconnect */
  bool settle;                    /* the request settles a claim */
  br_operator_input_t input;
  br_buf_t report; /* matches of the selectors at the last check */
  int tries;
  uint64_t ticket; /* of the pending proposal; 0: waits for wait_revision */
  uint64_t wait_revision;
  br_ms_t started_ms;
  struct change *next;
} change_t;

struct br_operator_change
{
  br_node_t *node;
  change_t *first;
  uint64_t generated_names; /* of operations whose operator gave no name */
  struct event *poll;
};

static void
change_free (change_t *change)
{
  change_t **at = &change->changes->first;

  while (*at != change)
    at = &(*at)->next;
  *at = change->next;
  if (change->request != NULL)
    evhttp_connection_set_closecb (
        evhttp_request_get_connection (change->request), NULL, NULL);
  br_buf_free (&change->report);
  br_operator_input_release (&change->input);
  free (change);
}

static void
change_on_closed (struct evhttp_connection *connection, void *context)
{
  change_t *change = context;

  (void)connection;
  change->request = NULL;
}

/* Detaches the request from CHANGE, for the reply.  Returns NULL after the
 * operator's disconnect. */
static struct evhttp_request *
change_take_request (change_t *change)
{
  struct evhttp_request *request = change->request;

  if (request != NULL)
    evhttp_connection_set_closecb (evhttp_request_get_connection (request),
                                   NULL, NULL);
  change->request = NULL;
  return request;
}

static void
change_fail (change_t *change, const br_error_t *err)
{
  struct evhttp_request *request = change_take_request (change);

  br_log_error (&change->changes->node->log, "operator", "refused", err);
  if (request != NULL)
    br_http_reply_error (request, err);
  change_free (change);
}

static void
change_reply (change_t *change, uint64_t revision, bool first)
{
  struct evhttp_request *request = change_take_request (change);
  br_buf_t out = { 0 };

  BR_LOG (&change->changes->node->log, "operator", "change",
          br_field_str ("operation", br_buf_str (&change->input.operation)),
          br_field_int ("revision", (int64_t)revision));
  br_buf_printf (&out,
                 "{\"operation\":\"%s\",\"revision\":%" PRIu64
                 ",\"dry_run\":%s,\"repeated\":%s,\"selectors\":[%s]}\n",
                 change->input.operation.data, revision,
                 change->input.dry_run ? "true" : "false",
                 first ? "false" : "true",
                 change->report.len > 0 ? change->report.data : "");
  if (request != NULL)
    br_http_reply (request, HTTP_OK, "application/json", br_buf_str (&out));
  br_buf_free (&out);
  change_free (change);
}

static void
print_winner (const br_change_result_t *result, br_buf_t *out)
{
  if (result->winner_operation[0] == '\0')
    return;
  br_buf_printf (out, "; operation %s through %s won and changed",
                 result->winner_operation, result->winner_actor);
  for (size_t i = 0; i < result->n_winner_changed; i++)
    br_buf_printf (out, "%s %s", i > 0 ? "," : "", result->winner_changed[i]);
  if (result->winner_changed_total > result->n_winner_changed)
    br_buf_printf (out, " and %zu more",
                   (size_t)result->winner_changed_total
                       - result->n_winner_changed);
}

static void
change_conflict (change_t *change, const br_change_result_t *result)
{
  br_buf_t text = { 0 };
  br_error_t err;

  br_buf_printf (
      &text, "revision %" PRIu64 " was expected and %" PRIu64 " was in force",
      change->input.expected_revision, result->revision);
  print_winner (result, &text);
  br_error_set (&err, BR_ERROR_CONFLICT, "change declarations", "", "%s",
                text.data);
  br_buf_free (&text);
  change_fail (change, &err);
}

/* Replies with the operation result.  BR_CHANGE_STALE must be handled by the
 * caller. */
static void
change_reply_result (change_t *change, const br_change_result_t *result)
{
  br_error_t err;

  switch (result->outcome)
    {
    case BR_CHANGE_APPLIED:
      change_reply (change, result->revision, result->first);
      return;
    case BR_CHANGE_CONFLICT:
      change_conflict (change, result);
      return;
    case BR_CHANGE_NOT_FOUND:
      br_error_set (&err, BR_ERROR_NOT_FOUND, "change declarations", "",
                    "there is no such declaration at revision %" PRIu64,
                    result->revision);
      break;
    default:
      br_error_set (&err, BR_ERROR_TOO_LARGE, "change declarations", "",
                    "the declarations, their number or the operation's name "
                    "exceed a limit of the state");
    }
  change_fail (change, &err);
}

static bool
change_check (change_t *change, br_error_t *err)
{
  br_node_t *node = change->changes->node;
  br_catalog_t after = { 0 };
  br_paths_t put = { 0 };
  bool ok;

  for (size_t i = 0; i < change->input.put.len; i++)
    {
      br_buf_t path = { 0 };

      br_buf_printf (&path, "%s/%s",
                     br_declaration_kind_name (change->input.put.items[i].kind),
                     change->input.put.items[i].name.data);
      br_paths_push (&put, path);
    }
  br_operator_overlay (node->state, &change->input, &after);
  br_buf_clear (&change->report);
  ok = br_operator_report (node, &node->catalog, &after, &put, &change->report,
                           err);
  for (size_t i = 0; i < put.len; i++)
    br_buf_free (&put.items[i]);
  br_paths_free (&put);
  br_catalog_release (&after);
  return ok;
}

static void
change_propose (change_t *change)
{
  br_node_t *node = change->changes->node;
  br_change_t message = BR__STATE__CHANGE__INIT;
  br_buf_t command = { 0 };

  message.operation = change->input.operation.data;
  message.actor = node->settings.vm.data;
  message.expects = change->input.expects;
  message.expected_revision = change->input.expected_revision;
  message.base_revision = br_state_revision (node->state);
  message.put = br_operator_items_to_messages (&change->input.put);
  message.n_put = change->input.put.len;
  message.remove = br_operator_items_to_messages (&change->input.remove);
  message.n_remove = change->input.remove.len;
  br_state_command_change (&message, &command);
  change->ticket
      = br_replica_task_propose (node->replica, br_buf_str (&command));
  br_operator_messages_free (message.put);
  br_operator_messages_free (message.remove);
  br_buf_free (&command);
}

/* Checks the change against the revision in force on this VM and proposes it.
 * An operation that the state holds already gets its first result again. */
static void
change_try (change_t *change)
{
  br_node_t *node = change->changes->node;
  const br_change_result_t *result = br_state_operation_result (
      node->state, br_buf_str (&change->input.operation));
  br_change_result_t repeated;
  br_error_t err;

  if (result != NULL)
    {
      repeated = *result;
      repeated.first = false;
      change_reply_result (change, &repeated);
      return;
    }
  if (!change_check (change, &err))
    {
      change_fail (change, &err);
      return;
    }
  if (change->input.dry_run)
    {
      change_reply (change, br_state_revision (node->state), true);
      return;
    }
  change->tries++;
  change_propose (change);
}

static void
change_on_result (change_t *change, const br_result_t *result)
{
  br_error_t err;

  if (result == NULL || result->body_case != BR__STATE__RESULT__BODY_CHANGE)
    {
      br_error_set (&err, BR_ERROR_INTERNAL, "change declarations", "",
                    "the log returned no operation result");
      change_fail (change, &err);
      return;
    }
  if (result->change->outcome != BR_CHANGE_STALE)
    {
      change_reply_result (change, result->change);
      return;
    }
  if (change->tries >= TRIES_MAX)
    {
      br_error_set (&err, BR_ERROR_UNAVAILABLE, "change declarations", "",
                    "other operations keep changing the declarations");
      err.retry_after_ms = RETRY_AFTER_MS;
      change_fail (change, &err);
      return;
    }
  change->ticket = 0;
  change->wait_revision = result->change->revision;
  br_operator_change_on_applied (change->changes);
}

static void
settle_on_result (change_t *change, const br_result_t *result)
{
  br_error_t err;
  br_claim_outcome_t outcome
      = result != NULL && result->body_case == BR__STATE__RESULT__BODY_CLAIM
            ? result->claim->verdict
            : BR_CLAIM_OUTCOME_INVALID;

  if (outcome == BR_CLAIM_OUTCOME_OK)
    {
      change_reply (change, br_state_revision (change->changes->node->state),
                    true);
      return;
    }
  if (outcome == BR_CLAIM_OUTCOME_TOO_EARLY)
    {
      br_error_set (
          &err, BR_ERROR_UNAVAILABLE, "settle claim", "",
          "the owner of the claim may still send the call; try again");
      err.retry_after_ms = RETRY_AFTER_MS;
    }
  else if (outcome == BR_CLAIM_OUTCOME_STALE)
    br_error_set (&err, BR_ERROR_CONFLICT, "settle claim", "",
                  "no claim with this key has an unknown outcome");
  else
    br_error_set (&err, BR_ERROR_INVALID, "settle claim", "", "%s",
                  br_claim_outcome_name (outcome));
  change_fail (change, &err);
}

static void
change_on_outcome (change_t *change, const br_proposal_message_t *message)
{
  br_result_t *result;
  br_error_t err;

  if (message->outcome == BR_PROPOSAL_COMMITTED)
    {
      result = br_result_unpack (br_buf_str (&message->result));
      if (change->settle)
        settle_on_result (change, result);
      else
        change_on_result (change, result);
      br_result_free (result);
      return;
    }
  if (message->outcome == BR_PROPOSAL_REFUSED)
    br_error_set (&err, BR_ERROR_UNAVAILABLE, "change declarations", "",
                  "no majority of voters can be reached");
  else
    br_error_set (&err, BR_ERROR_UNKNOWN_OUTCOME, "change declarations", "",
                  "no majority answered in time; resend operation %s",
                  change->input.operation.data);
  err.retry_after_ms = RETRY_AFTER_MS;
  change_fail (change, &err);
}

bool
br_operator_change_on_proposal (br_operator_change_t *changes,
                                const br_proposal_message_t *message)
{
  for (change_t *change = changes->first; change != NULL; change = change->next)
    if (change->ticket == message->ticket && change->ticket != 0)
      {
        change_on_outcome (change, message);
        return true;
      }
  return false;
}

void
br_operator_change_on_applied (br_operator_change_t *changes)
{
  uint64_t revision = br_state_revision (changes->node->state);
  change_t *next;

  for (change_t *change = changes->first; change != NULL; change = next)
    {
      next = change->next;
      if (change->ticket == 0 && revision >= change->wait_revision)
        change_try (change);
    }
}

static void
changes_on_poll (evutil_socket_t fd, short what, void *context)
{
  br_operator_change_t *changes = context;
  br_ms_t now = br_node_now (changes->node);
  br_error_t err;
  change_t *next;

  (void)fd;
  (void)what;
  br_error_set (&err, BR_ERROR_UNKNOWN_OUTCOME, "change declarations", "",
                "no outcome within %d ms; resend the same operation",
                REPLY_TIMEOUT_MS);
  err.retry_after_ms = RETRY_AFTER_MS;
  for (change_t *change = changes->first; change != NULL; change = next)
    {
      next = change->next;
      if (now - change->started_ms >= REPLY_TIMEOUT_MS)
        change_fail (change, &err);
    }
}

static change_t *
change_new (br_operator_change_t *changes, struct evhttp_request *request)
{
  change_t *change = br_alloc_zero (sizeof *change);

  change->changes = changes;
  change->request = request;
  change->started_ms = br_node_now (changes->node);
  change->next = changes->first;
  changes->first = change;
  evhttp_connection_set_closecb (evhttp_request_get_connection (request),
                                 change_on_closed, change);
  return change;
}

/* Generates a name for an operation whose operator gave none. */
static void
change_name_operation (change_t *change)
{
  br_operator_change_t *changes = change->changes;

  if (change->input.operation.len == 0)
    br_buf_printf (&change->input.operation, "%s.%" PRIx64 ".%" PRIu64,
                   changes->node->settings.vm.data, changes->node->incarnation,
                   ++changes->generated_names);
}

void
br_operator_change_apply (br_operator_change_t *changes,
                          struct evhttp_request *request)
{
  change_t *change = change_new (changes, request);
  br_error_t err;
  bool ok = br_operator_input_read_query (&change->input, request, &err)
            && br_operator_input_read_body (&change->input,
                                            br_http_body (request), &err);

  change_name_operation (change);
  if (ok)
    change_try (change);
  else
    change_fail (change, &err);
}

void
br_operator_change_delete (br_operator_change_t *changes,
                           struct evhttp_request *request,
                           br_str_t path)
{
  change_t *change = change_new (changes, request);
  br_error_t err;
  bool ok = br_operator_input_read_query (&change->input, request, &err)
            && br_operator_input_read_path (&change->input, path, &err);

  change_name_operation (change);
  if (ok)
    change_try (change);
  else
    change_fail (change, &err);
}

void
br_operator_change_settle (br_operator_change_t *changes,
                           struct evhttp_request *request)
{
  change_t *change = change_new (changes, request);
  br_buf_t command = { 0 };
  br_error_t err;

  change->settle = true;
  change_name_operation (change);
  if (br_operator_settle_read_query (request, &command, &err))
    change->ticket = br_replica_task_propose (changes->node->replica,
                                              br_buf_str (&command));
  else
    change_fail (change, &err);
  br_buf_free (&command);
}

br_operator_change_t *
br_operator_change_new (br_node_t *node)
{
  br_operator_change_t *changes = br_alloc_zero (sizeof *changes);
  struct timeval period = { 0, POLL_MS * 1000 };

  changes->node = node;
  changes->poll
      = event_new (node->base, -1, EV_PERSIST, changes_on_poll, changes);
  event_add (changes->poll, &period);
  return changes;
}

void
br_operator_change_free (br_operator_change_t *changes)
{
  while (changes->first != NULL)
    change_free (changes->first);
  event_free (changes->poll);
  free (changes);
}
