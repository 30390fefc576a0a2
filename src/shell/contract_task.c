#include "shell/contract_task.h"

#include "contract/contract.h"
#include "contract/feed.h"
#include "contract/follow.h"

#define TICK_MS 20

/* A follower that does not renew its request for this long is removed. */
#define FOLLOWER_EXPIRE_MS 3000

struct br_contract_task
{
  br_node_t *node;
  br_contracts_t *contracts;
  br_follows_t *follows;
  br_feeds_t *feeds;
  struct event *tick;
  bool flushing; /* task_flush() runs */
};

static void
task_send (br_contract_task_t *task,
           const br_name_t *vm,
           const br_contract_message_t *message)
{
  br_buf_t packed = { 0 };

  br_contract_message_pack (message, &packed);
  br_node_send (task->node, vm, BR_PART_CONTRACT, br_buf_str (&packed));
  br_buf_free (&packed);
}

static void
task_post_change (br_contract_task_t *task, const br_work_t *work)
{
  br_node_message_t message = { .kind = BR_NODE_WORK_CHANGED };

  message.work = work->number;
  br_node_post (task->node, message);
}

static void
task_log (br_contract_task_t *task,
          const char *event,
          const br_work_t *work,
          const br_name_t *vm,
          int64_t after_ms)
{
  BR_LOG (&task->node->log, "contract", event,
          br_field_z ("contract", work->contract_text),
          br_field_z ("peer", vm->len > 0 ? vm->data : "none"),
          br_field_int ("offset", (int64_t)work->answer.parts.len),
          br_field_int ("after_ms", after_ms));
}

static void
task_on_accepted (br_contract_task_t *task,
                  br_work_t *work,
                  const br_name_t *backup)
{
  work->accepted = true;
  work->backup = *backup;
  task_log (task, backup->len > 0 ? "protected" : "unprotected", work, backup,
            br_node_now (task->node) - work->accepted_ms);
  task_post_change (task, work);
}

/* Fills the view of WORK that the contract module reads.  WORK keeps the
 * bytes. */
static void
work_fill_request (br_work_t *work)
{
  work->request = (br_contract_request_t){
    .service = work->service,
    .organisation = work->organisation,
    .streamed = work->kind == BR_SERVICE_MODEL,
    .method = work->method,
    .path = work->path,
    .body = work->body,
    .content_type = work->content_type,
  };
}

static void
task_on_take_over (br_contract_task_t *task, const br_contract_action_t *action)
{
  br_contract_copy_t *copy = action->copy;
  br_work_t *work;

  br_follows_stop (task->follows, &action->contract);
  work = br_work_task_take_over (task->node->works, &action->contract, copy);
  br_contract_request_free (&copy->request);
  br_answer_free (&copy->answer);
  free (copy);
  work_fill_request (work);
  task_log (task, "take_over", work, &action->vm, 0);
  br_contracts_adopt (task->contracts, &work->contract, &work->request,
                      &work->answer, (uint32_t)work->status,
                      br_node_now (task->node));
  br_work_task_resume (task->node->works, work);
}

static void
task_on_stop (br_contract_task_t *task, const br_contract_action_t *action)
{
  br_work_t *work
      = br_work_task_find_contract (task->node->works, &action->contract);

  if (work == NULL)
    return;
  task_log (task, "superseded", work, &action->vm, 0);
  if (work->state != BR_WORK_RUNNING)
    return;
  br_work_task_release (task->node->works, work);
  br_follows_start (task->follows, &work->contract, &action->vm, true,
                    &work->answer, br_node_now (task->node));
}

static void
task_run_contract_action (br_contract_task_t *task,
                          const br_contract_action_t *action)
{
  br_work_t *work
      = br_work_task_find_contract (task->node->works, &action->contract);

  switch (action->kind)
    {
    case BR_CONTRACT_SEND:
      task_send (task, &action->vm, &action->message);
      break;
    case BR_CONTRACT_ACCEPTED:
      if (work != NULL)
        task_on_accepted (task, work, &action->vm);
      break;
    case BR_CONTRACT_PROTECTED:
      if (work != NULL)
        task_log (task, "held", work, &action->vm, action->after_ms);
      break;
    case BR_CONTRACT_TAKE_OVER:
      task_on_take_over (task, action);
      break;
    case BR_CONTRACT_STOP:
      task_on_stop (task, action);
      break;
    }
}

static void
task_on_found (br_contract_task_t *task,
               br_work_t *work,
               const br_follow_action_t *action)
{
  const br_contract_message_t *message = &action->message;
  br_error_t err;

  if (work->organisation.len > 0
      && !br_name_equal (&work->organisation, &message->located.organisation))
    {
      br_follows_stop (task->follows, &work->contract);
      br_error_set (&err, BR_ERROR_FORBIDDEN, "authorise", "",
                    "the contract belongs to another organisation");
      br_work_task_end_followed (task->node->works, work, 0, &err);
      return;
    }
  work->organisation = message->located.organisation;
  work->service = message->located.service;
  work->kind = message->located.streamed ? BR_SERVICE_MODEL : BR_SERVICE_PLAIN;
  br_buf_clear (&work->path);
  br_buf_append (&work->path, message->located.path);
  work->accepted = true;
  task_log (task, "followed", work, &action->vm, 0);
}

static void
task_run_follow_action (br_contract_task_t *task,
                        const br_follow_action_t *action)
{
  br_work_t *work
      = br_work_task_find_contract (task->node->works, &action->contract);

  if (action->kind == BR_FOLLOW_SEND)
    task_send (task, &action->vm, &action->message);
  if (work == NULL || action->kind == BR_FOLLOW_SEND)
    return;
  switch (action->kind)
    {
    case BR_FOLLOW_SEND:
      break;
    case BR_FOLLOW_FOUND:
      task_on_found (task, work, action);
      break;
    case BR_FOLLOW_PARTS:
      task_post_change (task, work);
      break;
    case BR_FOLLOW_ENDED:
      br_work_task_end_followed (task->node->works, work, (int)action->status,
                                 NULL);
      break;
    case BR_FOLLOW_FAILED:
      br_work_task_end_followed (task->node->works, work, 0, &action->error);
      break;
    }
}

/* Runs the queued actions of contracts, follows and feeds.  An action can queue
 * further ones. */
static void
task_flush (br_contract_task_t *task)
{
  br_contract_outbox_t *contracts = br_contracts_outbox (task->contracts);
  br_follow_outbox_t *follows = br_follows_outbox (task->follows);
  br_feed_outbox_t *feeds = br_feeds_outbox (task->feeds);

  /* The actions below can call this function again. */
  if (task->flushing)
    return;
  task->flushing = true;
  for (size_t i = 0; i < follows->len; i++)
    {
      br_follow_action_t action = follows->items[i];

      task_run_follow_action (task, &action);
    }
  br_follow_outbox_clear (follows);
  for (size_t i = 0; i < contracts->len; i++)
    {
      br_contract_action_t action = contracts->items[i];

      task_run_contract_action (task, &action);
    }
  br_contract_outbox_clear (contracts);
  for (size_t i = 0; i < follows->len; i++)
    {
      br_follow_action_t action = follows->items[i];

      task_run_follow_action (task, &action);
    }
  br_follow_outbox_clear (follows);
  for (size_t i = 0; i < feeds->len; i++)
    task_send (task, &feeds->items[i].vm, &feeds->items[i].message);
  br_feed_outbox_clear (feeds);
  task->flushing = false;
}

static br_feed_source_t
task_source (br_contract_task_t *task, const br_work_t *work)
{
  /* A plain answer starts again with each attempt, which is why followers get
   * it only when it is whole. */
  static const br_answer_t nothing = { 0 };
  bool visible = work->kind == BR_SERVICE_MODEL || work->state == BR_WORK_DONE;
  br_feed_source_t source = {
    .contract = work->contract,
    .answer = visible ? &work->answer : &nothing,
    .status = (uint32_t)work->status,
    .failure = work->state == BR_WORK_FAILED ? &work->error : NULL,
    .epoch = { .number = 1, .owner = task->node->settings.vm },
  };

  br_contracts_look_up (task->contracts, &work->contract, &source.epoch);
  return source;
}

static void
task_on_locate (br_contract_task_t *task,
                const br_name_t *from,
                const br_contract_message_t *request)
{
  br_contract_message_t reply
      = { .kind = BR_CONTRACT_LOCATED, .contract = request->contract };
  const br_work_t *work
      = br_work_task_find_contract (task->node->works, &request->contract);
  br_contract_role_t role = br_contracts_look_up (
      task->contracts, &request->contract, &reply.epoch);

  reply.located.role = role;
  if (work != NULL && !work->followed)
    {
      reply.epoch = task_source (task, work).epoch;
      reply.located.role = BR_CONTRACT_ROLE_OWNER;
      reply.located.organisation = work->organisation;
      reply.located.service = work->service;
      reply.located.streamed = work->kind == BR_SERVICE_MODEL;
      reply.located.path = br_buf_str (&work->path);
    }
  task_send (task, from, &reply);
}

static void
task_on_follow (br_contract_task_t *task,
                const br_name_t *from,
                const br_contract_message_t *message)
{
  br_work_t *work
      = br_work_task_find_contract (task->node->works, &message->contract);
  br_feed_source_t source;

  if (work == NULL || work->followed)
    {
      task_on_locate (task, from, message);
      return;
    }
  work->unread_since_ms = br_node_now (task->node);
  source = task_source (task, work);
  br_feeds_on_follow (task->feeds, from, message, &source,
                      br_node_now (task->node));
}

void
br_contract_task_on_peer (br_contract_task_t *task,
                          const br_peer_message_t *peer)
{
  br_contract_message_t message;
  br_ms_t now = br_node_now (task->node);
  br_error_t err;

  if (!br_contract_message_unpack (br_buf_str (&peer->payload), peer->vm.data,
                                   &message, &err))
    {
      br_log_error (&task->node->log, "contract", "bad_message", &err);
      br_counters_add (&task->node->counters, BR_COUNTER_PROTOCOL_ERRORS, 1);
    }
  else if (message.kind == BR_CONTRACT_LOCATE)
    task_on_locate (task, &peer->vm, &message);
  else if (message.kind == BR_CONTRACT_FOLLOW)
    task_on_follow (task, &peer->vm, &message);
  else if (message.kind == BR_CONTRACT_LOCATED
           || message.kind == BR_CONTRACT_FEED)
    br_follows_on_message (task->follows, &peer->vm, &message, now);
  else
    br_contracts_on_message (task->contracts, &peer->vm, &message, now);
  task_flush (task);
  br_contract_message_release (&message);
}

void
br_contract_task_on_link (br_contract_task_t *task,
                          const br_peer_message_t *peer,
                          bool up)
{
  br_ms_t now = br_node_now (task->node);

  br_contracts_on_link (task->contracts, &peer->vm, peer->incarnation, up, now);
  br_follows_on_link (task->follows, &peer->vm, up, now);
  task_flush (task);
}

void
br_contract_task_accept (br_contract_task_t *task, br_work_t *work)
{
  if (!work->repeatable)
    {
      work->accepted = true;
      return;
    }
  work_fill_request (work);
  br_contracts_accept (task->contracts, &work->contract, &work->request,
                       &work->answer, br_node_now (task->node));
  task_flush (task);
}

void
br_contract_task_on_answer (br_contract_task_t *task, br_work_t *work)
{
  br_ms_t now = br_node_now (task->node);

  if (work->followed)
    return;
  if (br_feeds_has_followers (task->feeds))
    {
      br_feed_source_t source = task_source (task, work);

      br_feeds_on_answer (task->feeds, &source);
    }
  if (work->state == BR_WORK_FAILED)
    br_contracts_remove (task->contracts, &work->contract, now);
  else
    br_contracts_on_answer (task->contracts, &work->contract,
                            (uint32_t)work->status, now);
  task_flush (task);
}

void
br_contract_task_remove (br_contract_task_t *task, br_work_t *work)
{
  br_follows_stop (task->follows, &work->contract);
  if (!work->followed)
    br_contracts_remove (task->contracts, &work->contract,
                         br_node_now (task->node));
  task_flush (task);
}

void
br_contract_task_follow (br_contract_task_t *task, br_work_t *work)
{
  br_contract_epoch_t epoch;
  bool copy_here
      = br_contracts_look_up (task->contracts, &work->contract, &epoch)
        == BR_CONTRACT_ROLE_BACKUP;

  br_follows_start (task->follows, &work->contract, NULL, copy_here,
                    &work->answer, br_node_now (task->node));
  task_flush (task);
}

void
br_contract_task_leave (br_contract_task_t *task)
{
  br_contracts_leave (task->contracts, br_node_now (task->node));
  task_flush (task);
}

void
br_contract_task_on_leaving (br_contract_task_t *task, const br_name_t *name)
{
  br_contract_message_t leaving = { .kind = BR_CONTRACT_LEAVING };

  br_contracts_on_message (task->contracts, name, &leaving,
                           br_node_now (task->node));
  task_flush (task);
}

void
br_contract_task_hand_over (br_contract_task_t *task)
{
  br_contracts_hand_over (task->contracts, br_node_now (task->node));
  task_flush (task);
}

size_t
br_contract_task_count_needed (const br_contract_task_t *task)
{
  return br_contracts_count_needed (task->contracts);
}

static void
task_on_tick (evutil_socket_t fd, short what, void *context)
{
  br_contract_task_t *task = context;
  br_ms_t now = br_node_now (task->node);

  (void)fd;
  (void)what;
  br_contracts_on_tick (task->contracts, now);
  br_follows_on_tick (task->follows, now);
  br_feeds_on_tick (task->feeds, now);
  task_flush (task);
}

static void
task_add_peers (br_contract_task_t *task)
{
  const br_peer_settings_list_t *vms = &task->node->settings.vms;

  for (size_t i = 0; i < vms->len; i++)
    {
      br_contracts_add_peer (task->contracts, &vms->items[i].name,
                             &vms->items[i].failure_domain);
      br_follows_add_peer (task->follows, &vms->items[i].name);
    }
}

br_contract_task_t *
br_contract_task_new (br_node_t *node)
{
  br_contract_task_t *task = br_alloc_zero (sizeof *task);
  br_contract_options_t contract_options = br_contract_options ();
  br_follow_options_t follow_options = br_follow_options ();
  struct timeval period = { 0, TICK_MS * 1000 };

  contract_options.vm = follow_options.vm = node->settings.vm;
  contract_options.failure_domain = node->settings.failure_domain;
  contract_options.incarnation = node->incarnation;
  contract_options.checkpoint_parts = (size_t)node->settings.checkpoint_tokens;
  contract_options.checkpoint_ms = node->settings.checkpoint_ms;
  task->node = node;
  task->contracts = br_contracts_new (&contract_options);
  task->follows = br_follows_new (&follow_options);
  task->feeds = br_feeds_new (FOLLOWER_EXPIRE_MS);
  task_add_peers (task);
  task->tick = event_new (node->base, -1, EV_PERSIST, task_on_tick, task);
  event_add (task->tick, &period);
  return task;
}

void
br_contract_task_free (br_contract_task_t *task)
{
  if (task == NULL)
    return;
  event_free (task->tick);
  br_contracts_free (task->contracts);
  br_follows_free (task->follows);
  br_feeds_free (task->feeds);
  free (task);
}
