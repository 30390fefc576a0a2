#include "shell/replica_watch.h"

#include <inttypes.h>

#include "shell/peer_task.h"

/* A voter that answers nothing for this long is reported as silent. */
#define SILENT_MS 1000

/* A turn of the event loop that took longer is logged. */
#define LATE_TURN_MS 200

/* Time between two lines that repeat why this VM has no part in the log. */
#define REPEAT_MS 5000

void
br_replica_watch_release (br_replica_watch_t *watch)
{
  br_replica_followers_free (&watch->silent);
}

/* What a watch looks at. */
typedef struct
{
  const br_replica_t *replica;
  size_t reached; /* VMs to which a dialled link is up */
  br_ms_t now;
} view_t;

static void
count_link (void *context, const br_name_t *vm)
{
  size_t *n = context;

  (void)vm;
  (*n)++;
}

static view_t
view_make (const br_node_t *node, const br_replica_t *replica)
{
  view_t view = { .replica = replica, .now = br_node_now (node) };

  if (node->peers != NULL)
    br_peer_task_each (node->peers, count_link, &view.reached);
  return view;
}

static bool
view_takes_part (const view_t *view)
{
  return br_replica_standing (view->replica) == BR_STANDING_VOTER;
}

static void
watch_own_part (br_replica_watch_t *watch, const view_t *view, br_log_t *log)
{
  br_replica_standing_t standing = br_replica_standing (view->replica);

  if (view_takes_part (view))
    {
      if (watch->outside_since_ms > 0)
        BR_LOG (log, "replica", "takes part in the log",
                br_field_int ("after_ms", view->now - watch->outside_since_ms));
      watch->outside_since_ms = 0;
      watch->standing = standing;
      return;
    }
  if (watch->outside_since_ms == 0)
    watch->outside_since_ms = view->now;
  if (standing == watch->standing && view->now - watch->logged_ms < REPEAT_MS)
    return;
  watch->standing = standing;
  watch->logged_ms = view->now;
  BR_LOG (log, "replica",
          br_replica_is_voter (view->replica) ? "has no leader" : "has no vote",
          br_field_z ("why", br_replica_standing_text (standing)),
          br_field_int ("for_ms", view->now - watch->outside_since_ms),
          br_field_int ("reached", (int64_t)view->reached),
          br_field_str ("leader",
                        br_name_str (br_replica_named_leader (view->replica))));
}

static bool
followers_hold (const br_replica_followers_t *followers, const br_name_t *vm)
{
  for (size_t i = 0; i < followers->len; i++)
    if (br_name_equal (&followers->items[i].vm, vm))
      return true;
  return false;
}

/* Fills SILENT with the voters that do not answer this VM, if it leads. */
static void
view_silent (const view_t *view, br_replica_followers_t *silent)
{
  const br_config_t *config
      = br_replica_log_config (br_replica_log (view->replica));
  br_replica_follower_t follower;

  if (br_replica_role (view->replica) != BR_ROLE_LEADER)
    return;
  for (size_t i = 0; i < config->members.len; i++)
    if (br_replica_follower (view->replica, &config->members.items[i],
                             &follower)
        && follower.voter && view->now - follower.last_seen_ms > SILENT_MS)
      br_replica_followers_push (silent, follower);
}

static void
watch_others (br_replica_watch_t *watch, const view_t *view, br_log_t *log)
{
  const br_config_t *config
      = br_replica_log_config (br_replica_log (view->replica));
  br_replica_followers_t silent = { 0 };

  view_silent (view, &silent);
  for (size_t i = 0; i < silent.len; i++)
    if (!followers_hold (&watch->silent, &silent.items[i].vm))
      BR_LOG (
          log, "replica", "voter is silent",
          br_field_z ("peer", silent.items[i].vm.data),
          br_field_int ("for_ms", view->now - silent.items[i].last_seen_ms));
  for (size_t i = 0; i < watch->silent.len; i++)
    if (!followers_hold (&silent, &watch->silent.items[i].vm)
        && br_config_find (config, &watch->silent.items[i].vm) != NULL)
      BR_LOG (log, "replica", "voter is no longer silent",
              br_field_z ("peer", watch->silent.items[i].vm.data));
  br_replica_followers_free (&watch->silent);
  watch->silent = silent;
}

/* Logs a tick that came late.  Little processor time means that the process
 * had to wait for a processor. */
static void
watch_turn (br_replica_watch_t *watch, br_ms_t now, br_log_t *log)
{
  br_ms_t cpu_ms = br_clock_cpu ();
  br_ms_t took_ms = now - watch->turn_ms;

  if (watch->turn_ms > 0)
    watch->turn_max_ms = BR_MAX (watch->turn_max_ms, took_ms);
  if (watch->turn_ms > 0 && took_ms > LATE_TURN_MS)
    BR_LOG (log, "replica", "late turn", br_field_int ("took_ms", took_ms),
            br_field_int ("cpu_ms", cpu_ms - watch->turn_cpu_ms));
  watch->turn_ms = now;
  watch->turn_cpu_ms = cpu_ms;
}

void
br_replica_watch_tick (br_replica_watch_t *watch,
                       br_node_t *node,
                       const br_replica_t *replica)
{
  view_t view = view_make (node, replica);

  watch_turn (watch, view.now, &node->log);
  if (!node->settings.voter)
    return;
  watch_own_part (watch, &view, &node->log);
  watch_others (watch, &view, &node->log);
}

void
br_replica_watch_config (const br_replica_t *replica,
                         uint64_t index,
                         br_log_t *log)
{
  const br_config_t *config = br_replica_log_config (br_replica_log (replica));
  br_buf_t voters = { 0 };

  for (size_t i = 0; i < config->members.len; i++)
    if (config->members.items[i].voter)
      br_buf_printf (&voters, "%s%s", voters.len > 0 ? "," : "",
                     config->members.items[i].vm.data);
  BR_LOG (log, "replica", "members changed",
          br_field_int ("index", (int64_t)index),
          br_field_str ("voters", br_buf_str (&voters)));
  br_buf_free (&voters);
}

void
br_replica_watch_print_metrics (const br_replica_watch_t *watch,
                                const br_node_t *node,
                                const br_replica_t *replica,
                                br_buf_t *out)
{
  view_t view = view_make (node, replica);
  const br_config_t *config = br_replica_log_config (br_replica_log (replica));

  br_buf_printf (out, "briarrack_log_voters %zu\n", br_config_voters (config));
  br_buf_printf (out, "briarrack_log_voters_silent %zu\n", watch->silent.len);
  br_buf_printf (out, "briarrack_log_turn_max_ms %" PRId64 "\n",
                 watch->turn_max_ms);
  br_buf_printf (out, "briarrack_log_has_vote %d\n", view_takes_part (&view));
  br_buf_printf (
      out, "briarrack_log_without_vote_ms %" PRId64 "\n",
      watch->outside_since_ms > 0 ? view.now - watch->outside_since_ms : 0);
}
