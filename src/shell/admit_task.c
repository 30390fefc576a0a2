#include "shell/admit_task.h"

#include <uthash.h>

#include "organisation/digest_codec.h"
#include "shell/work_task.h"

#define TICK_PERIOD_MS 100

/* A request that was not refused, indexed by its ticket. */
typedef struct
{
  uint64_t ticket;
  uint64_t work; /* number of its work; 0: not accepted as work yet */
  bool admitted;
  UT_hash_handle hh;
} entry_t;

struct br_admit_task
{
  br_node_t *node;
  br_admission_t *admission;
  br_admission_outbox_t outbox;
  bool delivering; /* the messages in OUTBOX are being delivered */
  entry_t *entries;
  uint64_t last_ticket;
  br_error_t *refusal; /* receives the refusal of the current request */
  uint64_t revision;   /* of the declarations in ADMISSION */
  br_names_t declared;
  struct event *tick;
};

static entry_t *
task_find (br_admit_task_t *task, uint64_t ticket)
{
  entry_t *entry;

  HASH_FIND (hh, task->entries, &ticket, sizeof ticket, entry);
  return entry;
}

static void
task_remove (br_admit_task_t *task, entry_t *entry)
{
  HASH_DEL (task->entries, entry);
  free (entry);
}

static void
task_on_admitted (br_admit_task_t *task, uint64_t ticket)
{
  entry_t *entry = task_find (task, ticket);

  if (entry == NULL)
    return;
  entry->admitted = true;
  if (entry->work != 0)
    br_work_task_admitted (task->node->works, entry->work);
}

static void
task_on_refused (br_admit_task_t *task,
                 uint64_t ticket,
                 const br_error_t *error)
{
  entry_t *entry = task_find (task, ticket);
  uint64_t work;

  if (entry == NULL)
    return;
  work = entry->work;
  task_remove (task, entry);
  br_log_error (&task->node->log, "admission", "refused", error);
  if (work != 0)
    br_work_task_refused (task->node->works, work, error);
  else if (task->refusal != NULL)
    *task->refusal = *error;
}

static void
task_send_digest (br_admit_task_t *task, const br_admission_digest_t *digest)
{
  br_buf_t bytes = { 0 };

  br_digest_pack (digest, &bytes);
  br_node_send (task->node, &digest->vm, BR_PART_ORGANISATION,
                br_buf_str (&bytes));
  br_buf_free (&bytes);
}

static void
task_deliver (br_admit_task_t *task, const br_admission_output_t *output)
{
  switch (output->kind)
    {
    case BR_ADMISSION_ADMITTED:
      task_on_admitted (task, output->ticket);
      break;
    case BR_ADMISSION_REFUSED:
      task_on_refused (task, output->ticket, &output->error);
      break;
    case BR_ADMISSION_SEND_DIGEST:
      task_send_digest (task, &output->digest);
      break;
    }
}

/* Delivering a message may end other work and call this function again.  The
 * inner call only adds its messages to the outbox; the outer call delivers
 * them. */
static void
task_handle (br_admit_task_t *task, const br_admission_input_t *input)
{
  br_admission_handle (task->admission, input, br_node_now (task->node),
                       &task->outbox);
  if (task->delivering)
    return;
  task->delivering = true;
  for (size_t i = 0; i < task->outbox.len; i++)
    {
      br_admission_output_t output = task->outbox.items[i];

      task_deliver (task, &output);
    }
  br_admission_outbox_reset (&task->outbox);
  task->delivering = false;
}

static bool
catalog_has (const br_catalog_t *catalog, const br_name_t *organisation)
{
  for (size_t i = 0; i < catalog->organisations.len; i++)
    if (br_name_equal (&catalog->organisations.items[i].name, organisation))
      return true;
  return false;
}

static void
task_remove_undeclared (br_admit_task_t *task)
{
  br_admission_input_t input = { .kind = BR_ADMISSION_REMOVE };

  for (size_t i = 0; i < task->declared.len; i++)
    {
      input.remove = task->declared.items[i];
      if (!catalog_has (&task->node->catalog, &input.remove))
        task_handle (task, &input);
    }
  br_names_clear (&task->declared);
}

void
br_admit_task_on_catalog (br_admit_task_t *task)
{
  const br_catalog_t *catalog = &task->node->catalog;
  br_admission_input_t input = { .kind = BR_ADMISSION_LIMITS };

  task->revision = catalog->revision;
  task_remove_undeclared (task);
  for (size_t i = 0; i < catalog->organisations.len; i++)
    {
      const br_organisation_t *each = &catalog->organisations.items[i];

      input.limits = (br_admission_limits_t){
        .name = each->name,
        .weight = each->weight,
        .requests_per_second = each->requests_per_second,
        .in_flight = each->in_flight,
      };
      br_names_push (&task->declared, each->name);
      task_handle (task, &input);
    }
}

void
br_admit_task_set_capacity (br_admit_task_t *task,
                            const br_name_t *service,
                            uint64_t max,
                            uint64_t unreserved)
{
  br_admission_input_t input = { .kind = BR_ADMISSION_CAPACITY };

  input.capacity.service = *service;
  input.capacity.max = max;
  input.capacity.unreserved = unreserved;
  task_handle (task, &input);
}

uint64_t
br_admit_task_request (br_admit_task_t *task,
                       const br_organisation_t *organisation,
                       const br_service_t *service,
                       uint64_t tokens,
                       br_error_t *err)
{
  br_admission_input_t input = { .kind = BR_ADMISSION_REQUEST };
  entry_t *entry = br_alloc_zero (sizeof *entry);
  uint64_t ticket = ++task->last_ticket;

  if (task->revision != task->node->catalog.revision)
    br_admit_task_on_catalog (task);
  entry->ticket = ticket;
  HASH_ADD (hh, task->entries, ticket, sizeof entry->ticket, entry);
  input.request = (br_admission_request_t){
    .ticket = ticket,
    .organisation = organisation->name,
    .service = service->name,
    .tokens = tokens,
    .deadline_ms = br_node_now (task->node) + service->first_token_ms,
  };
  task->refusal = err;
  task_handle (task, &input);
  task->refusal = NULL;
  return task_find (task, ticket) != NULL ? ticket : 0;
}

bool
br_admit_task_may_start (br_admit_task_t *task, uint64_t ticket, uint64_t work)
{
  entry_t *entry = task_find (task, ticket);

  if (entry == NULL)
    return true;
  entry->work = work;
  return entry->admitted;
}

void
br_admit_task_done (br_admit_task_t *task, uint64_t ticket)
{
  entry_t *entry = task_find (task, ticket);
  br_admission_input_t input = { 0 };

  if (entry == NULL)
    return;
  if (entry->admitted)
    {
      input.kind = BR_ADMISSION_DONE;
      input.done = ticket;
    }
  else
    {
      input.kind = BR_ADMISSION_DISCONNECT;
      input.disconnect = ticket;
    }
  task_remove (task, entry);
  task_handle (task, &input);
}

void
br_admit_task_on_peer (br_admit_task_t *task, const br_peer_message_t *message)
{
  br_admission_input_t input = { .kind = BR_ADMISSION_DIGEST };
  br_admission_digest_t digest;
  br_error_t err;

  if (!br_digest_unpack (br_buf_str (&message->payload), &message->vm, &digest,
                         &err))
    {
      br_counters_add (&task->node->counters, BR_COUNTER_PROTOCOL_ERRORS, 1);
      br_log_error (&task->node->log, "admission", "bad_message", &err);
      return;
    }
  input.digest = &digest;
  task_handle (task, &input);
  br_admission_demands_free (&digest.demands);
}

static void
task_on_tick (evutil_socket_t fd, short what, void *context)
{
  br_admit_task_t *task = context;
  br_admission_input_t input = { .kind = BR_ADMISSION_TICK };

  (void)fd;
  (void)what;
  if (task->revision != task->node->catalog.revision)
    br_admit_task_on_catalog (task);
  task_handle (task, &input);
}

br_admit_task_t *
br_admit_task_new (br_node_t *node)
{
  br_admit_task_t *task = br_alloc_zero (sizeof *task);
  const br_settings_t *settings = &node->settings;
  struct timeval period = { 0, TICK_PERIOD_MS * 1000 };
  br_names_t vms = { 0 };
  br_admission_options_t options = {
    .vm = settings->vm,
    .incarnation = node->incarnation,
    .vms = &vms,
    .now = br_node_now (node),
  };

  br_names_push (&vms, settings->vm);
  for (size_t i = 0; i < settings->vms.len; i++)
    if (br_name_equal (&settings->vms.items[i].failure_domain,
                       &settings->failure_domain))
      br_names_push (&vms, settings->vms.items[i].name);
  task->node = node;
  task->admission = br_admission_new (&options);
  br_names_free (&vms);
  task->tick = event_new (node->base, -1, EV_PERSIST, task_on_tick, task);
  event_add (task->tick, &period);
  return task;
}

void
br_admit_task_free (br_admit_task_t *task)
{
  entry_t *entry;
  entry_t *next;

  if (task == NULL)
    return;
  HASH_ITER (hh, task->entries, entry, next)
  task_remove (task, entry);
  event_free (task->tick);
  br_admission_free (task->admission);
  br_admission_outbox_free (&task->outbox);
  br_names_free (&task->declared);
  free (task);
}
