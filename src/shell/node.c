#include "shell/node.h"

#include <signal.h>
#include <string.h>

#include "shell/admit_task.h"
#include "shell/caller_task.h"
#include "shell/claim_task.h"
#include "shell/contract_task.h"
#include "shell/domain_task.h"
#include "shell/held_task.h"
#include "shell/operator_task.h"
#include "shell/peer_task.h"
#include "shell/platform_task.h"
#include "shell/replica_task.h"
#include "shell/retry_task.h"
#include "shell/route_task.h"
#include "shell/site_task.h"
#include "shell/upstream_task.h"
#include "shell/upstream_watch.h"
#include "shell/work_task.h"

/* Messages handled before the event loop polls its sockets again. */
#define QUEUE_BATCH 256

/* Callbacks, and queued messages, that a control VM handles before it checks
 * again for events of BR_PRIORITY_LOG.  Each takes about ten microseconds, on a
 * fraction of a core. */
#define LOG_CHECK_BATCH 16
#define DRAIN_POLL_MS 50

/* Wait after a failed catch-up read.  At its start a VM reads the replicated
 * log until a majority has confirmed which declarations are in force. */
#define CATCH_UP_RETRY_MS 100

/* Time before the end of a drain at which unfinished work is handed over. */
#define HAND_OVER_MARGIN_MS 1500

/* Longest time that a stopping VM keeps running for the copies of other VMs'
 * work that would be lost with it. */
#define COPIES_KEEP_MAX_MS 5000

BR_VEC (messages, br_node_message_t);

/* Queue of the messages of one priority, in order of arrival. */
typedef struct
{
  br_node_t *node;
  messages_t pending;
  size_t head;
  struct event *wake;
} fifo_t;

struct br_node_queue
{
  fifo_t fifos[BR_PRIORITY_COUNT];
  int batch; /* messages of one FIFO handled at once */
  struct event *signals[2];
  struct event *drain_timer;
  struct event *catch_up_timer;
  uint64_t catch_up_ticket; /* of the pending read, or 0 */
  br_ms_t drain_from_ms;
  br_ms_t leave_by_ms; /* end of the drain, or BR_MS_NEVER */
  bool handing_over;
};

br_ms_t
br_node_now (const br_node_t *node)
{
  return br_clock_now (&node->clock);
}

/* Messages of the replicated log do not wait behind others, as late ones cost
 * the log its leader. */
static int
message_priority (const br_node_message_t *message)
{
  return message->kind == BR_NODE_PEER_RECEIVED
                 && message->peer.part == BR_PART_REPLICA
             ? BR_PRIORITY_LOG
             : BR_PRIORITY_NORMAL;
}

void
br_node_post (br_node_t *node, br_node_message_t message)
{
  fifo_t *fifo = &node->queue->fifos[message_priority (&message)];

  messages_push (&fifo->pending, message);
  event_active (fifo->wake, EV_TIMEOUT, 0);
}

bool
br_node_send (br_node_t *node,
              const br_name_t *vm,
              br_part_t part,
              br_str_t payload)
{
  return node->peers != NULL
         && br_peer_task_send (node->peers, vm, part, payload);
}

static void
node_on_peer_message (br_node_t *node, br_peer_message_t *message)
{
  switch (message->part)
    {
    case BR_PART_ORGANISATION:
      br_admit_task_on_peer (node->admits, message);
      break;
    case BR_PART_UPSTREAM:
      br_upstream_watch_receive (node->upstream_watch, message);
      break;
    case BR_PART_DOMAIN:
      br_domain_task_receive (node->domain, message);
      break;
    case BR_PART_CONTRACT:
      br_contract_task_on_peer (node->contracts, message);
      break;
    case BR_PART_REPLICA:
      br_replica_task_on_message (node->replica, &message->vm,
                                  br_buf_str (&message->payload));
      break;
    case BR_PART_STATE:
      br_operator_task_on_report (node->operators, message);
      break;
    case BR_PART_LINK:
    case BR_PART_ROUTE:
    case BR_PART_SITE:
    case BR_PART_COUNT:
      break;
    }
  br_buf_free (&message->payload);
}

static void
node_catch_up (br_node_t *node)
{
  node->queue->catch_up_ticket = br_replica_task_read (node->replica);
}

static void
node_on_catch_up_timer (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  node_catch_up (context);
}

/* Returns true when PROPOSAL is the outcome of the catch-up read. */
static bool
node_on_caught_up (br_node_t *node, const br_proposal_message_t *proposal)
{
  struct timeval retry_delay = { 0, CATCH_UP_RETRY_MS * 1000 };

  if (proposal->ticket != node->queue->catch_up_ticket)
    return false;
  node->queue->catch_up_ticket = 0;
  node->caught_up = proposal->outcome == BR_PROPOSAL_COMMITTED;
  if (!node->caught_up)
    event_add (node->queue->catch_up_timer, &retry_delay);
  else
    BR_LOG (&node->log, "node", "caught_up",
            br_field_int ("revision", (int64_t)br_state_revision (node->state)),
            br_field_int ("after_ms", br_node_now (node) - node->started_ms));
  return true;
}

static void
node_dispatch (br_node_t *node, br_node_message_t *message)
{
  if (node->site != NULL)
    {
      br_site_task_on_message (node->site, message);
      return;
    }
  switch (message->kind)
    {
    case BR_NODE_PEER_UP:
    case BR_NODE_PEER_DOWN:
      if (message->kind == BR_NODE_PEER_UP)
        br_domain_task_on_peer_up (node->domain, &message->peer);
      else
        br_replica_task_on_peer_down (node->replica, &message->peer.vm);
      br_claim_task_on_vm (node->claims, &message->peer.vm,
                           message->peer.incarnation,
                           message->kind == BR_NODE_PEER_UP);
      if (message->kind == BR_NODE_PEER_UP)
        br_operator_task_on_peer_up (node->operators, &message->peer.vm);
      br_contract_task_on_link (node->contracts, &message->peer,
                                message->kind == BR_NODE_PEER_UP);
      break;
    case BR_NODE_PEER_RECEIVED:
      node_on_peer_message (node, &message->peer);
      break;
    case BR_NODE_ATTEMPT:
      br_work_task_on_attempt (node->works, &message->attempt);
      br_buf_free (&message->attempt.data);
      break;
    case BR_NODE_WORK_CHANGED:
      br_caller_task_on_work (node->callers, message->work);
      break;
    case BR_NODE_PROPOSAL:
      if (node_on_caught_up (node, &message->proposal))
        break; /* a read has no result to free */
      if (!br_claim_task_on_proposal (node->claims, &message->proposal))
        br_operator_task_on_proposal (node->operators, &message->proposal);
      if (node->on_proposal != NULL)
        node->on_proposal (node->on_proposal_context, &message->proposal);
      br_buf_free (&message->proposal.result);
      break;
    case BR_NODE_APPLIED:
      br_claim_task_on_applied (node->claims);
      br_operator_task_on_applied (node->operators);
      break;
    case BR_NODE_VM_UP:
    case BR_NODE_VM_DOWN:
      br_claim_task_on_vm (node->claims, &message->member.name,
                           message->member.incarnation,
                           message->kind == BR_NODE_VM_UP);
      break;
    case BR_NODE_CATALOG_CHANGED:
    case BR_NODE_UPSTREAM_CHANGED:
      br_route_task_update (node->routes);
      break;
    case BR_NODE_VM_SUSPECT:
      break;
    case BR_NODE_VM_LEAVING:
      br_contract_task_on_leaving (node->contracts, &message->member.name);
      break;
    case BR_NODE_RECLAIM_NOTICE:
      br_node_drain_by (node, message->leave_by_ms);
      break;
    case BR_NODE_STOP:
      br_node_drain (node);
      break;
    }
}

static void
node_on_wake (evutil_socket_t fd, short what, void *context)
{
  fifo_t *fifo = context;

  (void)fd;
  (void)what;
  for (int i = 0;
       i < fifo->node->queue->batch && fifo->head < fifo->pending.len; i++)
    {
      br_node_message_t message = fifo->pending.items[fifo->head++];

      node_dispatch (fifo->node, &message);
    }
  if (fifo->head == fifo->pending.len)
    {
      messages_clear (&fifo->pending);
      fifo->head = 0;
    }
  else
    event_active (fifo->wake, EV_TIMEOUT, 0);
}

static bool
node_is_idle (const br_node_t *node)
{
  br_ms_t now = br_node_now (node);
  br_ms_t copies_until
      = BR_MIN (node->queue->drain_from_ms + COPIES_KEEP_MAX_MS,
                node->queue->leave_by_ms);

  if (br_work_task_in_progress (node->works) > 0
      || br_claim_task_in_progress (node->claims) > 0)
    return false;
  if (now < copies_until && br_contract_task_count_needed (node->contracts) > 0)
    return false;
  return now >= node->queue->leave_by_ms
         || br_caller_task_in_progress (node->callers) == 0;
}

/* Hands unfinished work over to other VMs. */
static void
node_hand_over (br_node_t *node)
{
  if (node->queue->handing_over)
    return;
  node->queue->handing_over = true;
  BR_LOG (&node->log, "node", "hand_over",
          br_field_int ("in_progress",
                        (int64_t)br_work_task_in_progress (node->works)));
  br_contract_task_hand_over (node->contracts);
}

static void
node_on_drain_timer (evutil_socket_t fd, short what, void *context)
{
  br_node_t *node = context;
  br_ms_t notice_until
      = node->queue->drain_from_ms + node->settings.drain_notice_ms;
  struct timeval period = { 0, DRAIN_POLL_MS * 1000 };

  (void)fd;
  (void)what;
  if (br_node_now (node) >= notice_until)
    br_caller_task_stop_accepting (node->callers);
  if (br_node_now (node) >= node->queue->leave_by_ms - HAND_OVER_MARGIN_MS)
    node_hand_over (node);
  if (br_node_now (node) >= notice_until && node_is_idle (node))
    {
      BR_LOG (&node->log, "node", "drained",
              br_field_int ("after_ms",
                            br_node_now (node) - node->queue->drain_from_ms));
      event_base_loopbreak (node->base);
      return;
    }
  event_add (node->queue->drain_timer, &period);
}

void
br_node_drain (br_node_t *node)
{
  struct timeval period = { 0, DRAIN_POLL_MS * 1000 };

  if (node->draining)
    return;
  node->draining = true;
  if (node->site != NULL)
    {
      br_site_task_drain (node->site);
      return;
    }
  node->queue->drain_from_ms = br_node_now (node);
  if (node->settings.drain_grace_ms > 0)
    br_node_drain_by (node, br_node_now (node) + node->settings.drain_grace_ms);
  BR_LOG (&node->log, "node", "draining",
          br_field_int ("in_progress",
                        (int64_t)br_work_task_in_progress (node->works)));
  event_add (node->queue->drain_timer, &period);
  br_domain_task_leave (node->domain);
  br_contract_task_leave (node->contracts);
  br_replica_task_hand_over (node->replica);
}

void
br_node_drain_by (br_node_t *node, br_ms_t leave_by_ms)
{
  node->queue->leave_by_ms = BR_MIN (node->queue->leave_by_ms, leave_by_ms);
  br_node_drain (node);
}

/* The first signal starts the drain.  A second one hands unfinished work over
 * at once. */
static void
node_on_signal (evutil_socket_t fd, short what, void *context)
{
  br_node_t *node = context;

  (void)fd;
  (void)what;
  if (node->draining && node->site == NULL)
    node_hand_over (node);
  else
    br_node_drain (node);
}

static void
node_add_signal (br_node_t *node, int slot, int number)
{
  struct event *event = evsignal_new (node->base, number, node_on_signal, node);

  evsignal_add (event, NULL);
  node->queue->signals[slot] = event;
}

static bool
node_start_tasks (br_node_t *node, br_error_t *err)
{
  node->state = br_state_new ();
  node->replica = br_replica_task_new (node, err);
  if (node->replica == NULL)
    return false;
  node->domain = br_domain_task_new (node);
  node->platform = br_platform_task_new (node);
  node->upstream_watch = br_upstream_watch_new (node);
  node->upstreams = br_upstream_task_new (node);
  node->contracts = br_contract_task_new (node);
  node->works = br_work_task_new (node);
  node->claims = br_claim_task_new (node);
  node->retries = br_retry_task_new (node);
  node->admits = br_admit_task_new (node);
  node->routes = br_route_task_new (node);
  node->callers = br_caller_task_new (node, err);
  if (node->callers == NULL)
    return false;
  node->operators = br_operator_task_new (node, err);
  if (node->operators == NULL)
    return false;
  if (node->settings.vms.len > 0)
    {
      node->peers = br_peer_task_new (node, err);
      if (node->peers == NULL)
        return false;
    }
  node_catch_up (node);
  return true;
}

static void
node_add_upstreams (br_node_t *node)
{
  for (size_t i = 0; i < node->settings.upstreams.len; i++)
    {
      br_upstream_settings_t *settings = &node->settings.upstreams.items[i];
      br_upstream_t upstream = {
        .name = settings->name,
        .failure_domain = settings->failure_domain,
        .port = (uint16_t)settings->endpoint.port,
      };

      memcpy (upstream.address, settings->endpoint.address,
              sizeof upstream.address);
      br_labels_copy (&upstream.labels, &settings->labels);
      br_registry_put (&node->registry, upstream);
    }
}

/* Returns true on a control VM of a platform's site.  Hundreds of VMs send
 * messages to it, which must not delay the replicated log. */
static bool
node_is_control_vm (const br_node_t *node)
{
  return node->settings.site.role == BR_SITE_CONTROL;
}

static struct event_base *
node_new_base (const br_node_t *node)
{
  struct event_config *config = event_config_new ();
  struct event_base *base;

  if (node_is_control_vm (node))
    event_config_set_max_dispatch_interval (config, NULL, LOG_CHECK_BATCH,
                                            BR_PRIORITY_NORMAL);
  base = event_base_new_with_config (config);
  event_config_free (config);
  event_base_priority_init (base, BR_PRIORITY_COUNT);
  return base;
}

static void
node_add_fifo (br_node_t *node, int priority)
{
  fifo_t *fifo = &node->queue->fifos[priority];

  fifo->node = node;
  fifo->wake = event_new (node->base, -1, 0, node_on_wake, fifo);
  event_priority_set (fifo->wake, priority);
}

br_node_t *
br_node_new (br_settings_t *settings, FILE *log_stream, br_error_t *err)
{
  br_node_t *node = br_alloc_zero (sizeof *node);

  node->settings = *settings;
  *settings = (br_settings_t){ 0 };
  node->base = node_new_base (node);
  node->incarnation = (uint64_t)br_clock_wall ();
  node->started_ms = br_node_now (node);
  node->log = (br_log_t){
    .stream = log_stream,
    .vm = node->settings.log_name.len > 0 ? node->settings.log_name
                                          : node->settings.vm,
    .incarnation = node->incarnation,
  };
  br_random_seed (&node->random, br_str_hash (br_name_str (&node->settings.vm),
                                              node->incarnation));
  node->queue = br_alloc_zero (sizeof *node->queue);
  node->queue->leave_by_ms = BR_MS_NEVER;
  node->queue->batch
      = node_is_control_vm (node) ? LOG_CHECK_BATCH : QUEUE_BATCH;
  for (int i = 0; i < BR_PRIORITY_COUNT; i++)
    node_add_fifo (node, i);
  node->queue->drain_timer
      = evtimer_new (node->base, node_on_drain_timer, node);
  node->queue->catch_up_timer
      = evtimer_new (node->base, node_on_catch_up_timer, node);
  signal (SIGPIPE, SIG_IGN);
  node_add_signal (node, 0, SIGTERM);
  node_add_signal (node, 1, SIGINT);
  node_add_upstreams (node);
  node->held = br_held_task_new (node);
  node->quarantine.has_trials = node->settings.site.role != BR_SITE_NONE;
  if (node->settings.site.role != BR_SITE_NONE)
    node->site = br_site_task_new (node, err);
  if (node->site == NULL
      && (node->settings.site.role != BR_SITE_NONE
          || !node_start_tasks (node, err)))
    {
      br_node_free (node);
      return NULL;
    }
  BR_LOG (&node->log, "node", "started",
          br_field_str ("failure_domain",
                        br_name_str (&node->settings.failure_domain)));
  return node;
}

void
br_node_run (br_node_t *node)
{
  event_base_dispatch (node->base);
}

static void
fifo_free (fifo_t *fifo)
{
  while (fifo->head < fifo->pending.len)
    {
      br_node_message_t *message = &fifo->pending.items[fifo->head++];

      if (message->kind == BR_NODE_ATTEMPT)
        br_buf_free (&message->attempt.data);
      else if (message->kind == BR_NODE_PEER_RECEIVED)
        br_buf_free (&message->peer.payload);
      else if (message->kind == BR_NODE_PROPOSAL)
        br_buf_free (&message->proposal.result);
    }
  messages_free (&fifo->pending);
  event_free (fifo->wake);
}

static void
node_free_queue (br_node_t *node)
{
  struct br_node_queue *queue = node->queue;

  for (int i = 0; i < BR_PRIORITY_COUNT; i++)
    fifo_free (&queue->fifos[i]);
  event_free (queue->drain_timer);
  event_free (queue->catch_up_timer);
  event_free (queue->signals[0]);
  event_free (queue->signals[1]);
  free (queue);
}

void
br_node_free (br_node_t *node)
{
  br_site_task_free (node->site);
  br_caller_task_free (node->callers);
  br_operator_task_free (node->operators);
  br_claim_task_free (node->claims);
  br_work_task_free (node->works);
  br_admit_task_free (node->admits);
  br_retry_task_free (node->retries);
  br_route_task_free (node->routes);
  br_contract_task_free (node->contracts);
  br_upstream_task_free (node->upstreams);
  br_upstream_watch_free (node->upstream_watch);
  br_peer_task_free (node->peers);
  br_platform_task_free (node->platform);
  br_domain_task_free (node->domain);
  br_replica_task_free (node->replica);
  br_held_task_free (node->held);
  br_state_free (node->state);
  node_free_queue (node);
  br_catalog_release (&node->catalog);
  br_registry_release (&node->registry);
  br_quarantine_free (&node->quarantine);
  br_settings_release (&node->settings);
  event_base_free (node->base);
  br_log_release (&node->log);
  free (node);
}
