/* State of one `serve` process: the event loop, the tasks and the queue of the
 * messages that they send to each other. */
#ifndef BR_SHELL_NODE_H
#define BR_SHELL_NODE_H

#include <event2/event.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "base/random.h"
#include "route/catalog.h"
#include "shell/settings.h"
#include "state/state.h"
#include "upstream/quarantine.h"
#include "upstream/registry.h"
#include "wire/frame.h"

BR_BEGIN_DECLS

typedef struct br_node br_node_t;
typedef struct br_peer_task br_peer_task_t;
typedef struct br_upstream_task br_upstream_task_t;
typedef struct br_work_task br_work_task_t;
typedef struct br_caller_task br_caller_task_t;
typedef struct br_operator_task br_operator_task_t;
typedef struct br_replica_task br_replica_task_t;
typedef struct br_admit_task br_admit_task_t;
typedef struct br_retry_task br_retry_task_t;
typedef struct br_route_task br_route_task_t;
typedef struct br_domain_task br_domain_task_t;
typedef struct br_platform_task br_platform_task_t;
typedef struct br_upstream_watch br_upstream_watch_t;
typedef struct br_contract_task br_contract_task_t;
typedef struct br_claim_task br_claim_task_t;
typedef struct br_entry_task br_entry_task_t;
typedef struct br_control_task br_control_task_t;
typedef struct br_site_task br_site_task_t;
typedef struct br_held_task br_held_task_t;

/* Priorities of the event loop; the lowest number runs first.  Events of the
 * replicated log come first because late ones cost the log its leader. */
#define BR_PRIORITY_LOG 0
#define BR_PRIORITY_NORMAL 1
#define BR_PRIORITY_COUNT 2

/* X (id, what happened) */
#define BR_NODE_MESSAGE_TABLE(X)                                               \
  X (PEER_UP, "a link to a peer is ready")                                     \
  X (PEER_DOWN, "the link to a peer is lost")                                  \
  X (PEER_RECEIVED, "a peer sent a message to a part of this process")         \
  X (ATTEMPT, "an attempt at an upstream progressed or ended")                 \
  X (WORK_CHANGED, "an answer got more parts or ended")                        \
  X (PROPOSAL, "a proposal for the replicated log has an outcome")             \
  X (APPLIED, "the replicated state changed")                                  \
  X (CATALOG_CHANGED, "a new revision of the declarations is in force")        \
  X (VM_UP, "an entry VM, or a new incarnation of it, is up")                  \
  X (VM_SUSPECT, "an entry VM does not answer probes")                         \
  X (VM_DOWN, "no message of an entry VM arrives on any path")                 \
  X (VM_LEAVING, "an entry VM is marked as leaving")                           \
  X (UPSTREAM_CHANGED, "an upstream was added or removed, or went down or up") \
  X (RECLAIM_NOTICE, "the platform announced that it reclaims this entry VM")  \
  X (STOP, "stop once no work is in progress")

typedef enum
{
#define X(id, help) BR_NODE_##id,
  BR_NODE_MESSAGE_TABLE (X)
#undef X
} br_node_message_kind_t;

typedef enum
{
  BR_ATTEMPT_OPENED, /* the head of the answer has arrived */
  BR_ATTEMPT_EVENT,  /* DATA is one event of a streamed answer */
  BR_ATTEMPT_BODY,   /* DATA is a piece of a plain answer */
  BR_ATTEMPT_DONE,   /* the answer is complete */
  BR_ATTEMPT_FAILED, /* ERROR holds the reason */
} br_attempt_event_t;

typedef struct
{
  uint64_t attempt; /* number that br_upstream_task_start() returned */
  uint64_t work;    /* number of the work that it belongs to */
  br_attempt_event_t event;
  int status;        /* HTTP status, from BR_ATTEMPT_OPENED on */
  br_buf_t data;     /* owned by the message */
  br_error_t error;  /* of BR_ATTEMPT_FAILED */
  bool may_have_run; /* of BR_ATTEMPT_FAILED: a byte was sent */

  /* Of BR_ATTEMPT_FAILED: the connection failed, but the upstream answers on a
   * new one.  The attempt is best repeated at the same upstream. */
  bool upstream_answers;
} br_attempt_message_t;

typedef struct
{
  br_name_t vm;
  uint64_t incarnation;
  br_part_t part;
  br_buf_t payload; /* owned by the message */
} br_peer_message_t;

typedef struct
{
  uint64_t ticket;
  br_proposal_outcome_t outcome;
  br_buf_t result;  /* owned by the message */
  br_error_t error; /* unless committed */
} br_proposal_message_t;

/* Of BR_NODE_VM_UP, _SUSPECT, _DOWN, _LEAVING and _UPSTREAM_CHANGED. */
typedef struct
{
  br_name_t name;
  uint64_t incarnation;
} br_member_message_t;

typedef struct
{
  br_node_message_kind_t kind;
  union
  {
    br_attempt_message_t attempt;
    br_peer_message_t peer;
    br_proposal_message_t proposal;
    br_member_message_t member;
    br_ms_t leave_by_ms; /* of BR_NODE_RECLAIM_NOTICE, monotonic */
    uint64_t work;
    uint64_t index; /* log position, of BR_NODE_APPLIED */
  };
} br_node_message_t;

/* Called with the outcome of every proposal.  PROPOSAL is valid only during the
 * call. */
typedef void (*br_proposal_fn) (void *context,
                                const br_proposal_message_t *proposal);

struct br_node
{
  struct event_base *base; /* owned */
  br_settings_t settings;  /* owned */
  br_clock_t clock;
  br_log_t log;
  br_counters_t counters;
  br_random_t random;
  uint64_t incarnation;
  br_catalog_t catalog;
  br_registry_t registry;
  br_quarantine_t quarantine;
  bool draining;  /* takes no new work */
  bool caught_up; /* has the declarations that were in force at its start */
  br_ms_t started_ms;
  br_held_task_t *held;
  br_peer_task_t *peers; /* NULL when the settings name no peers */
  br_upstream_task_t *upstreams;
  br_upstream_watch_t *upstream_watch;
  br_work_task_t *works;
  br_admit_task_t *admits;
  br_retry_task_t *retries;
  br_route_task_t *routes;
  br_caller_task_t *callers;
  br_operator_task_t *operators;
  br_replica_task_t *replica;
  br_domain_task_t *domain;
  br_platform_task_t *platform; /* NULL when the settings name none */
  br_contract_task_t *contracts;
  br_claim_task_t *claims;
  br_site_task_t *site;       /* of a site that the platform runs, or NULL */
  br_state_t *state;          /* owned; changed by the replica task alone */
  br_proposal_fn on_proposal; /* of a program that embeds the node; or NULL */
  void *on_proposal_context;
  struct br_node_queue *queue;
};

/* Takes ownership of SETTINGS.  Returns NULL, with *ERR set, when a task cannot
 * start. */
br_node_t *
br_node_new (br_settings_t *settings, FILE *log_stream, br_error_t *err);

/* Runs until a drain was requested and all work is done. */
void br_node_run (br_node_t *node);

/* Stops taking new work.  br_node_run() returns once the work in progress is
 * done. */
void br_node_drain (br_node_t *node);

/* Like br_node_drain(), but hands unfinished work over to other VMs shortly
 * before LEAVE_BY_MS. */
void br_node_drain_by (br_node_t *node, br_ms_t leave_by_ms);
void br_node_free (br_node_t *node);

/* Queues MESSAGE and takes ownership of its buffers.  The message is handled
 * after the current callback of the event loop. */
void br_node_post (br_node_t *node, br_node_message_t message);
br_ms_t br_node_now (const br_node_t *node);

/* Sends PAYLOAD to PART of the peer VM.  Returns false, and drops the message,
 * when no link is ready or its buffer is full. */
bool br_node_send (br_node_t *node,
                   const br_name_t *vm,
                   br_part_t part,
                   br_str_t payload);

BR_END_DECLS

#endif
