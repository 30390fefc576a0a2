/* The operators of a soak of the control VMs: one changes the configuration
 * through any of them, and one for each VM reads its pages.  What they see is
 * checked here. */
#include <inttypes.h>
#include <string.h>

#include "soak_control.h"

#define PORT_CALLERS 0
#define PORT_OPERATORS 1

/* In milliseconds. */
#define RETRY_MS 100
#define CHANGE_PAUSE_MAX_MS 700
#define READ_PERIOD_MS 120
#define CALL_TIMEOUT_MS 1500

/* The members of the log may change so often for each step and each VM of the
 * start: a VM comes, gets its vote and leaves, also for a time only, and a new
 * leader does some of it again. */
#define CHANGES_PER_STEP 4

#define LINE_MAX_BYTES 8192

static void
set_timer (struct event *timer, br_ms_t ms)
{
  struct timeval wait = { ms / 1000, ms % 1000 * 1000 };

  event_add (timer, &wait);
}

uint64_t
soak_control_acked (const soak_t *soak, br_ms_t ms)
{
  const soak_acks_t *acks = &soak->control_state->acks;

  for (size_t i = acks->len; i > 0; i--)
    if (acks->items[i - 1].ms < ms)
      return acks->items[i - 1].version;
  return 0;
}

static bool
is_up (const soak_t *soak, const soak_process_t *vm)
{
  return vm->pid > 0 && !vm->paused && !vm->retired
         && (vm->role != SOAK_CONTROL
             || soak->control_state->watches[vm->number - 1].cut.heal_ms
                    == BR_MS_NEVER);
}

static int
count_up (soak_t *soak)
{
  int n = 0;

  for (int i = 1; i <= soak->control_state->n_controls; i++)
    n += is_up (soak, soak_process (soak, SOAK_CONTROL, i));
  return n;
}

/* --- changes --- */

static void
change_on_done (void *context, int status, br_str_t body)
{
  soak_t *soak = context;
  soak_control_t *control = soak->control_state;

  control->change = NULL;
  soak_log (soak, "change to version %" PRIu64 ": status %d", control->version,
            status);
  if (status >= 400 && status < 500 && status != 408 && status != 429)
    soak_fail (soak,
               "the change to version %" PRIu64
               " was refused with unexpected status %d: %.*s",
               control->version, status, (int)body.len, body.data);
  control->change_failed = status != 200;
  if (status != 200)
    {
      set_timer (control->change_timer, RETRY_MS);
      return;
    }
  soak_acks_push (&control->acks, (soak_ack_t){ .ms = soak_now (),
                                                .version = control->version });
  control->changes_stopped = control->changes_stop_on_ack;
  control->version += 1 + br_random_below (&control->random, 3);
  set_timer (control->change_timer,
             RETRY_MS
                 + (br_ms_t)br_random_below (&control->random,
                                             CHANGE_PAUSE_MAX_MS - RETRY_MS));
  soak_control_on_ack (soak);
}

/* Returns a random control VM that belongs to the site.  It is up if a call to
 * another one has just failed, as an operator goes on to the next one. */
static int
draw_control (soak_t *soak)
{
  soak_control_t *control = soak->control_state;
  bool any = !control->change_failed || count_up (soak) == 0;
  int number;

  do
    number = 1
             + (int)br_random_below (&control->random,
                                     (uint64_t)control->n_controls);
  while (any ? soak_process (soak, SOAK_CONTROL, number)->retired
             : !is_up (soak, soak_process (soak, SOAK_CONTROL, number)));
  return number;
}

static void
change_on_timer (evutil_socket_t fd, short what, void *context)
{
  soak_t *soak = context;
  soak_control_t *control = soak->control_state;
  soak_call_options_t options = {
    .base = soak->base,
    .method = "PUT",
    .path = "/v1/configuration",
    .timeout_ms = CALL_TIMEOUT_MS,
    .on_done = change_on_done,
    .context = soak,
  };
  br_buf_t body = { 0 };

  (void)fd;
  (void)what;
  if (control->changes_stopped)
    return;
  soak_configuration_write (soak, control->version, &body);
  options.address
      = soak_address (soak, SOAK_CONTROL, draw_control (soak), PORT_OPERATORS);
  options.body = br_buf_str (&body);
  control->change = soak_call_new (&options);
  br_buf_free (&body);
}

/* --- pages of the VMs --- */

/* Reads the members in the status page BODY: whether they are exactly the
 * control VMs that are up. */
static void
take_members (soak_watch_t *watch, br_str_t body)
{
  static const char members[] = "\"members\":[";
  soak_t *soak = watch->soak;
  const char *at
      = body.len > 0 ? memmem (body.data, body.len, members, sizeof members - 1)
                     : NULL;
  int seen[256] = { 0 };
  size_t len = 0;
  unsigned number;

  watch->knows_members = at != NULL;
  watch->members[0] = '\0';
  if (at == NULL)
    return;
  /* The page ends with a line feed, so a string stands within it. */
  for (const char *end = at + strcspn (at, "]\n"); at < end; at++)
    if (sscanf (at, "\"vm\":\"127.0.%*u.%u\"", &number) == 1 && number < 256)
      seen[number]++;
  for (int i = 1; i < 256; i++)
    {
      bool up = i <= soak->control_state->n_controls
                && is_up (soak, soak_process (soak, SOAK_CONTROL, i));

      if (seen[i] != up)
        watch->knows_members = false;
      if (seen[i] > 0 && len < sizeof watch->members)
        len += (size_t)snprintf (watch->members + len,
                                 sizeof watch->members - len, " %d%s", i,
                                 up ? "" : " (gone)");
    }
}

/* Checks that a VM that is outside the log does not say otherwise. */
static void
check_outside (soak_watch_t *watch, bool member, const char *what)
{
  if (member && watch->outside_ms > 0 && watch->sent_ms >= watch->outside_ms)
    soak_fail (watch->soak, "%s: none of its seeds is up, and %s",
               watch->vm->name, what);
}

static void
take_configuration (soak_watch_t *watch, int status, br_str_t body)
{
  soak_t *soak = watch->soak;

  check_outside (watch, status == 200, "it answers reads");
  if (status != 200)
    return;
  watch->read_ms = soak_now ();
  watch->version = soak_configuration_version (soak, body);
  if (watch->version < watch->floor)
    soak_fail (soak,
               "%s: a read sent %d ms after version %" PRIu64
               " was acknowledged returned the older version %" PRIu64,
               watch->vm->name, SOAK_CONFIG_APPLY_MS, watch->floor,
               watch->version);
}

/* Handles an answer that an entry VM owes while the site is whole. */
static void
take_owed (soak_watch_t *watch, int status, const char *what)
{
  soak_t *soak = watch->soak;

  if (status != 200 && soak->control_state->n_steps > 0
      && watch->sent_ms >= soak->control_state->excess_until_ms)
    soak_fail (soak, "%s: %s: status %d", watch->vm->name, what, status);
  watch->ready = status == 200;
}

/* The pages in the order in which they are read. */
static const char *const control_pages[]
    = { "/v1/configuration", "/metrics", "/v1/status", "/readyz" };
static const char *const entry_pages[]
    = { "/readyz", "/metrics", "/look/named" };

#define ENTRY_PAGES 3
#define CONTROL_PAGES 4

static void watch_next (soak_watch_t *watch);

static void
page_on_done (void *context, int status, br_str_t body)
{
  soak_watch_t *watch = context;
  soak_t *soak = watch->soak;
  bool control = watch->vm->role == SOAK_CONTROL;
  bool has_vote;

  watch->call = NULL;
  switch (watch->stage)
    {
    case 0:
      if (control)
        take_configuration (watch, status, body);
      else
        take_owed (watch, status, "readiness");
      break;
    case 1:
      watch->leads = soak_metric (body, "briarrack_leads ") == 1;
      has_vote = soak_metric (body, "briarrack_log_has_vote ") == 1;
      if (has_vote)
        watch->vote_ms = watch->sent_ms;
      check_outside (watch, control && has_vote, "it has a vote");
      watch->agrees
          = has_vote
            && soak_metric (body, "briarrack_log_voters ") == count_up (soak);
      if (!control && status == 200)
        watch->version = (uint64_t)BR_MAX (
            0, soak_metric (body, "briarrack_configuration_version "));
      break;
    case 3:
      watch->ready = status == 200;
      check_outside (watch, watch->ready, "it is ready");
      break;
    default:
      if (control)
        take_members (watch, status == 200 ? body : (br_str_t){ 0 });
      else
        take_owed (watch, status, "a request");
      break;
    }
  watch->stage = (watch->stage + 1) % (control ? CONTROL_PAGES : ENTRY_PAGES);
  if (watch->stage == 0)
    set_timer (watch->timer, READ_PERIOD_MS);
  else
    watch_next (watch);
}

static void
watch_next (soak_watch_t *watch)
{
  soak_t *soak = watch->soak;
  bool control = watch->vm->role == SOAK_CONTROL;
  bool request = !control && watch->stage == ENTRY_PAGES - 1;
  char headers[160];
  soak_call_options_t options = {
    .base = soak->base,
    .address = soak_address (soak, watch->vm->role, watch->vm->number,
                             request ? PORT_CALLERS : PORT_OPERATORS),
    .method = request ? "POST" : "GET",
    .path = (control ? control_pages : entry_pages)[watch->stage],
    .headers = request ? headers : NULL,
    .timeout_ms = CALL_TIMEOUT_MS,
    .on_done = page_on_done,
    .context = watch,
  };

  watch->sent_ms = soak_now ();
  watch->floor
      = soak_control_acked (soak, watch->sent_ms - SOAK_CONFIG_APPLY_MS);
  snprintf (headers, sizeof headers,
            "Host: h.example\r\nAuthorization: Bearer soak-key-0001\r\n"
            "X-Request-Id: s-%d-%" PRId64 "\r\nX-Deadline-Ms: 1000\r\n",
            watch->vm->number, watch->sent_ms);
  watch->call = soak_call_new (&options);
}

static void
watch_on_timer (evutil_socket_t fd, short what, void *context)
{
  soak_watch_t *watch = context;

  (void)fd;
  (void)what;
  if (!watch->vm->retired && watch->vm->pid > 0)
    watch_next (watch);
  else
    {
      watch->leads = false;
      set_timer (watch->timer, READ_PERIOD_MS);
    }
}

/* --- checks --- */

/* Checks that from the window's start a change was acknowledged and that each
 * control VM that was up all the while answered a read, and that the entry VMs
 * obey what was acknowledged by then. */
static void
check_window (soak_t *soak, const soak_window_t *window)
{
  soak_control_t *control = soak->control_state;
  size_t n_acks = control->acks.len;

  if (window->from_ms < control->excess_until_ms)
    return;
  if (!control->changes_stopped
      && (n_acks == 0 || control->acks.items[n_acks - 1].ms < window->from_ms))
    soak_fail (soak,
               "step %d: no change was acknowledged within %d ms after the "
               "loss was over",
               window->step, SOAK_ACK_MS);
  for (size_t i = 0; i < SOAK_WATCHES; i++)
    {
      const soak_watch_t *watch = &control->watches[i];
      const soak_process_t *vm = watch->vm;

      if (vm == NULL || !is_up (soak, vm) || vm->exit_expected)
        continue;
      if (vm->role == SOAK_CONTROL
          && vm->up_since_ms + SOAK_CATCH_UP_MS <= window->from_ms
          && watch->read_ms < window->from_ms)
        soak_fail (soak,
                   "step %d: %s answered no read with 200 within %d ms after "
                   "the loss was over",
                   window->step, vm->name, SOAK_ACK_MS);
      if (vm->role == SOAK_ENTRY
          && watch->version < soak_control_acked (soak, window->from_ms))
        soak_fail (soak,
                   "step %d: %s has version %" PRIu64
                   " in force, version %" PRIu64
                   " was acknowledged more than %d ms before",
                   window->step, vm->name, watch->version,
                   soak_control_acked (soak, window->from_ms), SOAK_ACK_MS);
    }
}

void
soak_control_watch_tick (soak_t *soak)
{
  soak_windows_t *windows = &soak->control_state->windows;
  size_t kept = 0;

  for (size_t i = 0; i < windows->len; i++)
    if (soak_now () >= windows->items[i].from_ms + SOAK_ACK_MS)
      check_window (soak, &windows->items[i]);
    else
      windows->items[kept++] = windows->items[i];
  windows->len = kept;
}

/* Returns whether the VM of WATCH does all that is checked at the end; if
 * EXPLAIN, logs what it does not. */
static bool
is_recovered (soak_t *soak, const soak_watch_t *watch, bool explain)
{
  uint64_t acked = soak_control_acked (soak, BR_MS_NEVER);
  const soak_process_t *vm = watch->vm;
  bool control = vm->role == SOAK_CONTROL;
  bool ok = is_up (soak, vm) && watch->version >= acked && watch->ready
            && (!control
                || (watch->agrees && watch->knows_members
                    && watch->read_ms > vm->up_since_ms));

  if (explain && !ok)
    soak_fail (soak, "%s: %s, version %" PRIu64 " of %" PRIu64 ", %s%s",
               vm->name, is_up (soak, vm) ? "up" : "not up", watch->version,
               acked,
               !control        ? ""
               : watch->agrees ? "has a vote, "
                               : "has no vote or other voters, ",
               watch->ready ? "ready" : "not ready");
  if (explain && !ok && control && !watch->knows_members)
    soak_fail (soak, "%s: its members are not the VMs that are up:%s", vm->name,
               watch->members);
  return ok;
}

static bool
all_recovered (soak_t *soak, bool explain)
{
  const soak_control_t *control = soak->control_state;
  bool ok = control->acks.len > 0
            && (!control->changes_stop_on_ack || control->changes_stopped);

  if (explain && !ok)
    soak_fail (soak, "no change was acknowledged");
  for (size_t i = 0; i < SOAK_WATCHES; i++)
    if (control->watches[i].vm != NULL && !control->watches[i].vm->retired
        && !is_recovered (soak, &control->watches[i], explain))
      ok = false;
  return ok;
}

bool
soak_control_recovered (const soak_t *soak)
{
  return all_recovered ((soak_t *)soak, false);
}

void
soak_control_explain (soak_t *soak)
{
  all_recovered (soak, true);
}

/* Counts the changes of members that the control VM logged. */
static int
count_changes (soak_t *soak, const soak_process_t *vm)
{
  br_buf_t path = { 0 };
  char line[LINE_MAX_BYTES];
  FILE *file;
  int n = 0;

  soak_process_path (soak, vm, ".out", &path);
  file = fopen (path.data, "r");
  br_buf_free (&path);
  while (file != NULL && fgets (line, sizeof line, file) != NULL)
    n += strstr (line, "members changed") != NULL;
  if (file != NULL)
    fclose (file);
  return n;
}

void
soak_control_check_logs (soak_t *soak)
{
  int most = CHANGES_PER_STEP * (soak->control_state->n_steps + soak->control);

  for (int i = 1; i <= soak->control_state->n_controls; i++)
    {
      const soak_process_t *vm = soak_process (soak, SOAK_CONTROL, i);
      int n = count_changes (soak, vm);

      soak_log (soak, "%s: the members changed %d times", vm->name, n);
      if (n > most)
        soak_fail (soak, "%s: the members changed %d times in %d steps",
                   vm->name, n, soak->control_state->n_steps);
    }
}

/* --- start and end --- */

static void
watch_start (soak_t *soak, size_t at, soak_process_t *vm)
{
  soak_watch_t *watch = &soak->control_state->watches[at];

  watch->soak = soak;
  watch->vm = vm;
  watch->term_ms = BR_MS_NEVER;
  watch->seeds_ms = BR_MS_NEVER;
  watch->cut.heal_ms = BR_MS_NEVER;
  watch->timer = evtimer_new (soak->base, watch_on_timer, watch);
  set_timer (watch->timer, READ_PERIOD_MS);
}

void
soak_control_watch_vm (soak_t *soak, int number)
{
  watch_start (soak, (size_t)number - 1,
               soak_process (soak, SOAK_CONTROL, number));
}

void
soak_control_watch_start (soak_t *soak)
{
  soak_control_t *control = soak->control_state;

  for (int i = 1; i <= control->n_controls; i++)
    soak_control_watch_vm (soak, i);
  for (int i = 1; i <= SOAK_CONTROL_ENTRIES; i++)
    watch_start (soak, (size_t)(SOAK_CONTROLS_MAX + i - 1),
                 soak_process (soak, SOAK_ENTRY, i));
  control->change_timer = evtimer_new (soak->base, change_on_timer, soak);
  set_timer (control->change_timer, RETRY_MS);
}

void
soak_control_watch_free (soak_t *soak)
{
  soak_control_t *control = soak->control_state;

  for (size_t i = 0; i < SOAK_WATCHES; i++)
    if (control->watches[i].vm != NULL)
      {
        soak_call_cancel (control->watches[i].call);
        event_free (control->watches[i].timer);
      }
  soak_call_cancel (control->change);
  event_free (control->change_timer);
  soak_acks_free (&control->acks);
  soak_windows_free (&control->windows);
}
