#include "shell/replica_outcome.h"

/* A write that took longer is logged. */
#define SLOW_WRITE_MS 150

#define HEARTBEAT_MS 150
#define ELECTION_MIN_MS 600
#define ELECTION_MAX_MS 1200

/* At a site that the platform runs, all voters are a few milliseconds apart,
 * and callers wait for the new leader after a power loss.  Shorter times end
 * that wait sooner. */
#define SITE_HEARTBEAT_MS 80
#define SITE_ELECTION_MIN_MS 320
#define SITE_ELECTION_MAX_MS 640

/* A proposal for which there is no leader is refused after PROPOSAL_WAIT_MS.  A
 * proposal that was sent to a leader gets an unknown outcome after
 * PROPOSAL_MAX_MS. */
#define PROPOSAL_WAIT_MS 900
#define PROPOSAL_MAX_MS 3000

/* A voter that has been unreachable for this long loses its vote, because it
 * would count against every majority.  The time is longer than a restart, and
 * shorter than the time after which the next loss may come. */
#define REMOVE_UNREACHABLE_MS 3000

/* The same when another VM has caught up and waits for its place. */
#define REPLACE_SILENT_MS 1000

/* Fewest voters that stay when unreachable ones are removed. */
#define VOTERS_MIN 3

#define APPEND_MAX_BYTES (256 * 1024)
#define SNAPSHOT_CHUNK_BYTES (256 * 1024)

size_t
br_replica_voters_min (const br_settings_t *settings)
{
  size_t min = 2 * (size_t)settings->site.disk_losses + 1;

  return BR_MIN (BR_MAX (min, (size_t)VOTERS_MIN), (size_t)BR_VOTERS_MAX - 1);
}

void
br_replica_options_fill (br_node_t *node,
                         uint64_t disk,
                         br_replica_options_t *options)
{
  const br_settings_t *settings = &node->settings;

  *options = (br_replica_options_t){
    .vm = settings->vm,
    .disk = disk,
    .incarnation = node->incarnation,
    .voter = settings->voter || settings->vms.len == 0,
    .joins = settings->joins,
    .remove_unreachable_ms = settings->open_peers ? REMOVE_UNREACHABLE_MS : 0,
    .replace_silent_ms = settings->open_peers ? REPLACE_SILENT_MS : 0,
    .voters_min = br_replica_voters_min (settings),
    .heartbeat_ms = settings->open_peers ? SITE_HEARTBEAT_MS : HEARTBEAT_MS,
    .election_min_ms
    = settings->open_peers ? SITE_ELECTION_MIN_MS : ELECTION_MIN_MS,
    .election_max_ms
    = settings->open_peers ? SITE_ELECTION_MAX_MS : ELECTION_MAX_MS,
    .proposal_wait_ms = PROPOSAL_WAIT_MS,
    .proposal_max_ms = PROPOSAL_MAX_MS,
    .append_max_bytes = APPEND_MAX_BYTES,
    .snapshot_chunk_bytes = SNAPSHOT_CHUNK_BYTES,
    .lease_is_used = settings->open_peers,
    .seed = br_random_below (&node->random, UINT32_MAX),
  };
  for (size_t i = 0; i < settings->vms.len; i++)
    br_replica_peers_push (&options->peers,
                           (br_replica_peer_t){ settings->vms.items[i].name,
                                                settings->vms.items[i].voter });
}

static void
outcome_post (br_node_t *node, br_proposal_message_t proposal)
{
  br_node_message_t message = { .kind = BR_NODE_PROPOSAL };

  message.proposal = proposal;
  br_node_post (node, message);
}

void
br_replica_post_refusal (br_node_t *node,
                         const br_name_t *leader,
                         uint64_t ticket,
                         br_error_code_t code,
                         const char *why)
{
  br_proposal_message_t proposal
      = { .ticket = ticket, .outcome = BR_PROPOSAL_REFUSED };

  br_error_set (&proposal.error, code, "propose", leader->data, "%s", why);
  if (code != BR_ERROR_TOO_LARGE)
    proposal.error.retry_after_ms = ELECTION_MAX_MS;
  outcome_post (node, proposal);
}

void
br_replica_post_outcome (br_node_t *node,
                         const br_name_t *leader,
                         const br_replica_event_t *event,
                         br_buf_t *result)
{
  br_proposal_message_t proposal = { .ticket = event->ticket };

  switch (event->outcome)
    {
    case BR_OUTCOME_COMMITTED:
      proposal.outcome = BR_PROPOSAL_COMMITTED;
      if (result != NULL)
        {
          proposal.result = *result;
          *result = (br_buf_t){ 0 };
        }
      outcome_post (node, proposal);
      break;
    case BR_OUTCOME_REFUSED:
      if (event->no_space)
        br_replica_post_refusal (node, leader, event->ticket, BR_ERROR_STORAGE,
                                 "the leader's disk has no space left");
      else
        br_replica_post_refusal (
            node, leader, event->ticket, BR_ERROR_UNAVAILABLE,
            "no leader with a majority of the voters accepted the proposal");
      break;
    case BR_OUTCOME_UNKNOWN:
      proposal.outcome = BR_PROPOSAL_UNKNOWN;
      br_error_set (&proposal.error, BR_ERROR_UNKNOWN_OUTCOME, "commit",
                    leader->data,
                    "the proposal was sent to the leader, and it is not known "
                    "whether it was committed");
      outcome_post (node, proposal);
      break;
    }
}

void
br_replica_log_role (br_log_t *log, const br_replica_t *replica)
{
  BR_LOG (log, "replica", "role",
          br_field_z ("role", br_replica_role_name (br_replica_role (replica))),
          br_field_int ("term", (int64_t)br_replica_term (replica)),
          br_field_str ("leader", br_name_str (br_replica_leader (replica))));
}

void
br_replica_log_quorum_lost (br_log_t *log, const br_replica_event_t *event)
{
  BR_LOG (log, "replica", "quorum lost",
          br_field_int ("silent_ms", event->silent_ms),
          br_field_int ("answered_ms_ago", event->answered_ms),
          br_field_int ("pause_ms", event->pause_ms),
          br_field_int ("resumed_ms_ago", event->resumed_ms));
}

void
br_replica_log_write (br_log_t *log, br_ms_t took_ms)
{
  if (took_ms >= SLOW_WRITE_MS)
    BR_LOG (log, "replica", "slow write", br_field_int ("took_ms", took_ms));
}
