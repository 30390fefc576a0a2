/* Runs accepted requests ("work") to their end, over several attempts if
 * necessary, and stores their answers.  Work outlives its caller's
 * connection. */
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
  BR_WORK_FAILED, /* the reason is in ERROR */
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
  bool accepted;     /* reported to the caller once it is not queued */
  bool queued;       /* admission may still refuse it */
  bool may_have_run; /* a failed attempt may have run */
  bool followed;     /* another VM owns it and sends the answer */
  br_name_t backup;  /* VM with a copy at acceptance; empty: none */
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
  uint64_t attempt;     /* number of the current attempt, 0: none */
  br_name_t upstream;   /* of that attempt */
  size_t base_offset;   /* parts of the answer when it started */
  size_t received;      /* parts that it has added */
  bool same_upstream;   /* retry there: only its connection stalled */
  br_names_t tried;     /* upstreams that failed */
  br_name_t stalled_at; /* upstream retried after a stalled connection */
  uint32_t readers;     /* callers that read the answer */
  br_ms_t not_after_ms; /* latest first byte of work that runs once, or 0 */
  br_ms_t accepted_ms;
  br_ms_t unread_since_ms; /* when the last reader left, or it ended */
  uint64_t ticket;         /* of admission, 0: none */
  uint64_t uncached;       /* prompt tokens not cached at the upstream */
  br_ms_t sent_ms;         /* when the attempt was sent */
  uint64_t max_tokens;     /* of the answer; 0: not given */
  br_ms_t failed_ms;       /* when the last attempt failed */
} br_work_t;

/* A caller's request.  The views are copied. */
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
  uint64_t max_tokens; /* of the answer; 0: not given */
  uint64_t ticket;     /* of admission, 0: none */
  br_work_t *resent;   /* running work of the same request, or NULL */
} br_work_options_t;

br_work_task_t *br_work_task_new (br_node_t *node);
void br_work_task_free (br_work_task_t *task);

/* Returns the running work that this request repeats, or NULL when there is
 * none.  When work with the same key but another body runs, *ERR is set to
 * BR_ERROR_CONFLICT. */
br_work_t *br_work_task_find_resend (br_work_task_t *task,
                                     const br_work_options_t *options,
                                     br_error_t *err);

/* Accepts work and starts its first attempt, or returns OPTIONS->resent when
 * that is set.  Every change is posted as BR_NODE_WORK_CHANGED.  The task owns
 * the work. */
br_work_t *br_work_task_accept (br_work_task_t *task,
                                const br_work_options_t *options);

/* Starts work that admission admitted. */
void br_work_task_admitted (br_work_task_t *task, uint64_t number);

/* Starts the next attempt of work whose last attempt failed. */
void br_work_task_retry (br_work_task_t *task, uint64_t number);

/* Fails work that admission refused. */
void br_work_task_refused (br_work_task_t *task,
                           uint64_t number,
                           const br_error_t *err);

/* Return NULL when there is no such work, or no longer. */
br_work_t *br_work_task_find (br_work_task_t *task, uint64_t number);
br_work_t *br_work_task_find_contract (br_work_task_t *task,
                                       const br_contract_id_t *contract);

/* Starts to read the answer of a contract that another VM owns, for a workload
 * of ORGANISATION. */
br_work_t *br_work_task_follow (br_work_task_t *task,
                                const br_contract_id_t *contract,
                                const br_name_t *organisation);

/* Ends followed work.  It has failed when ERR is not NULL. */
void br_work_task_end_followed (br_work_task_t *task,
                                br_work_t *work,
                                int status,
                                const br_error_t *err);

/* Takes over work whose owner is lost from COPY.  Work that followed the owner
 * is converted, otherwise work is added.  br_work_task_resume() then continues
 * it. */
br_work_t *br_work_task_take_over (br_work_task_t *task,
                                   const br_contract_id_t *contract,
                                   br_contract_copy_t *copy);
void br_work_task_resume (br_work_task_t *task, br_work_t *work);

/* Cancels the attempt of WORK, which another VM owns now, and marks WORK as
 * followed. */
void br_work_task_release (br_work_task_t *task, br_work_t *work);
void br_work_task_on_attempt (br_work_task_t *task,
                              br_attempt_message_t *message);

/* Handle the outcome of the claim of work that runs once: the work may be sent
 * until NOT_AFTER_MS, the log holds its answer, or it fails.
 * br_work_task_may_send() returns false, and sends nothing, when the work has
 * already ended. */
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

/* Count the callers that read the answer.  Without any, queued work fails and
 * accepted work continues; ended or followed work is removed after a while. */
void br_work_add_reader (br_work_t *work);
void br_work_remove_reader (br_work_task_t *task, br_work_t *work);
size_t br_work_task_in_progress (const br_work_task_t *task);

BR_END_DECLS

#endif
