/* Transfers work between VMs: follows work that another VM owns, takes it over
 * and releases it. */
#include <assert.h>

#include "shell/admit_task.h"
#include "shell/contract_task.h"
#include "shell/upstream_task.h"
#include "shell/work_private.h"

br_work_t *
br_work_task_follow (br_work_task_t *task,
                     const br_contract_id_t *contract,
                     const br_name_t *organisation)
{
  br_work_t *work = br_work_task_find_contract (task, contract);

  if (work == NULL)
    work = br_work_add (task, contract);
  work->state = BR_WORK_RUNNING;
  work->organisation = *organisation;
  work->followed = true;
  work->repeatable = true;
  br_contract_task_follow (task->node->contracts, work);
  return work;
}

void
br_work_task_end_followed (br_work_task_t *task,
                           br_work_t *work,
                           int status,
                           const br_error_t *err)
{
  work->status = status;
  if (err != NULL)
    br_work_fail (task, work, err);
  else
    br_work_end (task, work, BR_WORK_DONE);
}

/* Replaces the answer of WORK by that of COPY when the latter is complete,
 * longer or different. */
static void
work_replace_answer (br_work_t *work, br_contract_copy_t *copy)
{
  size_t common = BR_MIN (work->answer.parts.len, copy->answer.parts.len);
  bool same = br_answer_digest (&work->answer, common)
              == br_answer_digest (&copy->answer, common);

  if (same && copy->answer.parts.len <= work->answer.parts.len
      && !copy->answer.complete)
    return;
  br_answer_free (&work->answer);
  work->answer = copy->answer;
  copy->answer = (br_answer_t){ 0 };
}

br_work_t *
br_work_task_take_over (br_work_task_t *task,
                        const br_contract_id_t *contract,
                        br_contract_copy_t *copy)
{
  br_work_t *work = br_work_task_find_contract (task, contract);
  const br_contract_request_t *request = &copy->request;

  if (work == NULL)
    work = br_work_add (task, contract);
  assert (work->followed || work->body.len == 0);
  work->followed = false;
  work->accepted = work->repeatable = work->may_have_run = true;
  work->state = BR_WORK_RUNNING;
  work->organisation = request->organisation;
  work->service = request->service;
  work->kind = request->streamed ? BR_SERVICE_MODEL : BR_SERVICE_PLAIN;
  work->method = (enum evhttp_cmd_type)request->method;
  work->status = (int)copy->status;
  work->unread_since_ms = br_node_now (task->node);
  br_buf_clear (&work->path);
  br_buf_clear (&work->body);
  br_buf_clear (&work->content_type);
  br_buf_append (&work->path, br_buf_str (&request->path));
  br_buf_append (&work->body, br_buf_str (&request->body));
  br_buf_append (&work->content_type, br_buf_str (&request->content_type));
  work_replace_answer (work, copy);
  task->in_progress++;
  return work;
}

void
br_work_task_resume (br_work_task_t *task, br_work_t *work)
{
  if (work->answer.complete)
    br_work_end (task, work, BR_WORK_DONE);
  else
    br_work_try (task, work);
}

void
br_work_task_release (br_work_task_t *task, br_work_t *work)
{
  br_upstream_task_cancel (task->node->upstreams, work->attempt);
  br_work_detach_attempt (task, work);
  work->followed = true;
  task->in_progress--;
  br_admit_task_done (task->node->admits, work->ticket);
}
