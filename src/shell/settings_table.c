#include "shell/settings_table.h"

#include <inttypes.h>
#include <stddef.h>
#include <string.h>

/* X (kind, path, field, required, minimum, maximum, default, help).  The three
 * numbers are 0 for kinds other than INT and REAL. */
#define SETTING_TABLE(X)                                                       \
  X (NAME, "vm.name", vm, true, 0, 0, 0, "name of this VM")                    \
  X (NAME, "vm.log_name", log_name, false, 0, 0, 0,                            \
     "name of this VM in its log; its name if left out")                       \
  X (NAME, "vm.failure_domain", failure_domain, true, 0, 0, 0,                 \
     "failure domain of this VM")                                              \
  X (NAME, "vm.region", region, false, 0, 0, 0, "region of this VM")           \
  X (BOOL, "vm.voter", voter, false, 0, 0, 0,                                  \
     "whether this VM votes on the replicated state; needs data.folder")       \
  X (ADDRESS, "callers.address", callers.address, true, 0, 0, 0,               \
     "IP address for callers")                                                 \
  X (INT, "callers.port", callers.port, true, 1, 65535, 0, "port for callers") \
  X (INT, "callers.body_max_bytes", body_max_bytes, false, 1024, 67108864,     \
     4194304, "longest request body")                                          \
  X (INT, "callers.header_max_bytes", header_max_bytes, false, 1024, 1048576,  \
     16384, "longest request head")                                            \
  X (INT, "callers.request_ms", request_ms, false, 100, 600000, 3000,          \
     "time for the head of a request to come")                                 \
  X (INT, "callers.idle_ms", idle_ms, false, 100, 3600000, 15000,              \
     "time that a connection is kept without a request")                       \
  X (INT, "callers.requests_max", requests_max, false, 1, 100000, 12000,       \
     "requests in progress at once")                                           \
  X (INT, "callers.reader_backlog_max_bytes", reader_backlog_max_bytes, false, \
     4096, 67108864, 1048576, "answer bytes held for a slow reader")           \
  X (INT, "callers.held_bytes_max", held_bytes_max, false, 0, 1099511627776,   \
     0,                                                                        \
     "bytes held for callers not yet served, over all ports; 0: three tenths " \
     "of the memory")                                                          \
  X (INT, "callers.body_rate_min_bytes", body_rate_min_bytes, false, 1,        \
     1073741824, 65536, "bytes a second at which a request body must come")    \
  X (INT, "callers.body_grace_ms", body_grace_ms, false, 0, 600000, 3000,      \
     "time before a body must come at that rate")                              \
  X (INT, "callers.connections_max", connections_max, false, 0, 1000000, 0,    \
     "connections of one port; 0: half of the limit on descriptors")           \
  X (INT, "callers.silent_connections_max", silent_connections_max, false, 0,  \
     1000000, 0,                                                               \
     "connections of one port that have sent nothing; 0: a quarter of the "    \
     "limit on descriptors")                                                   \
  X (ADDRESS, "operators.address", operators.address, true, 0, 0, 0,           \
     "IP address for operators")                                               \
  X (INT, "operators.port", operators.port, true, 1, 65535, 0,                 \
     "port for operators")                                                     \
  X (DIGEST, "operators.key_digest", operator_key_digest, false, 0, 0, 0,      \
     "sha256:HEX of the operators' key")                                       \
  X (ADDRESS, "metrics.address", metrics.address, false, 0, 0, 0,              \
     "IP address for the metrics, at a site that the platform runs")           \
  X (INT, "metrics.port", metrics.port, false, 1, 65535, 0,                    \
     "port for the metrics")                                                   \
  X (ADDRESS, "peers.address", peers.address, false, 0, 0, 0,                  \
     "IP address for other entry VMs")                                         \
  X (INT, "peers.port", peers.port, false, 1, 65535, 0,                        \
     "port for other entry VMs")                                               \
  X (INT, "peers.relay_port", relay_port, false, 1, 65535, 0,                  \
     "port, on all entry VMs, for requests that others cannot serve")          \
  X (INT, "peers.greeting_connections_max", greeting_connections_max, false,   \
     0, 1000000, 0,                                                            \
     "accepted links without a valid greeting; 0: half of the limit on "       \
     "descriptors")                                                            \
  X (STRING, "peers.shared_key", shared_key, false, 0, 0, 0,                   \
     "key that all entry VMs share")                                           \
  X (ADDRESS, "platform.address", platform.address, false, 0, 0, 0,            \
     "IP address of the cloud API and VM list")                                \
  X (INT, "platform.port", platform.port, false, 1, 65535, 0,                  \
     "port of the cloud API and VM list")                                      \
  X (INT, "platform.poll_ms", platform_poll_ms, false, 100, 60000, 1000,       \
     "time between two readings of the VM list")                               \
  X (STRING, "data.folder", data_folder, false, 0, 0, 0,                       \
     "folder for the state that must survive")                                 \
  X (INT, "upstream.connect_ms", connect_ms, false, 10, 60000, 1000,           \
     "bound on connecting to an upstream")                                     \
  X (INT, "upstream.first_token_ms", first_token_ms, false, 10, 600000, 10000, \
     "bound on the first byte of an answer")                                   \
  X (INT, "upstream.token_gap_ms", token_gap_ms, false, 10, 600000, 2000,      \
     "bound on the time between two parts of an answer")                       \
  X (INT, "drain.notice_ms", drain_notice_ms, false, 0, 600000, 1000,          \
     "time for the balancer to see that this VM takes no new work")            \
  X (INT, "drain.grace_ms", drain_grace_ms, false, 0, 86400000, 0,             \
     "time for work in progress before it is handed over; 0: no limit")        \
  X (BOOL, "peers.open", open_peers, false, 0, 0, 0,                           \
     "whether VMs that peers.vms does not name may join by the shared key")    \
  X (ROLE, "site.role", site.role, false, 0, 0, 0,                             \
     "what this process does at a site that the platform runs")                \
  X (STRING, "site.control_vms", site.control_vms, false, 0, 0, 0,             \
     "ADDRESS:PORT of control VMs to begin with, joined by commas")            \
  X (BOOL, "site.founding", site.founding, false, 0, 0, 0,                     \
     "whether site.control_vms are the first voters of a new site")            \
  X (STRING, "site.duties", site.duties, false, 0, 0, 0,                       \
     "calls to the platform that this site makes, joined by commas")           \
  X (REAL, "site.usage_window_s", site.usage_window_s, false, 0, 86400, 60,    \
     "length of an accounting window")                                         \
  X (REAL, "site.usage_late_s", site.usage_late_s, false, 0, 86400, 60,        \
     "time after a window's end in which its counts are due")                  \
  X (REAL, "site.grace_s", site.grace_s, false, 0, 86400, 8,                   \
     "time from the wish to stop to the end by force")                         \
  X (REAL, "site.retry_ratio", site.retry_ratio, false, 0, 10, 0,              \
     "repeats allowed for each request to a service")                          \
  X (REAL, "site.retry_window_s", site.retry_window_s, false, 0, 3600, 10,     \
     "time over which repeats are counted")                                    \
  X (REAL, "site.retry_slack", site.retry_slack, false, 0, 1000000, 20,        \
     "repeats allowed beside that, over all entry VMs")                        \
  X (REAL, "site.lease_ms", site.lease_ms, false, 100, 600000, 3000,           \
     "least time between calls of two holders of a duty")                      \
  X (INT, "site.disk_losses", site.disk_losses, false, 0, 3, 1,                \
     "control VMs whose disks may be lost at once")                            \
  X (REAL, "site.rollout_share", site.rollout_share, false, 0, 1, 0,           \
     "share of a service's requests that a bad version may get; 0: no "        \
     "rollouts")                                                               \
  X (REAL, "site.rollout_slack", site.rollout_slack, false, 0, 1000000, 0,     \
     "requests that a bad version may get beside that, over all entry VMs")    \
  X (REAL, "site.rollback_ms", site.rollback_ms, false, 0, 600000, 0,          \
     "longest time from the 50th bad answer of a version to its end")          \
  X (REAL, "site.hedge_share", site.hedge_share, false, 0, 0.2, 0,             \
     "share of a service's requests of which a slow one is also sent to a "    \
     "second upstream; 0: none")                                               \
  X (INT, "contract.checkpoint_tokens", checkpoint_tokens, false, 0, 65536, 8, \
     "tokens generated before they go to the backup partner; 0: never")        \
  X (INT, "contract.checkpoint_ms", checkpoint_ms, false, 1, 60000, 100,       \
     "longest wait of a token before it goes to the backup partner")

#define X(kind, path, field, required, minimum, maximum, fallback, help)       \
  { BR_SETTING_##kind, path,    offsetof (br_settings_t, field),               \
    required,          minimum, maximum,                                       \
    fallback,          help },
static const br_setting_row_t setting_rows[] = { SETTING_TABLE (X) };
#undef X

#define ROW(kind, path, type, field, required, minimum, maximum, help)         \
  {                                                                            \
    BR_SETTING_##kind, path, offsetof (type, field), required, minimum,        \
        maximum, 0, help                                                       \
  }

static const br_setting_row_t peer_rows[] = {
  ROW (NAME,
       "peers.vms[].name",
       br_peer_settings_t,
       name,
       true,
       0,
       0,
       "name of the other VM"),
  ROW (NAME,
       "peers.vms[].failure_domain",
       br_peer_settings_t,
       failure_domain,
       true,
       0,
       0,
       "its failure domain"),
  ROW (ADDRESS,
       "peers.vms[].address",
       br_peer_settings_t,
       endpoint.address,
       true,
       0,
       0,
       "its IP address"),
  ROW (INT,
       "peers.vms[].port",
       br_peer_settings_t,
       endpoint.port,
       true,
       1,
       65535,
       "its port for entry VMs"),
  ROW (BOOL,
       "peers.vms[].voter",
       br_peer_settings_t,
       voter,
       false,
       0,
       0,
       "whether it votes"),
};

static const br_setting_row_t upstream_rows[] = {
  ROW (NAME,
       "upstreams[].name",
       br_upstream_settings_t,
       name,
       true,
       0,
       0,
       "name of the upstream"),
  ROW (NAME,
       "upstreams[].failure_domain",
       br_upstream_settings_t,
       failure_domain,
       true,
       0,
       0,
       "its failure domain"),
  ROW (ADDRESS,
       "upstreams[].address",
       br_upstream_settings_t,
       endpoint.address,
       true,
       0,
       0,
       "its IP address"),
  ROW (INT,
       "upstreams[].port",
       br_upstream_settings_t,
       endpoint.port,
       true,
       1,
       65535,
       "its port"),
};

const br_setting_rows_t br_setting_rows
    = { setting_rows, BR_N_ELEMENTS (setting_rows) };
const br_setting_rows_t br_setting_peer_rows
    = { peer_rows, BR_N_ELEMENTS (peer_rows) };
const br_setting_rows_t br_setting_upstream_rows
    = { upstream_rows, BR_N_ELEMENTS (upstream_rows) };

const char *
br_setting_kind_text (br_setting_kind_t kind)
{
  switch (kind)
    {
    case BR_SETTING_NAME:
      return "a name of 1 to 62 characters";
    case BR_SETTING_STRING:
      return "a string";
    case BR_SETTING_ADDRESS:
      return "an IP address by number, or with :PORT behind it";
    case BR_SETTING_DIGEST:
      return "sha256: and 64 hexadecimal digits";
    case BR_SETTING_INT:
      return "a whole number";
    case BR_SETTING_REAL:
      return "a number";
    case BR_SETTING_BOOL:
      return "true or false";
    case BR_SETTING_ROLE:
      return "entry or control";
    }
  return "";
}

const br_setting_row_t *
br_setting_find (const br_setting_rows_t *rows, const char *path)
{
  for (size_t i = 0; i < rows->len; i++)
    if (strcmp (rows->items[i].path, path) == 0)
      return &rows->items[i];
  return NULL;
}

static void
rows_describe (const br_setting_rows_t *rows, br_buf_t *out)
{
  for (size_t i = 0; i < rows->len; i++)
    {
      const br_setting_row_t *row = &rows->items[i];
      bool is_number
          = row->kind == BR_SETTING_INT || row->kind == BR_SETTING_REAL;

      br_buf_printf (out, "%-34s %s; %s", row->path, row->help,
                     br_setting_kind_text (row->kind));
      if (is_number)
        br_buf_printf (out, " %" PRId64 " to %.15g", row->minimum,
                       row->maximum);
      if (row->required)
        br_buf_printf (out, "; required");
      else if (is_number && row->default_value != 0)
        br_buf_printf (out, "; default %" PRId64, row->default_value);
      br_buf_append_char (out, '\n');
    }
}

void
br_settings_describe (br_buf_t *out)
{
  rows_describe (&br_setting_rows, out);
  rows_describe (&br_setting_peer_rows, out);
  rows_describe (&br_setting_upstream_rows, out);
  br_buf_printf (out, "%-34s %s\n", BR_SETTING_LABEL_PREFIX "KEY",
                 "label KEY of the upstream; a string");
}
