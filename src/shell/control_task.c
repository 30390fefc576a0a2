#include "shell/control_task.h"

#include <inttypes.h>
#include <string.h>

#include "platform/configuration_codec.h"
#include "shell/control_inside.h"
#include "shell/http_reply.h"
#include "shell/peer_task.h"
#include "shell/replica_task.h"
#include "site/quota.h"
#include "state/command.h"

/* Time between two looks at what is due. */
#define TICK_MS 100

/* Time between two beats to the entry VMs. */
#define BEAT_MS 400

/* Time between two readings of the platform's list by the leader.  An upstream
 * must be left within a few seconds of its notice. */
#define READ_LIST_MS 500

/* An entry VM that was not heard of for this long counts as gone. */
#define ENTRY_LIFE_MS 3000

/* Counts of an entry VM are kept this long after its last word: until every
 * window with some of them was reported. */
#define LEDGER_LIFE_MS 60000

/* When an operator should try again, in milliseconds. */
#define TRY_AGAIN_MS 300

/* --- configuration --- */

static void
wait_on_close (struct evhttp_connection *connection, void *context)
{
  br_control_task_t *task = context;

  for (size_t i = 0; i < task->waits.len; i++)
    if (task->waits.items[i].request != NULL
        && evhttp_request_get_connection (task->waits.items[i].request)
               == connection)
      task->waits.items[i].request = NULL;
}

static void
task_wait (br_control_task_t *task, br_control_wait_t wait)
{
  br_control_waits_push (&task->waits, wait);
  evhttp_connection_set_closecb (evhttp_request_get_connection (wait.request),
                                 wait_on_close, task);
}

static void
reply_unavailable (struct evhttp_request *request, const char *why)
{
  br_error_t err;

  br_error_set (&err, BR_ERROR_UNAVAILABLE, "ask the log", "", "%s", why);
  err.retry_after_ms = TRY_AGAIN_MS;
  br_http_reply_error (request, &err);
}

static void
reply_version (struct evhttp_request *request, uint64_t version)
{
  br_buf_t body = { 0 };

  br_buf_printf (&body, "{\"version\":%" PRIu64 "}\n", version);
  br_http_reply (request, HTTP_OK, "application/json", br_buf_str (&body));
  br_buf_free (&body);
}

void
br_control_task_put (br_control_task_t *task, struct evhttp_request *request)
{
  br_node_t *node = task->node;
  br_str_t body = br_http_body (request);
  br_configuration_t *configuration;
  br_control_wait_t wait = { .request = request };
  br_buf_t command = { 0 };
  br_error_t err;

  configuration = br_platform_read_configuration (body, &err);
  if (configuration == NULL)
    {
      br_log_error (&node->log, "site", "configuration_refused", &err);
      br_http_reply_error (request, &err);
      return;
    }
  wait.version = configuration->version;
  br_configuration_unref (configuration);
  if (wait.version <= br_state_site_version (node->state))
    {
      reply_version (request, br_state_site_version (node->state));
      return;
    }
  br_state_command_site (wait.version, body, &command);
  wait.ticket = br_replica_task_propose (node->replica, br_buf_str (&command));
  br_buf_free (&command);
  BR_LOG (&node->log, "site", "configuration proposed",
          br_field_int ("version", (int64_t)wait.version),
          br_field_int ("ticket", (int64_t)wait.ticket));
  task_wait (task, wait);
}

void
br_control_task_get (br_control_task_t *task, struct evhttp_request *request)
{
  br_control_wait_t wait = { .is_read = true, .request = request };

  wait.ticket = br_replica_task_read (task->node->replica);
  task_wait (task, wait);
}

static void
wait_answer (br_control_task_t *task,
             const br_control_wait_t *wait,
             const br_proposal_message_t *proposal)
{
  const br_state_t *state = task->node->state;

  if (wait->request == NULL)
    return;
  evhttp_connection_set_closecb (evhttp_request_get_connection (wait->request),
                                 NULL, NULL);
  if (proposal->outcome != BR_PROPOSAL_COMMITTED)
    reply_unavailable (wait->request, proposal->error.text);
  else if (!wait->is_read)
    reply_version (wait->request, br_state_site_version (state));
  else if (br_state_site_version (state) == 0)
    reply_unavailable (wait->request, "there is no configuration yet");
  else
    br_http_reply (wait->request, HTTP_OK, "application/json",
                   br_state_site_text (state));
}

void
br_control_task_on_proposal (br_control_task_t *task,
                             const br_proposal_message_t *proposal)
{
  if (br_control_duties_on_proposal (task->duties, proposal))
    return;
  for (size_t i = 0; i < task->waits.len; i++)
    {
      br_control_wait_t wait = task->waits.items[i];

      if (wait.ticket != proposal->ticket)
        continue;
      task->waits.items[i] = task->waits.items[--task->waits.len];
      if (!wait.is_read)
        BR_LOG (&task->node->log, "site", "configuration decided",
                br_field_int ("version", (int64_t)wait.version),
                br_field_int ("outcome", proposal->outcome));
      wait_answer (task, &wait, proposal);
      return;
    }
}

static void
task_send_text (br_control_task_t *task, const br_name_t *vm, uint64_t version)
{
  const br_state_t *state = task->node->state;
  Br__Site__ConfigurationText text = BR__SITE__CONFIGURATION_TEXT__INIT;
  br_site_message_t message = BR__SITE__MESSAGE__INIT;

  if (br_state_site_version (state) < version)
    return;
  text.version = br_state_site_version (state);
  text.text.data = (uint8_t *)br_state_site_text (state).data;
  text.text.len = br_state_site_text (state).len;
  message.body_case = BR__SITE__MESSAGE__BODY_TEXT;
  message.text = &text;
  br_site_send (task->node, vm, &message);
}

/* --- beats --- */

static size_t
task_live_entries (const br_control_task_t *task, br_ms_t now)
{
  size_t n = 0;

  for (size_t i = 0; i < task->entries.len; i++)
    n += now - task->entries.items[i].heard_ms < ENTRY_LIFE_MS ? 1 : 0;
  return n;
}

static double
entry_demand (const br_control_entry_t *entry, const char *organisation)
{
  const Br__Site__EntryReport *report = entry->told->report;

  for (size_t i = 0; i < report->n_demands; i++)
    if (strcmp (report->demands[i]->organisation, organisation) == 0)
      return report->demands[i]->units_per_s;
  return 0;
}

/* The share of each quota that ENTRY may use. */
static size_t
beat_shares (const br_control_task_t *task,
             const br_control_entry_t *entry,
             Br__Site__Share *wire,
             Br__Site__Share **views)
{
  const Br__Site__EntryReport *report = entry->told->report;
  double *asked = br_alloc ((task->entries.len + 1) * sizeof *asked);
  double *parts = br_alloc ((task->entries.len + 1) * sizeof *parts);
  br_ms_t now = br_node_now (task->node);

  for (size_t i = 0; i < report->n_demands; i++)
    {
      size_t n = 0;
      size_t own = 0;

      for (size_t j = 0; j < task->entries.len; j++)
        {
          const br_control_entry_t *other = &task->entries.items[j];

          if (now - other->heard_ms >= ENTRY_LIFE_MS)
            continue;
          if (other == entry)
            own = n;
          asked[n++] = entry_demand (other, report->demands[i]->organisation);
        }
      br_quota_split (asked, n, parts);
      wire[i] = (Br__Site__Share)BR__SITE__SHARE__INIT;
      wire[i].organisation = report->demands[i]->organisation;
      wire[i].part = parts[own];
      views[i] = &wire[i];
    }
  free (asked);
  free (parts);
  return report->n_demands;
}

/* What ENTRY told last of its load at the upstreams. */
static size_t
entry_loads (const br_control_entry_t *entry, Br__Site__UpstreamLoad ***loads)
{
  if (entry->loads != NULL)
    {
      *loads = entry->loads->loads->loads;
      return entry->loads->loads->n_loads;
    }
  *loads = entry->told->report->loads;
  return entry->told->report->n_loads;
}

/* The work of all entry VMs together at each upstream. */
static size_t
beat_loads (const br_control_task_t *task,
            Br__Site__UpstreamLoad *wire,
            Br__Site__UpstreamLoad **views)
{
  br_ms_t now = br_node_now (task->node);
  size_t n = 0;

  for (size_t i = 0; i < task->listings.len; i++)
    {
      Br__Site__UpstreamLoad *load = &wire[n];

      *load = (Br__Site__UpstreamLoad)BR__SITE__UPSTREAM_LOAD__INIT;
      load->id = task->listings.items[i].id.data;
      for (size_t j = 0; j < task->entries.len; j++)
        {
          const br_control_entry_t *entry = &task->entries.items[j];
          Br__Site__UpstreamLoad **loads;
          size_t n_loads = entry_loads (entry, &loads);

          if (now - entry->heard_ms >= ENTRY_LIFE_MS)
            continue;
          for (size_t k = 0; k < n_loads; k++)
            if (strcmp (loads[k]->id, load->id) == 0)
              {
                load->in_flight += loads[k]->in_flight;
                load->prefill_tokens += loads[k]->prefill_tokens;
              }
        }
      views[n] = load;
      n += load->in_flight > 0 ? 1 : 0;
    }
  return n;
}

static void
task_beat_entry (br_control_task_t *task,
                 const br_control_entry_t *entry,
                 Br__Site__ControlBeat *beat)
{
  const Br__Site__EntryReport *report = entry->told->report;
  Br__Site__Share *wire = br_alloc ((report->n_demands + 1) * sizeof *wire);
  Br__Site__Share **views = br_alloc ((report->n_demands + 1) * sizeof *views);
  br_site_message_t message = BR__SITE__MESSAGE__INIT;
  br_site_fleet_t fleet = {
    .term = task->list_term,
    .sequence = task->list_sequence,
    .listings = &task->listings,
  };

  if (beat->leads)
    {
      beat->n_shares = beat_shares (task, entry, wire, views);
      beat->shares = views;
    }
  message.body_case = BR__SITE__MESSAGE__BODY_BEAT;
  message.beat = beat;
  br_site_send (task->node, &entry->vm, &message);
  if (beat->leads && task->list_sequence > 0
      && (report->fleet_term != task->list_term
          || report->fleet_sequence != task->list_sequence))
    br_site_send_fleet (task->node, &entry->vm, &fleet);
  free (wire);
  free (views);
}

static void
task_beat (br_control_task_t *task, br_ms_t now)
{
  size_t upstreams = task->listings.len + 1;
  Br__Site__UpstreamLoad *wire = br_alloc (upstreams * sizeof *wire);
  Br__Site__UpstreamLoad **views = br_alloc (upstreams * sizeof *views);
  Br__Site__ControlBeat beat = BR__SITE__CONTROL_BEAT__INIT;
  char *names[BR_REPLICA_MEMBERS_MAX];

  beat.n_control_vms = br_replica_task_members (task->node->replica, names);
  beat.control_vms = names;
  beat.configuration_version = br_state_site_version (task->node->state);
  beat.wall_ms = (uint64_t)br_site_clock_wall (&task->clock, now);
  beat.leads = task->leads_term > 0 && task->list_sequence > 0;
  beat.term = task->leads_term;
  if (beat.leads)
    {
      beat.fleet_sequence = task->list_sequence;
      beat.fleet_age_ms = (uint64_t)(now - task->list_ms);
      beat.entries = (uint32_t)task_live_entries (task, now);
      beat.n_loads = beat_loads (task, wire, views);
      beat.loads = views;
    }
  for (size_t i = 0; i < task->entries.len; i++)
    if (now - task->entries.items[i].heard_ms < ENTRY_LIFE_MS)
      task_beat_entry (task, &task->entries.items[i], &beat);
  free (wire);
  free (views);
  task->beat_ms = now;
}

/* What is left of the quotas. */
static size_t
tell_left (br_control_task_t *task,
           br_ms_t now,
           Br__Site__Left *wire,
           Br__Site__Left **views)
{
  size_t n = 0;

  if (task->configuration == NULL)
    return 0;
  for (size_t i = 0; i < task->configuration->organisations.len; i++)
    {
      br_site_organisation_t *organisation
          = &task->configuration->organisations.items[i];

      if (organisation->rate_per_s <= 0)
        continue;
      wire[n] = (Br__Site__Left)BR__SITE__LEFT__INIT;
      wire[n].organisation = organisation->name.data;
      wire[n].units = br_quota_pool_level (&task->pool, organisation, now);
      wire[n].asked_per_s
          = br_quota_pool_asked (&task->pool, organisation, now);
      views[n] = &wire[n];
      n++;
    }
  return n;
}

/* Tells all entry VMs the loads alone. */
static void
task_tell_loads (br_control_task_t *task, br_ms_t now)
{
  size_t upstreams = task->listings.len + 1;
  Br__Site__UpstreamLoad *wire = br_alloc (upstreams * sizeof *wire);
  Br__Site__UpstreamLoad **views = br_alloc (upstreams * sizeof *views);
  size_t organisations = task->configuration != NULL
                             ? task->configuration->organisations.len
                             : 0;
  Br__Site__Left *left = br_alloc ((organisations + 1) * sizeof *left);
  Br__Site__Left **left_views
      = br_alloc ((organisations + 1) * sizeof *left_views);
  Br__Site__Loads body = BR__SITE__LOADS__INIT;
  br_site_message_t message = BR__SITE__MESSAGE__INIT;

  body.term = task->leads_term;
  body.n_loads = beat_loads (task, wire, views);
  body.loads = views;
  body.n_left = tell_left (task, now, left, left_views);
  body.left = left_views;
  message.body_case = BR__SITE__MESSAGE__BODY_LOADS;
  message.loads = &body;
  for (size_t i = 0; i < task->entries.len; i++)
    if (now - task->entries.items[i].heard_ms < ENTRY_LIFE_MS)
      br_site_send (task->node, &task->entries.items[i].vm, &message);
  free (wire);
  free (views);
  free (left);
  free (left_views);
}

/* Control VMs tell each other the time by their own clocks. */
static void
beat_to_peer (void *context, const br_name_t *vm)
{
  br_control_task_t *task = context;
  char *names[BR_REPLICA_MEMBERS_MAX];
  Br__Site__ControlBeat beat = BR__SITE__CONTROL_BEAT__INIT;
  br_site_message_t message = BR__SITE__MESSAGE__INIT;

  beat.wall_ms = (uint64_t)br_clock_wall ();
  beat.n_control_vms = br_replica_task_members (task->node->replica, names);
  beat.control_vms = names;
  message.body_case = BR__SITE__MESSAGE__BODY_BEAT;
  message.beat = &beat;
  br_site_send (task->node, vm, &message);
}

void
br_control_read_configuration (br_control_task_t *task)
{
  const br_state_t *state = task->node->state;
  br_error_t err;

  if (task->configuration != NULL
      && task->configuration->version == br_state_site_version (state))
    return;
  br_configuration_unref (task->configuration);
  task->configuration
      = br_platform_read_configuration (br_state_site_text (state), &err);
  if (task->configuration == NULL)
    br_log_error (&task->node->log, "site", "configuration_unreadable", &err);
}

void
br_control_task_on_applied (br_control_task_t *task)
{
  uint64_t version = br_state_site_version (task->node->state);

  if (version == task->pushed_version)
    return;
  task->pushed_version = version;
  br_control_read_configuration (task);
  BR_LOG (&task->node->log, "site", "configuration in force",
          br_field_int ("version", (int64_t)version));
  task_beat (task, br_node_now (task->node));
}

/* --- the list of upstreams --- */

static bool
listing_equal (const br_listing_t *a, const br_listing_t *b)
{
  return br_name_equal (&a->id, &b->id)
         && br_name_equal (&a->service, &b->service)
         && br_name_equal (&a->address, &b->address) && a->port == b->port
         && a->draining == b->draining && a->born_ms == b->born_ms
         && a->spot == b->spot;
}

static bool
listings_equal (const br_listings_t *a, const br_listings_t *b)
{
  if (a->len != b->len)
    return false;
  for (size_t i = 0; i < a->len; i++)
    if (!listing_equal (&a->items[i], &b->items[i]))
      return false;
  return true;
}

static void
task_take_list (br_control_task_t *task, const br_listings_t *listings)
{
  br_listings_clear (&task->listings);
  for (size_t i = 0; i < listings->len; i++)
    br_listings_push (&task->listings, listings->items[i]);
}

static void
task_on_list (void *context,
              const br_listings_t *listings,
              size_t skipped,
              const br_error_t *err)
{
  br_control_task_t *task = context;
  bool changed;

  task->reading_list = false;
  if (listings == NULL)
    {
      br_log_error (&task->node->log, "site", "list_unreadable", err);
      return;
    }
  if (task->leads_term == 0)
    return;
  changed = task->list_term != task->leads_term
            || !listings_equal (&task->listings, listings);
  task->list_ms = task->asked_list_ms;
  if (!changed)
    return;
  task_take_list (task, listings);
  task->list_sequence
      = task->list_term == task->leads_term ? task->list_sequence + 1 : 1;
  task->list_term = task->leads_term;
  BR_LOG (&task->node->log, "site", "upstreams listed",
          br_field_int ("term", (int64_t)task->list_term),
          br_field_int ("sequence", (int64_t)task->list_sequence),
          br_field_int ("upstreams", (int64_t)listings->len),
          br_field_int ("skipped", (int64_t)skipped));
  task_beat (task, br_node_now (task->node));
}

/* --- entry VMs --- */

static br_control_entry_t *
task_entry (br_control_task_t *task, const br_name_t *vm)
{
  br_control_entry_t fresh = { .vm = *vm };

  for (size_t i = 0; i < task->entries.len; i++)
    if (br_name_equal (&task->entries.items[i].vm, vm))
      return &task->entries.items[i];
  return br_control_entries_push (&task->entries, fresh);
}

static void
task_count_usage (br_control_task_t *task,
                  const br_peer_message_t *from,
                  const Br__Site__EntryReport *report)
{
  br_ledger_entry_t *row
      = br_usage_ledger_row (&task->ledger, &from->vm, from->incarnation);

  row->heard_ms = br_node_now (task->node);
  row->site_wall_ms = (br_ms_t)report->site_wall_ms;
  for (size_t i = 0; i < report->n_windows; i++)
    {
      const Br__Site__Window *window = report->windows[i];

      br_usage_clear (&row->usage, window->number);
      for (size_t j = 0; j < window->n_counts; j++)
        br_usage_add (&row->usage, window->number,
                      br_str_from (window->counts[j]->organisation),
                      (int64_t)window->counts[j]->requests);
    }
}

static void
entry_forget (br_control_entry_t *entry)
{
  if (entry->told != NULL)
    br__site__message__free_unpacked (entry->told, NULL);
  if (entry->loads != NULL)
    br__site__message__free_unpacked (entry->loads, NULL);
  entry->told = NULL;
  entry->loads = NULL;
}

static void
task_hear_used (br_control_task_t *task,
                const br_peer_message_t *from,
                const Br__Site__Loads *loads)
{
  br_ms_t now = br_node_now (task->node);

  for (size_t i = 0; task->configuration != NULL && i < loads->n_used; i++)
    {
      const Br__Site__Used *used = loads->used[i];
      br_pool_report_t report = {
        .vm = &from->vm,
        .incarnation = from->incarnation,
        .units = used->units,
        .asked = used->asked,
      };
      const br_site_organisation_t *organisation
          = br_configuration_organisation (task->configuration,
                                           br_str_from (used->organisation));

      if (organisation != NULL)
        br_quota_pool_hear (&task->pool, organisation, &report, now);
    }
}

/* Takes MESSAGE over. */
static void
task_on_loads (br_control_task_t *task,
               const br_peer_message_t *from,
               br_site_message_t *message)
{
  for (size_t i = 0; i < task->entries.len; i++)
    {
      br_control_entry_t *entry = &task->entries.items[i];

      if (!br_name_equal (&entry->vm, &from->vm))
        continue;
      if (entry->loads != NULL)
        br__site__message__free_unpacked (entry->loads, NULL);
      entry->loads = message;
      task_hear_used (task, from, message->loads);
      return;
    }
  br__site__message__free_unpacked (message, NULL);
}

/* Takes MESSAGE over. */
static void
task_on_report (br_control_task_t *task,
                const br_peer_message_t *from,
                br_site_message_t *message)
{
  br_control_entry_t *entry = task_entry (task, &from->vm);
  br_ms_t now = br_node_now (task->node);
  bool is_new = entry->told == NULL || entry->incarnation != from->incarnation;

  entry_forget (entry);
  entry->told = message;
  entry->incarnation = from->incarnation;
  entry->heard_ms = now;
  br_site_clock_hear (&task->clock, &from->vm,
                      (br_ms_t)message->report->wall_ms, now);
  task_count_usage (task, from, message->report);
  if (is_new)
    {
      BR_LOG (&task->node->log, "site", "entry VM heard",
              br_field_z ("peer", from->vm.data),
              br_field_int ("of_incarnation", (int64_t)from->incarnation));
      task_beat (task, now);
    }
}

void
br_control_task_on_message (br_control_task_t *task,
                            const br_peer_message_t *from)
{
  br_site_message_t *message
      = br_site_receive (task->node, &from->vm, br_buf_str (&from->payload));

  if (message == NULL)
    return;
  switch (message->body_case)
    {
    case BR__SITE__MESSAGE__BODY_REPORT:
      task_on_report (task, from, message);
      return;
    case BR__SITE__MESSAGE__BODY_LOADS:
      task_on_loads (task, from, message);
      return;
    case BR__SITE__MESSAGE__BODY_ASK:
      task_send_text (task, &from->vm, message->ask->version);
      break;
    case BR__SITE__MESSAGE__BODY_BEAT:
      br_site_clock_hear (&task->clock, &from->vm,
                          (br_ms_t)message->beat->wall_ms,
                          br_node_now (task->node));
      br_replica_task_add_members (task->node->replica,
                                   message->beat->control_vms,
                                   message->beat->n_control_vms);
      break;
    default:
      break;
    }
  br__site__message__free_unpacked (message, NULL);
}

void
br_control_task_on_link (br_control_task_t *task, const br_name_t *vm)
{
  BR_LOG (&task->node->log, "site", "control VM reached",
          br_field_z ("peer", vm->data));
  beat_to_peer (task, vm);
}

/* --- time --- */

static void
task_follow_role (br_control_task_t *task, br_ms_t now)
{
  uint64_t term = br_replica_task_is_leader (task->node->replica)
                      ? br_replica_task_term (task->node->replica)
                      : 0;

  if (term == task->leads_term)
    return;
  task->leads_term = term;
  task->leads_ms = now;
  br_quota_pool_release (&task->pool);
  task->pool = (br_quota_pool_t){ 0 };
  BR_LOG (&task->node->log, "site", term > 0 ? "leads" : "leads no more",
          br_field_int ("term", (int64_t)term));
}

static void
task_on_tick (evutil_socket_t fd, short what, void *context)
{
  br_control_task_t *task = context;
  br_ms_t now = br_node_now (task->node);

  (void)fd;
  (void)what;
  task_follow_role (task, now);
  br_control_task_on_applied (task);
  if (task->leads_term > 0 && !task->reading_list
      && now - task->asked_list_ms >= READ_LIST_MS
      && br_state_site_version (task->node->state) > 0)
    {
      task->asked_list_ms = now;
      task->reading_list = true;
      br_cloud_read_list (task->cloud, task_on_list, task);
    }
  if (now - task->beat_ms >= BEAT_MS)
    {
      br_name_t self = task->node->settings.vm;

      br_site_clock_hear (&task->clock, &self, br_clock_wall (), now);
      br_site_clock_settle (&task->clock, now);
      br_usage_ledger_trim (&task->ledger, now - LEDGER_LIFE_MS);
      task_beat (task, now);
      br_peer_task_each (task->node->peers, beat_to_peer, task);
    }
  else if (task->leads_term > 0)
    task_tell_loads (task, now);
  if (task->leads_term > 0)
    br_control_duties_tick (task->duties, now);
}

br_control_task_t *
br_control_task_new (br_node_t *node)
{
  br_control_task_t *task = br_alloc_zero (sizeof *task);
  struct timeval period = { 0, TICK_MS * 1000 };

  task->node = node;
  task->cloud = br_cloud_new (node->base, &node->settings.platform);
  task->duties = br_control_duties_new (task);
  task->timer = event_new (node->base, -1, EV_PERSIST, task_on_tick, task);
  event_add (task->timer, &period);
  return task;
}

void
br_control_task_free (br_control_task_t *task)
{
  if (task == NULL)
    return;
  for (size_t i = 0; i < task->entries.len; i++)
    entry_forget (&task->entries.items[i]);
  br_control_entries_free (&task->entries);
  br_control_waits_free (&task->waits);
  br_control_duties_free (task->duties);
  br_cloud_free (task->cloud);
  br_listings_free (&task->listings);
  br_usage_ledger_release (&task->ledger);
  br_quota_pool_release (&task->pool);
  br_configuration_unref (task->configuration);
  br_site_clock_release (&task->clock);
  event_free (task->timer);
  free (task);
}

void
br_control_task_print_metrics (const br_control_task_t *task, br_buf_t *out)
{
  br_ms_t now = br_node_now (task->node);

  br_buf_printf (out, "briarrack_configuration_version %" PRIu64 "\n",
                 br_state_site_version (task->node->state));
  br_buf_printf (out, "briarrack_entry_vms %zu\n",
                 task_live_entries (task, now));
  br_buf_printf (out, "briarrack_leads %d\n", task->leads_term > 0);
  br_buf_printf (out, "briarrack_upstreams_listed %zu\n", task->listings.len);
  br_buf_printf (out, "briarrack_list_age_ms %" PRId64 "\n",
                 now - task->list_ms);
}
