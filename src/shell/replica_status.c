#include "shell/replica_status.h"

#include <inttypes.h>

/* Maximum number of followers that are printed. */
#define FOLLOWERS_MAX 64

static void
status_members (const br_replica_t *replica, br_buf_t *out)
{
  const br_config_t *config = br_replica_log_config (br_replica_log (replica));

  for (size_t i = 0; i < config->members.len; i++)
    {
      const br_config_member_t *member = &config->members.items[i];

      br_buf_printf (
          out, "%s{\"vm\":\"%s\",\"disk\":\"%016" PRIx64 "\",\"voter\":%s}",
          i > 0 ? "," : "", member->vm.data, member->disk,
          member->voter ? "true" : "false");
    }
}

static void
status_followers (const br_replica_t *replica, br_buf_t *out)
{
  br_replica_follower_t followers[FOLLOWERS_MAX];
  size_t n = 0;

  if (br_replica_role (replica) == BR_ROLE_LEADER)
    n = br_replica_followers (replica, followers, FOLLOWERS_MAX);
  for (size_t i = 0; i < n; i++)
    br_buf_printf (out,
                   "%s{\"vm\":\"%s\",\"voter\":%s,\"matched\":%" PRIu64 "}",
                   i > 0 ? "," : "", followers[i].vm.data,
                   followers[i].voter ? "true" : "false", followers[i].matched);
}

void
br_replica_status_print (const br_replica_status_t *status, br_buf_t *out)
{
  const br_replica_t *replica = status->replica;

  br_buf_printf (
      out,
      "{\"role\":\"%s\",\"term\":%" PRIu64
      ",\"leader\":\"%s\",\"commit\":%" PRIu64 ",\"applied\":%" PRIu64
      ",\"snapshot\":%" PRIu64 ",\"disk\":\"%016" PRIx64
      "\",\"has_room\":%s,\"members\":[",
      status->failed ? "failed"
                     : br_replica_role_name (br_replica_role (replica)),
      br_replica_term (replica), br_replica_leader (replica)->data,
      br_replica_commit_index (replica), br_replica_applied_index (replica),
      br_replica_snapshot (replica)->index, status->disk,
      status->has_space ? "true" : "false");
  status_members (replica, out);
  br_buf_printf (out, "],\"followers\":[");
  status_followers (replica, out);
  br_buf_printf (out, "]}");
}
