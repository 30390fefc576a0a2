#include "shell/claim_task.h"

#include <uthash.h>

#include "contract/claim.h"
#include "shell/claim_vms.h"
#include "shell/replica_task.h"
#include "state/command.h"

#define POLL_MS 50
#define SWEEP_EVERY_POLLS 20

/* Time between two ticks of the replicated state while it holds claims.  Each
 * VM adds a random part of the spread, which keeps VMs from proposing the same
 * tick. */
#define TICK_EVERY_MS 2000
#define TICK_SPREAD_MS 2000

#define ABANDONS_PER_SWEEP 64

/* Without a leader for this long, new claims are refused at once.  An election
 * takes less time. */
#define LEADERLESS_MS 1500

/* A planned stop waits this long after the start of a claim for its end to be
 * committed. */
#define STOP_WAIT_MAX_MS 10000

typedef struct
{
  uint64_t number; /* of the work; the hash key */
  br_claim_t claim;
  br_ms_t started_ms;
  UT_hash_handle hh;
} entry_t;

/* A proposal that has no outcome yet. */
typedef struct
{
  uint64_t ticket; /* the hash key */
  uint64_t number; /* of the work; 0 for a tick or an abandon, whose outcome is
                      ignored */
  br_claim_proposal_t kind;
  uint32_t attempt;
  UT_hash_handle hh;
} proposal_t;

struct br_claim_task
{
  br_node_t *node;
  entry_t *entries;
  proposal_t *proposals;
  size_t waiting; /* entries in step WAITING: another contract has the key */
  br_claim_vms_t *vms;
  struct event *poll;
  unsigned polls;
  br_ms_t leader_seen_ms;
  uint64_t tick; /* last one applied */
  br_ms_t tick_seen_ms;
  br_ms_t tick_spread_ms; /* added to TICK_EVERY_MS before the next tick */
};

static entry_t *
task_find (br_claim_task_t *task, uint64_t number)
{
  entry_t *entry;

  HASH_FIND (hh, task->entries, &number, sizeof number, entry);
  return entry;
}

static void
task_propose (br_claim_task_t *task,
              uint64_t number,
              const br_claim_action_t *action)
{
  proposal_t *proposal = br_alloc_zero (sizeof *proposal);

  proposal->number = number;
  proposal->kind = action->proposal;
  proposal->attempt = action->attempt;
  proposal->ticket = br_replica_task_propose (task->node->replica,
                                              br_buf_str (&action->bytes));
  HASH_ADD (hh, task->proposals, ticket, sizeof proposal->ticket, proposal);
}

static void
entry_log (br_claim_task_t *task, const entry_t *entry, const char *event)
{
  br_buf_t contract = { 0 };

  br_contract_id_print (&entry->claim.contract, &contract);
  BR_LOG (&task->node->log, "claim", event,
          br_field_z ("contract", contract.data),
          br_field_z ("step", br_claim_step_name (entry->claim.step)),
          br_field_str ("key", br_buf_str (&entry->claim.key)),
          br_field_int ("attempt", entry->claim.attempt));
  br_buf_free (&contract);
}

static void entry_handle (br_claim_task_t *task,
                          entry_t *entry,
                          const br_claim_input_t *input);

static void
entry_send (br_claim_task_t *task, entry_t *entry, br_ms_t not_after_ms)
{
  br_claim_input_t input = { .kind = BR_CLAIM_INPUT_END };

  br_counters_add (&task->node->counters, BR_COUNTER_CLAIMS_SENT, 1);
  entry_log (task, entry, "may_send");
  if (br_work_task_may_send (task->node->works, entry->number, not_after_ms))
    return;
  input.end.state = BR_CLAIM_NOT_RUN;
  br_error_set (&input.end.error, BR_ERROR_UNAVAILABLE, "send", "",
                "the request ended before it was sent");
  entry_handle (task, entry, &input);
}

static void
entry_act (br_claim_task_t *task,
           entry_t *entry,
           const br_claim_action_t *action)
{
  switch (action->kind)
    {
    case BR_CLAIM_ACTION_PROPOSE:
      task_propose (task, entry->number, action);
      break;
    case BR_CLAIM_ACTION_SEND:
      entry_send (task, entry, action->not_after_ms);
      break;
    case BR_CLAIM_ACTION_ANSWER:
      entry_log (task, entry, "answered_from_log");
      br_work_task_answered (task->node->works, entry->number,
                             (int)action->status, br_buf_str (&action->bytes));
      break;
    case BR_CLAIM_ACTION_FAIL:
      br_counters_add (&task->node->counters,
                       action->error.code == BR_ERROR_UNKNOWN_OUTCOME
                           ? BR_COUNTER_CLAIMS_UNKNOWN
                           : BR_COUNTER_CLAIMS_NOT_RUN,
                       1);
      entry_log (task, entry, "failed");
      br_work_task_failed (task->node->works, entry->number, &action->error);
      break;
    }
}

static void
entry_handle (br_claim_task_t *task,
              entry_t *entry,
              const br_claim_input_t *input)
{
  br_claim_actions_t outbox = { 0 };

  task->waiting -= entry->claim.step == BR_CLAIM_STEP_WAITING;
  br_claim_handle (&entry->claim, br_node_now (task->node), input, &outbox);
  task->waiting += entry->claim.step == BR_CLAIM_STEP_WAITING;
  for (size_t i = 0; i < outbox.len; i++)
    entry_act (task, entry, &outbox.items[i]);
  br_claim_actions_release (&outbox);
}

/* Appends what must be equal for a resend to count as the same request: method,
 * path and body. */
static void
work_print_request (const br_work_t *work, br_buf_t *out)
{
  br_buf_printf (out, "%d ", (int)work->method);
  br_buf_append (out, br_buf_str (&work->path));
  br_buf_append_char (out, '\n');
  br_buf_append (out, br_buf_str (&work->body));
}

static void
task_update_leader_seen (br_claim_task_t *task)
{
  if (br_replica_task_leader (task->node->replica)->len > 0)
    task->leader_seen_ms = br_node_now (task->node);
}

/* Returns whether there has been no leader for longer than an election
 * takes. */
static bool
task_has_no_majority (br_claim_task_t *task)
{
  task_update_leader_seen (task);
  return br_node_now (task->node) - task->leader_seen_ms >= LEADERLESS_MS;
}

void
br_claim_task_start (br_claim_task_t *task, br_work_t *work)
{
  const br_service_t *service
      = br_catalog_service (&task->node->catalog, br_name_str (&work->service));
  br_buf_t request = { 0 };
  br_claim_options_t options = {
    .organisation = br_name_str (&work->organisation),
    .service = br_name_str (&work->service),
    .key = br_buf_str (&work->idempotency_key),
    .contract = { .vm = task->node->settings.vm,
                  .incarnation = task->node->incarnation,
                  .number = work->number },
    .retention_ms
    = (uint64_t)(service != NULL ? service->retention_s : 86400) * 1000,
  };
  br_claim_input_t input = { .kind = BR_CLAIM_INPUT_START };
  entry_t *entry = br_alloc_zero (sizeof *entry);
  br_error_t err;

  work_print_request (work, &request);
  options.body = br_buf_str (&request);
  if (!br_claim_init (&entry->claim, &options, &err))
    {
      free (entry);
      br_buf_free (&request);
      br_work_task_failed (task->node->works, work->number, &err);
      return;
    }
  br_buf_free (&request);
  entry->number = work->number;
  entry->started_ms = br_node_now (task->node);
  HASH_ADD (hh, task->entries, number, sizeof entry->number, entry);
  input.record
      = br_state_claim (task->node->state, br_buf_str (&entry->claim.key));
  input.no_majority = task_has_no_majority (task);
  entry_handle (task, entry, &input);
}

bool
br_claim_task_on_failure (br_claim_task_t *task,
                          const br_work_t *work,
                          const br_error_t *err)
{
  entry_t *entry = task_find (task, work->number);
  br_claim_input_t input = { .kind = BR_CLAIM_INPUT_END };

  if (entry == NULL || entry->claim.step != BR_CLAIM_STEP_RUNNING)
    return false;
  input.end.state = err->code == BR_ERROR_UNKNOWN_OUTCOME ? BR_CLAIM_UNKNOWN
                                                          : BR_CLAIM_NOT_RUN;
  input.end.error = *err;
  entry_handle (task, entry, &input);
  return true;
}

void
br_claim_task_on_answer (br_claim_task_t *task, const br_work_t *work)
{
  entry_t *entry = task_find (task, work->number);
  br_claim_input_t input = { .kind = BR_CLAIM_INPUT_END };

  if (entry == NULL)
    return;
  input.end.state = BR_CLAIM_ANSWERED;
  input.end.status = (uint32_t)work->status;
  input.end.body = br_buf_str (&work->answer.bytes);
  entry_handle (task, entry, &input);
}

static void
task_on_claim_proposal (br_claim_task_t *task,
                        const proposal_t *proposal,
                        const br_proposal_message_t *message)
{
  entry_t *entry = task_find (task, proposal->number);
  br_result_t *result = NULL;
  br_claim_input_t input = { .kind = BR_CLAIM_INPUT_PROPOSAL };

  if (entry == NULL)
    return;
  input.proposal.kind = proposal->kind;
  input.proposal.attempt = proposal->attempt;
  input.proposal.outcome = message->outcome;
  if (message->outcome == BR_PROPOSAL_COMMITTED)
    {
      result = br_result_unpack (br_buf_str (&message->result));
      if (result != NULL && result->body_case == BR__STATE__RESULT__BODY_CLAIM)
        input.proposal.result = result->claim;
      else
        input.proposal.outcome = BR_PROPOSAL_UNKNOWN;
    }
  entry_handle (task, entry, &input);
  br_result_free (result);
}

bool
br_claim_task_on_proposal (br_claim_task_t *task,
                           const br_proposal_message_t *message)
{
  proposal_t *proposal;

  HASH_FIND (hh, task->proposals, &message->ticket, sizeof message->ticket,
             proposal);
  if (proposal == NULL)
    return false;
  HASH_DEL (task->proposals, proposal);
  if (proposal->number != 0)
    task_on_claim_proposal (task, proposal, message);
  free (proposal);
  return true;
}

static void
task_update_tick (br_claim_task_t *task)
{
  uint64_t tick = br_state_tick (task->node->state);

  if (tick == task->tick)
    return;
  task->tick = tick;
  task->tick_seen_ms = br_node_now (task->node);
  task->tick_spread_ms
      = (br_ms_t)br_random_below (&task->node->random, TICK_SPREAD_MS);
}

void
br_claim_task_on_applied (br_claim_task_t *task)
{
  entry_t *entry;
  entry_t *next;

  task_update_tick (task);
  if (task->waiting == 0)
    return;
  HASH_ITER (hh, task->entries, entry, next)
  {
    br_claim_input_t input = { .kind = BR_CLAIM_INPUT_RECORD };

    if (entry->claim.step != BR_CLAIM_STEP_WAITING)
      continue;
    input.record
        = br_state_claim (task->node->state, br_buf_str (&entry->claim.key));
    entry_handle (task, entry, &input);
  }
}

void
br_claim_task_on_vm (br_claim_task_t *task,
                     const br_name_t *vm,
                     uint64_t incarnation,
                     bool up)
{
  br_claim_vms_update (task->vms, br_node_now (task->node), vm, incarnation,
                       up);
}

/* Returns whether the owner of CLAIM can no longer end it, as far as this VM
 * can determine. */
static bool
task_owner_is_lost (br_claim_task_t *task, const br_claim_record_t *claim)
{
  const br_claim_owner_t *owner = claim->owner;
  br_node_t *node = task->node;
  const entry_t *entry;

  if (!br_str_equal (br_str_from (owner->vm), br_name_str (&node->settings.vm)))
    return br_claim_vms_is_lost (task->vms, br_node_now (node), owner);
  entry = task_find (task, owner->number);
  return owner->incarnation != node->incarnation || entry == NULL
         || entry->claim.step == BR_CLAIM_STEP_OVER;
}

BR_VEC (commands, br_buf_t);

/* Collects the commands that abandon claims.  They are proposed after the
 * visit, because a proposal may change the state that is visited. */
typedef struct
{
  br_claim_task_t *task;
  commands_t commands; /* owned, including the buffers */
} sweep_t;

static void
sweep_visit (const br_claim_record_t *claim, void *context)
{
  sweep_t *sweep = context;
  br_buf_t command = { 0 };

  if (claim->state != BR_CLAIM_CLAIMED && claim->state != BR_CLAIM_SENT)
    return;
  if (sweep->commands.len >= ABANDONS_PER_SWEEP
      || !task_owner_is_lost (sweep->task, claim))
    return;
  br_state_command_abandon (claim, &command);
  commands_push (&sweep->commands, command);
  BR_LOG (&sweep->task->node->log, "claim", "abandon",
          br_field_z ("key", claim->key), br_field_z ("peer", claim->owner->vm),
          br_field_z ("step", br_claim_state_name (claim->state)));
}

static void
task_sweep (br_claim_task_t *task)
{
  sweep_t sweep = { .task = task };

  br_state_each_claim (task->node->state, sweep_visit, &sweep);
  for (size_t i = 0; i < sweep.commands.len; i++)
    {
      br_claim_action_t action = { .kind = BR_CLAIM_ACTION_PROPOSE,
                                   .bytes = sweep.commands.items[i] };

      task_propose (task, 0, &action);
      br_buf_free (&action.bytes);
    }
  commands_free (&sweep.commands);
}

static void
task_tick (br_claim_task_t *task)
{
  br_claim_action_t action = { .kind = BR_CLAIM_ACTION_PROPOSE };
  br_ms_t elapsed;

  task_update_tick (task);
  elapsed = br_node_now (task->node) - task->tick_seen_ms;
  if (br_state_claim_count (task->node->state) == 0
      || elapsed < TICK_EVERY_MS + task->tick_spread_ms)
    return;
  br_state_command_tick (task->tick + 1, elapsed, &action.bytes);
  task_propose (task, 0, &action);
  br_buf_free (&action.bytes);
  /* Unless this tick is applied, which starts a new interval, the next one is
   * proposed TICK_EVERY_MS from now. */
  task->tick_spread_ms = elapsed;
}

static void
task_on_poll (evutil_socket_t fd, short what, void *context)
{
  br_claim_task_t *task = context;
  br_claim_input_t input = { .kind = BR_CLAIM_INPUT_TIME };
  entry_t *entry;
  entry_t *next;

  (void)fd;
  (void)what;
  task_update_leader_seen (task);
  HASH_ITER (hh, task->entries, entry, next)
  {
    entry_handle (task, entry, &input);
    if (entry->claim.step != BR_CLAIM_STEP_OVER)
      continue;
    HASH_DEL (task->entries, entry);
    br_claim_release (&entry->claim);
    free (entry);
  }
  if (++task->polls % SWEEP_EVERY_POLLS != 0)
    return;
  task_sweep (task);
  task_tick (task);
}

size_t
br_claim_task_in_progress (const br_claim_task_t *task)
{
  br_ms_t now = br_node_now (task->node);
  size_t n = 0;

  for (const entry_t *entry = task->entries; entry != NULL;
       entry = entry->hh.next)
    if (entry->claim.step != BR_CLAIM_STEP_OVER
        && now - entry->started_ms < STOP_WAIT_MAX_MS)
      n++;
  return n;
}

br_claim_task_t *
br_claim_task_new (br_node_t *node)
{
  br_claim_task_t *task = br_alloc_zero (sizeof *task);
  struct timeval period = { 0, POLL_MS * 1000 };

  task->node = node;
  task->vms = br_claim_vms_new (&node->settings.vm, node->started_ms);
  task->tick_seen_ms = task->leader_seen_ms = br_node_now (node);
  task->poll = event_new (node->base, -1, EV_PERSIST, task_on_poll, task);
  event_add (task->poll, &period);
  return task;
}

void
br_claim_task_free (br_claim_task_t *task)
{
  if (task == NULL)
    return;
  entry_t *entry;
  entry_t *next_entry;
  proposal_t *proposal;
  proposal_t *next_proposal;

  if (task == NULL)
    return;
  HASH_ITER (hh, task->entries, entry, next_entry)
  {
    HASH_DEL (task->entries, entry);
    br_claim_release (&entry->claim);
    free (entry);
  }
  HASH_ITER (hh, task->proposals, proposal, next_proposal)
  {
    HASH_DEL (task->proposals, proposal);
    free (proposal);
  }
  br_claim_vms_free (task->vms);
  event_free (task->poll);
  free (task);
}
