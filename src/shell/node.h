/* One `serve` process: its event loop, its tasks, and the queue through which
 * the tasks talk to each other. */
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

/* Priorities of the loop's events, the highest first: what the replicated log
 * needs to keep its leader, and all else. */
#define BR_PRIORITY_LOG 0
#define BR_PRIORITY_USUAL 1
#define BR_PRIORITIES 2

/* X (id, task that handles it) */
#define BR_NODE_MESSAGE_TABLE(X)                                               \
  X (PEER_UP, "a link to a peer is ready")                                     \
  X (PEER_DOWN, "the link to a peer is lost")                                  \
  X (PEER_RECEIVED, "a peer sent a message to a part")                         \
  X (ATTEMPT, "something happened to an attempt at an upstream")               \
  X (WORK_CHANGED, "an answer grew or ended")                                  \
  X (PROPOSAL, "a proposal for the replicated log has an outcome")             \
  X (APPLIED, "the replicated state changed")                                  \
  X (CATALOG_CHANGED, "a new revision of the declarations is in force")        \
  X (VM_UP, "an entry VM, or a new incarnation of it, is live")                \
  X (VM_SUSPECT, "an entry VM does not answer probes")                         \
  X (VM_DOWN, "an entry VM was not heard of by any way")                       \
  X (VM_LEAVING, "an entry VM was told to leave, or said so itself")           \
  X (UPSTREAM_CHANGED, "an upstream came, left, went down or came back")       \
  X (RECLAIM_NOTICE, "the platform takes this entry VM back")                  \
  X (STOP, "stop when nothing is in progress any more")

typedef enum
{
#define X(id, help) BR_NODE_##id,
  BR_NODE_MESSAGE_TABLE (X)
#undef X
} br_node_message_kind_t;

typedef enum
{
  BR_ATTEMPT_OPENED, /* the head of the answer is there */
  BR_ATTEMPT_EVENT,  /* DATA is one event of a streamed answer */
  BR_ATTEMPT_BODY,   /* DATA is a piece of a plain answer */
  BR_ATTEMPT_DONE,   /* the answer is whole */
  BR_ATTEMPT_FAILED, /* ERROR says why */
} br_attempt_event_t;

typedef struct
{
  uint64_t attempt; /* number that br_upstream_task_start() returned */
  uint64_t work;    /* number of the work it belongs to */
  br_attempt_event_t event;
  int status;        /* HTTP status, from BR_ATTEMPT_OPENED on */
  br_buf_t data;     /* owned by the message */
  br_error_t error;  /* of BR_ATTEMPT_FAILED */
  bool may_have_run; /* of BR_ATTEMPT_FAILED: a byte left this VM */

  /* Of BR_ATTEMPT_FAILED: the connection went silent, but the upstream answers
   * on a new one, so that the attempt is best repeated there. */
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

/* Hears of every outcome; PROPOSAL is a view. */
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
  bool caught_up; /* knows all declarations that were in force at its start */
  br_ms_t started_ms;
  br_peer_task_t *peers; /* NULL without peers in the settings */
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
  br_platform_task_t *platform; /* NULL without one in the settings */
  br_contract_task_t *contracts;
  br_claim_task_t *claims;
  br_site_task_t *site;       /* of a site that the platform runs, or NULL */
  br_state_t *state;          /* owned; changed by the replica task alone */
  br_proposal_fn on_proposal; /* of a program that embeds the node; or NULL */
  void *on_proposal_context;
  struct br_node_queue *queue;
};

/* Takes SETTINGS over.  Returns NULL, with *ERR set, when a task could not
 * start. */
br_node_t *
br_node_new (br_settings_t *settings, FILE *log_stream, br_error_t *err);

/* Runs until a stop was asked for and all work is done. */
void br_node_run (br_node_t *node);

/* Takes no new work from now on; br_node_run() returns once the work in
 * progress is done. */
void br_node_drain (br_node_t *node);

/* Like br_node_drain(), and hands over in time what would not be done by
 * LEAVE_BY_MS. */
void br_node_drain_by (br_node_t *node, br_ms_t leave_by_ms);
void br_node_free (br_node_t *node);

/* Puts a message into the queue; what it owns goes to the queue.  It is
 * handled after the current callback of the event loop. */
void br_node_post (br_node_t *node, br_node_message_t message);
br_ms_t br_node_now (const br_node_t *node);

/* Sends PAYLOAD to PART of the peer VM.  False when no link is ready or its
 * buffer is full; the message is then dropped. */
bool br_node_send (br_node_t *node,
                   const br_name_t *vm,
                   br_part_t part,
                   br_str_t payload);

BR_END_DECLS

#endif
