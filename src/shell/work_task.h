/* The work in progress: each request that was let in, its attempts and its
 * answer.  Work outlives the connection of its caller. */
#ifndef BR_SHELL_WORK_TASK_H
#define BR_SHELL_WORK_TASK_H

#include <event2/http.h>

#include "contract/answer.h"
#include "contract/contract.h"
#include "contract/contract_id.h"
#include "shell/node.h"

BR_BEGIN_DECLS

typedef enum
{
  BR_WORK_RUNNING,
  BR_WORK_DONE,
  BR_WORK_FAILED, /* ERROR says why */
} br_work_state_t;

typedef struct br_work
{
  uint64_t number;
  br_contract_id_t contract;
  char contract_text[BR_NAME_MAX + 40];
  br_name_t organisation;
  br_name_t service;
  br_service_kind_t kind;
  bool repeatable;
  bool accepted;     /* the caller may hear of it, once it is not queued */
  bool queued;       /* admission may still refuse it */
  bool may_have_run; /* an attempt that failed may have run */
  bool followed;     /* another VM owns it and sends the answer */
  br_name_t backup;  /* that held a copy at acceptance; empty for none */
  br_contract_request_t request; /* views of the fields below */
  enum evhttp_cmd_type method;
  br_buf_t path;
  br_buf_t body; /* as the caller sent it */
  br_buf_t content_type;
  br_buf_t idempotency_key;
  br_work_state_t state;
  int status; /* of a plain service's answer */
  br_answer_t answer;
  br_error_t error;
  uint32_t attempts;
  uint64_t attempt;     /* the one that runs, 0 for none */
  br_name_t upstream;   /* of that attempt */
  size_t base_offset;   /* parts that were there when it started */
  size_t received;      /* parts it has delivered */
  bool same_upstream;   /* its connection went silent, but it answers */
  br_names_t tried;     /* upstreams that failed */
  br_name_t stalled_at; /* answered a check, and was given another attempt */
  uint32_t watchers;    /* callers that read the answer */
  br_ms_t not_after_ms; /* of work that runs once: no first byte later */
  br_ms_t accepted_ms;
  br_ms_t unwatched_ms; /* since when nobody reads it */
  uint64_t ticket;      /* of admission, 0 for none */
  uint64_t uncached;    /* prompt tokens that the attempt has to read */
  br_ms_t sent_ms;      /* when the attempt was sent */
  uint64_t max_tokens;  /* of the answer; 0: not said */
  br_ms_t failed_ms;    /* when the last one failed */
} br_work_t;

/* What a caller asks for.  Views are copied. */
typedef struct
{
  const br_service_t *service;
  br_name_t organisation;
  enum evhttp_cmd_type method;
  br_str_t path;
  br_str_t body;
  br_str_t content_type;
  br_str_t idempotency_key;
  br_name_t workload;
  uint64_t tokens;     /* estimated cost */
  uint64_t max_tokens; /* of the answer; 0: not said */
  uint64_t ticket;     /* of admission, 0 for none */
  br_work_t *resent;   /* work that runs already, instead of a ticket */
} br_work_options_t;

br_work_task_t *br_work_task_new (br_node_t *node);
void br_work_task_free (br_work_task_t *task);

/* Returns the running work that this is a resend of; NULL when there is none,
 * and with *ERR set to BR_ERROR_CONFLICT when its key runs with another
 * body. */
br_work_t *br_work_task_find_resend (br_work_task_t *task,
                                     const br_work_options_t *options,
                                     br_error_t *err);

/* Accepts work and starts its first attempt; returns what is resent.  Every
 * change is posted as BR_NODE_WORK_CHANGED.  The work belongs to the task. */
br_work_t *br_work_task_accept (br_work_task_t *task,
                                const br_work_options_t *options);

/* Admission lets the work start, or ends its wait with a refusal. */
void br_work_task_admitted (br_work_task_t *task, uint64_t number);
/* The next attempt of work that failed is due. */
void br_work_task_retry (br_work_task_t *task, uint64_t number);
void br_work_task_refused (br_work_task_t *task,
                           uint64_t number,
                           const br_error_t *err);

/* Returns NULL when there is no such work, or no longer. */
br_work_t *br_work_task_find (br_work_task_t *task, uint64_t number);
br_work_t *br_work_task_find_contract (br_work_task_t *task,
                                       const br_contract_id_t *contract);

/* Starts to read the answer of a contract that is not known here, for a
 * workload of ORGANISATION. */
br_work_t *br_work_task_follow (br_work_task_t *task,
                                const br_contract_id_t *contract,
                                const br_name_t *organisation);

/* Ends followed work, as failed when ERR is not NULL. */
void br_work_task_end_followed (br_work_task_t *task,
                                br_work_t *work,
                                int status,
                                const br_error_t *err);

/* Makes work of COPY, whose owner is lost, or changes the work that followed
 * that owner.  br_work_task_resume() then goes on with it. */
br_work_t *br_work_task_take_over (br_work_task_t *task,
                                   const br_contract_id_t *contract,
                                   br_contract_copy_t *copy);
void br_work_task_resume (br_work_task_t *task, br_work_t *work);

/* Another VM owns WORK now: ends its attempt; WORK is followed from now on. */
void br_work_task_release (br_work_task_t *task, br_work_t *work);
void br_work_task_on_attempt (br_work_task_t *task,
                              br_attempt_message_t *message);

/* The claim of work that runs once has an outcome: it may be sent before
 * NOT_AFTER_MS, the log holds its answer, or it fails.
 * br_work_task_may_send() returns false when the work has ended, so that it
 * will not be sent. */
bool br_work_task_may_send (br_work_task_t *task,
                            uint64_t number,
                            br_ms_t not_after_ms);
void br_work_task_answered (br_work_task_t *task,
                            uint64_t number,
                            int status,
                            br_str_t body);
void br_work_task_failed (br_work_task_t *task,
                          uint64_t number,
                          const br_error_t *err);

/* Counts the callers that read the answer; without any for a while, work
 * that runs is cancelled and work that is done is forgotten. */
void br_work_watch (br_work_t *work);
void br_work_unwatch (br_work_task_t *task, br_work_t *work);
size_t br_work_task_in_progress (const br_work_task_t *task);

BR_END_DECLS

#endif
