/* The operator of the soak.  It changes the configuration through a random
 * control VM, reads it back through another random one, and checks which
 * version each entry VM has in force. */
#include <inttypes.h>
#include <string.h>

#include "soak_call.h"

#define PORT_OPERATORS 1

/* A change that got no status 200 is sent again after RETRY_MS.  After an
 * acknowledged change the next one follows after RETRY_MS to
 * CHANGE_PAUSE_MAX_MS.  Both are in milliseconds. */
#define RETRY_MS 100
#define CHANGE_PAUSE_MAX_MS 700

#define READ_PERIOD_MS 120
#define CHECK_PERIOD_MS 150
#define CALL_TIMEOUT_MS 1500

struct soak_operator
{
  soak_t *soak;
  struct event *change_timer;
  struct event *read_timer;
  struct event *check_timer;
  soak_call_t *change;
  soak_call_t *read;
  soak_call_t *check;
  bool changes_stopped;

  uint64_t version;       /* of the change to send, or in progress */
  uint64_t acked;         /* newest acknowledged version; 0: none */
  uint64_t acked_at_read; /* ACKED when the read in progress was sent */

  int checked_entry;  /* number of the entry VM to check, from 1 */
  bool checked_ready; /* whether it answered that it is ready */
  uint64_t seen_version[SOAK_ENTRIES]; /* in force at the last check */
  uint64_t seen_starts[SOAK_ENTRIES];  /* starts of the VM at that check */
  bool ready[SOAK_ENTRIES];
};

static void
set_timer (struct event *timer, br_ms_t ms)
{
  struct timeval wait = { ms / 1000, ms % 1000 * 1000 };

  event_add (timer, &wait);
}

/* The name of the last route holds the version and the seed, which
 * soak_configuration_version reads. */
void
soak_configuration_write (const soak_t *soak, uint64_t version, br_buf_t *out)
{
  static const char *const kinds[SOAK_KINDS]
      = { "non_idempotent", "idempotent", "streaming", "streaming" };

  br_buf_printf (out, "{\"Version\": %" PRIu64 ", \"Routes\": [", version);
  for (int i = 0; i < SOAK_KINDS; i++)
    {
      const char *path = soak_kind_paths[i];
      int prefix = (int)(strrchr (path, '/') - path) + 1;

      br_buf_printf (
          out,
          "{\"Name\": \"r%d\", \"Host\": \"h.example\", \"PathPrefix\": "
          "\"%.*s\", \"Kind\": \"%s\", \"TimeoutMs\": 4000, "
          "\"TargetLatencyMs\": 300, \"Service\": \"%s\", \"MaxAttempts\": 2, "
          "\"Resumable\": %s, \"GapAimMs\": 300},",
          i, prefix, path, kinds[i], soak_kind_stream[i] ? "llm" : "ledger",
          i == SOAK_DRAFT ? "true" : "false");
    }
  br_buf_printf (
      out,
      "{\"Name\": \"mark-%" PRIu64 "-%" PRIu64 "\", \"Host\": \"h.example\", "
      "\"PathPrefix\": \"/mark-%" PRIu64 "/\", \"Kind\": \"idempotent\", "
      "\"TimeoutMs\": 1000, \"TargetLatencyMs\": 100, \"Service\": "
      "\"ledger\"}],"
      "\"Services\": [{\"Name\": \"llm\", \"MaxConnections\": 100, \"Engine\": "
      "{\"Slots\": 8, \"KvCapacity\": 100000, \"Stride\": 6}}, {\"Name\": "
      "\"ledger\", \"MaxConnections\": 100}], \"Limits\": {\"MaxHeaderBytes\": "
      "8192, \"MaxBodyBytes\": 100000, \"HeaderTimeoutMs\": 700, "
      "\"IdleTimeoutMs\": 5000}, \"Tenants\": [{\"Name\": \"alcornocales\", "
      "\"ApiKeys\": [\"soak-key-0001\"], \"Unit\": \"tokens\", "
      "\"PlainTokens\": "
      "10, \"RatePerS\": 1000000, \"Burst\": 1000000}]}",
      version, soak->seed, version);
}

static soak_call_t *
call (soak_operator_t *op,
      soak_role_t role,
      int number,
      const char *path,
      br_str_t body,
      soak_call_fn on_done)
{
  soak_call_options_t options = {
    .base = op->soak->base,
    .address = soak_address (op->soak, role, number, PORT_OPERATORS),
    .method = body.len > 0 ? "PUT" : "GET",
    .path = path,
    .body = body,
    .timeout_ms = CALL_TIMEOUT_MS,
    .on_done = on_done,
    .context = op,
  };

  return soak_call_new (&options);
}

/* --- changes --- */

static void
change_on_done (void *context, int status, br_str_t body)
{
  soak_operator_t *op = context;
  soak_t *soak = op->soak;

  op->change = NULL;
  soak_log (soak, "change to version %" PRIu64 ": status %d", op->version,
            status);
  if (status >= 400 && status < 500 && status != 408 && status != 429)
    soak_fail (soak,
               "the change to version %" PRIu64
               " was refused with unexpected status %d: %.*s",
               op->version, status, (int)body.len, body.data);
  if (status != 200)
    {
      set_timer (op->change_timer, RETRY_MS);
      return;
    }
  op->acked = op->version;
  op->version += (uint64_t)soak_random_between (soak, 1, 3);
  set_timer (op->change_timer,
             soak_random_between (soak, RETRY_MS, CHANGE_PAUSE_MAX_MS));
}

static void
change_on_timer (evutil_socket_t fd, short what, void *context)
{
  soak_operator_t *op = context;
  int control = (int)soak_random_between (op->soak, 1, SOAK_CONTROLS);
  br_buf_t body = { 0 };

  (void)fd;
  (void)what;
  if (op->changes_stopped)
    return;
  soak_configuration_write (op->soak, op->version, &body);
  op->change = call (op, SOAK_CONTROL, control, "/v1/configuration",
                     br_buf_str (&body), change_on_done);
  br_buf_free (&body);
}

/* --- reads --- */

uint64_t
soak_configuration_version (const soak_t *soak, br_str_t body)
{
  const char *mark
      = body.len > 0 ? memmem (body.data, body.len, "mark-", 5) : NULL;
  uint64_t version = 0;
  uint64_t seed = 0;

  if (mark == NULL
      || sscanf (mark, "mark-%" SCNu64 "-%" SCNu64, &version, &seed) != 2
      || seed != soak->seed)
    return 0;
  return version;
}

static void
read_on_done (void *context, int status, br_str_t body)
{
  soak_operator_t *op = context;
  uint64_t version
      = status == 200 ? soak_configuration_version (op->soak, body) : 0;

  op->read = NULL;
  if (status == 200 && version < op->acked_at_read)
    soak_fail (op->soak,
               "a read sent after version %" PRIu64
               " was acknowledged returned the older version %" PRIu64 ": %.*s",
               op->acked_at_read, version, (int)BR_MIN (body.len, 100),
               body.data);
  set_timer (op->read_timer, READ_PERIOD_MS);
}

static void
read_on_timer (evutil_socket_t fd, short what, void *context)
{
  soak_operator_t *op = context;
  int control = (int)soak_random_between (op->soak, 1, SOAK_CONTROLS);

  (void)fd;
  (void)what;
  op->acked_at_read = op->acked;
  op->read = call (op, SOAK_CONTROL, control, "/v1/configuration",
                   (br_str_t){ 0 }, read_on_done);
}

/* --- entry VMs --- */

static void
check_next_entry (soak_operator_t *op)
{
  op->checked_entry = op->checked_entry % SOAK_ENTRIES + 1;
  set_timer (op->check_timer, CHECK_PERIOD_MS);
}

long
soak_metric (br_str_t body, const char *name)
{
  const char *line
      = body.len > 0 ? memmem (body.data, body.len, name, strlen (name)) : NULL;

  return line != NULL ? strtol (line + strlen (name), NULL, 10) : -1;
}

static void
metrics_on_done (void *context, int status, br_str_t body)
{
  soak_operator_t *op = context;
  int at = op->checked_entry - 1;
  soak_process_t *entry
      = soak_process (op->soak, SOAK_ENTRY, op->checked_entry);
  long line = status == 200
                  ? soak_metric (body, "briarrack_configuration_version ")
                  : -1;
  uint64_t version = (uint64_t)line;

  op->check = NULL;
  op->ready[at] = op->checked_ready;
  if (line >= 0)
    {
      if (op->seen_starts[at] == entry->starts
          && version < op->seen_version[at])
        soak_fail (op->soak,
                   "%s went back from configuration version %" PRIu64
                   " to %" PRIu64 " without a restart",
                   entry->name, op->seen_version[at], version);
      op->seen_version[at] = version;
      op->seen_starts[at] = entry->starts;
    }
  check_next_entry (op);
}

static void
ready_on_done (void *context, int status, br_str_t body)
{
  soak_operator_t *op = context;

  (void)body;
  op->checked_ready = status == 200;
  op->check = call (op, SOAK_ENTRY, op->checked_entry, "/metrics",
                    (br_str_t){ 0 }, metrics_on_done);
}

static void
check_on_timer (evutil_socket_t fd, short what, void *context)
{
  soak_operator_t *op = context;

  (void)fd;
  (void)what;
  op->check = call (op, SOAK_ENTRY, op->checked_entry, "/readyz",
                    (br_str_t){ 0 }, ready_on_done);
}

bool
soak_operator_recovered (const soak_t *soak)
{
  const soak_operator_t *op = soak->operator_state;

  for (int i = 0; i < SOAK_ENTRIES; i++)
    if (!op->ready[i] || op->seen_version[i] < op->acked)
      return false;
  return op->acked > 0;
}

void
soak_operator_stop_changes (soak_t *soak)
{
  soak->operator_state->changes_stopped = true;
}

void
soak_operator_start (soak_t *soak)
{
  soak_operator_t *op = br_alloc_zero (sizeof *op);

  op->soak = soak;
  op->version = 1;
  op->checked_entry = 1;
  op->change_timer = evtimer_new (soak->base, change_on_timer, op);
  op->read_timer = evtimer_new (soak->base, read_on_timer, op);
  op->check_timer = evtimer_new (soak->base, check_on_timer, op);
  set_timer (op->change_timer, RETRY_MS);
  set_timer (op->read_timer, READ_PERIOD_MS);
  set_timer (op->check_timer, CHECK_PERIOD_MS);
  soak->operator_state = op;
}

void
soak_operator_free (soak_t *soak)
{
  soak_operator_t *op = soak->operator_state;

  if (op == NULL)
    return;
  soak_call_cancel (op->change);
  soak_call_cancel (op->read);
  soak_call_cancel (op->check);
  event_free (op->change_timer);
  event_free (op->read_timer);
  event_free (op->check_timer);
  free (op);
}
