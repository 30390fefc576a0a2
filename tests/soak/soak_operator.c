/* The operator: changes the configuration through any control VM, reads it
 * back, and watches which version each entry VM has in force. */
#include <inttypes.h>
#include <string.h>

#include "soak_call.h"

#define PORT_OPERATORS 1

/* An unclear change is sent again after this time, the next change follows an
 * acknowledged one after up to CHANGE_MAX_MS, in milliseconds. */
#define AGAIN_MS 100
#define CHANGE_MAX_MS 700

#define READ_MS 120
#define CHECK_PERIOD_MS 150
#define TIMEOUT_MS 1500

struct soak_operator
{
  soak_t *soak;
  struct event *change_timer;
  struct event *read_timer;
  struct event *look_timer;
  soak_call_t *change;
  soak_call_t *read;
  soak_call_t *look;
  bool settled;

  uint64_t version; /* of the change under way */
  uint64_t acked;
  uint64_t acked_at_read; /* when the read under way was sent */

  int looked; /* entry VM, from 1 */
  bool looked_ready;
  uint64_t seen[SOAK_ENTRIES]; /* version in force at the last look */
  uint64_t seen_start[SOAK_ENTRIES];
  bool ready[SOAK_ENTRIES];
};

static void
set_timer (struct event *timer, br_ms_t ms)
{
  struct timeval wait = { ms / 1000, ms % 1000 * 1000 };

  event_add (timer, &wait);
}

/* A route that is there in one version only carries a mark, so that what is
 * read back can be compared. */
static void
write_configuration (const soak_t *soak, uint64_t version, br_buf_t *out)
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
call (soak_operator_t *side,
      soak_role_t role,
      int number,
      const char *path,
      br_str_t body,
      soak_call_fn on_done)
{
  soak_call_options_t options = {
    .base = side->soak->base,
    .address = soak_address (side->soak, role, number, PORT_OPERATORS),
    .method = body.len > 0 ? "PUT" : "GET",
    .path = path,
    .body = body,
    .timeout_ms = TIMEOUT_MS,
    .on_done = on_done,
    .context = side,
  };

  return soak_call_new (&options);
}

/* --- changes --- */

static void
change_on_done (void *context, int status, br_str_t body)
{
  soak_operator_t *side = context;
  soak_t *soak = side->soak;

  side->change = NULL;
  soak_log (soak, "version %" PRIu64 ": status %d", side->version, status);
  if (status >= 400 && status < 500 && status != 408 && status != 429)
    soak_fail (soak, "version %" PRIu64 " was refused with %d: %.*s",
               side->version, status, (int)body.len, body.data);
  if (status != 200)
    {
      set_timer (side->change_timer, AGAIN_MS);
      return;
    }
  side->acked = side->version;
  side->version += (uint64_t)soak_between (soak, 1, 3);
  set_timer (side->change_timer, soak_between (soak, AGAIN_MS, CHANGE_MAX_MS));
}

static void
change_on_timer (evutil_socket_t fd, short what, void *context)
{
  soak_operator_t *side = context;
  int control = (int)soak_between (side->soak, 1, SOAK_CONTROLS);
  br_buf_t body = { 0 };

  (void)fd;
  (void)what;
  if (side->settled)
    return;
  write_configuration (side->soak, side->version, &body);
  side->change = call (side, SOAK_CONTROL, control, "/v1/configuration",
                       br_buf_str (&body), change_on_done);
  br_buf_free (&body);
}

/* --- reads --- */

static uint64_t
mark_in (const soak_operator_t *side, br_str_t body)
{
  const char *mark
      = body.len > 0 ? memmem (body.data, body.len, "mark-", 5) : NULL;
  uint64_t version = 0;
  uint64_t seed = 0;

  if (mark == NULL
      || sscanf (mark, "mark-%" SCNu64 "-%" SCNu64, &version, &seed) != 2
      || seed != side->soak->seed)
    return 0;
  return version;
}

static void
read_on_done (void *context, int status, br_str_t body)
{
  soak_operator_t *side = context;
  uint64_t version = status == 200 ? mark_in (side, body) : 0;

  side->read = NULL;
  if (status == 200 && version < side->acked_at_read)
    soak_fail (side->soak,
               "a read sent after the acknowledgement of version %" PRIu64
               " got version %" PRIu64 ": %.*s",
               side->acked_at_read, version, (int)BR_MIN (body.len, 100),
               body.data);
  set_timer (side->read_timer, READ_MS);
}

static void
read_on_timer (evutil_socket_t fd, short what, void *context)
{
  soak_operator_t *side = context;
  int control = (int)soak_between (side->soak, 1, SOAK_CONTROLS);

  (void)fd;
  (void)what;
  side->acked_at_read = side->acked;
  side->read = call (side, SOAK_CONTROL, control, "/v1/configuration",
                     (br_str_t){ 0 }, read_on_done);
}

/* --- entry VMs --- */

static void
look_next (soak_operator_t *side)
{
  side->looked = side->looked % SOAK_ENTRIES + 1;
  set_timer (side->look_timer, CHECK_PERIOD_MS);
}

static void
metrics_on_done (void *context, int status, br_str_t body)
{
  static const char name[] = "briarrack_configuration_version ";
  soak_operator_t *side = context;
  int at = side->looked - 1;
  soak_process_t *entry = soak_process (side->soak, SOAK_ENTRY, side->looked);
  const char *line = status == 200
                         ? memmem (body.data, body.len, name, sizeof name - 1)
                         : NULL;
  uint64_t version;

  side->look = NULL;
  side->ready[at] = side->looked_ready;
  if (line != NULL)
    {
      version = strtoull (line + sizeof name - 1, NULL, 10);
      if (side->seen_start[at] == entry->starts && version < side->seen[at])
        soak_fail (side->soak,
                   "%s went back from version %" PRIu64 " to %" PRIu64,
                   entry->name, side->seen[at], version);
      side->seen[at] = version;
      side->seen_start[at] = entry->starts;
    }
  look_next (side);
}

static void
ready_on_done (void *context, int status, br_str_t body)
{
  soak_operator_t *side = context;

  (void)body;
  side->looked_ready = status == 200;
  side->look = call (side, SOAK_ENTRY, side->looked, "/metrics",
                     (br_str_t){ 0 }, metrics_on_done);
}

static void
look_on_timer (evutil_socket_t fd, short what, void *context)
{
  soak_operator_t *side = context;

  (void)fd;
  (void)what;
  side->look = call (side, SOAK_ENTRY, side->looked, "/readyz", (br_str_t){ 0 },
                     ready_on_done);
}

bool
soak_operator_recovered (const soak_t *soak)
{
  const soak_operator_t *side = soak->operator_side;

  for (int i = 0; i < SOAK_ENTRIES; i++)
    if (!side->ready[i] || side->seen[i] < side->acked)
      return false;
  return side->acked > 0;
}

void
soak_operator_settle (soak_t *soak)
{
  soak->operator_side->settled = true;
}

void
soak_operator_start (soak_t *soak)
{
  soak_operator_t *side = br_alloc_zero (sizeof *side);

  side->soak = soak;
  side->version = 1;
  side->looked = 1;
  side->change_timer = evtimer_new (soak->base, change_on_timer, side);
  side->read_timer = evtimer_new (soak->base, read_on_timer, side);
  side->look_timer = evtimer_new (soak->base, look_on_timer, side);
  set_timer (side->change_timer, AGAIN_MS);
  set_timer (side->read_timer, READ_MS);
  set_timer (side->look_timer, CHECK_PERIOD_MS);
  soak->operator_side = side;
}

void
soak_operator_free (soak_t *soak)
{
  soak_operator_t *side = soak->operator_side;

  if (side == NULL)
    return;
  soak_call_cancel (side->change);
  soak_call_cancel (side->read);
  soak_call_cancel (side->look);
  event_free (side->change_timer);
  event_free (side->read_timer);
  event_free (side->look_timer);
  free (side);
}
