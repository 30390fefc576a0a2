/* Reads and checks the settings of a `serve` process, a JSON file with
 * comments, and reports all its faults at once. */
#ifndef BR_SHELL_SETTINGS_H
#define BR_SHELL_SETTINGS_H

#include <sys/socket.h>

#include "base/clock.h"
#include "base/digest.h"
#include "base/error.h"
#include "base/label.h"
#include "base/str.h"

BR_BEGIN_DECLS

#define BR_ADDRESS_MAX 46

typedef struct
{
  char address[BR_ADDRESS_MAX];
  int64_t port;
} br_endpoint_t;

/* Turns ENDPOINT into a socket address.  Returns false when it is not valid. */
bool br_endpoint_to_sockaddr (const br_endpoint_t *endpoint,
                              struct sockaddr_storage *address,
                              int *len);

/* Another VM that the settings name. */
typedef struct
{
  br_name_t name;
  br_name_t failure_domain;
  br_endpoint_t endpoint;
  bool voter;
} br_peer_settings_t;

/* An upstream that the settings name, in addition to those of the VM list. */
typedef struct
{
  br_name_t name;
  br_name_t failure_domain;
  br_endpoint_t endpoint;
  br_labels_t labels; /* owned */
} br_upstream_settings_t;

BR_VEC (br_peer_settings_list, br_peer_settings_t);
BR_VEC (br_upstream_settings_list, br_upstream_settings_t);

/* Role of a process at a site that the platform runs. */
typedef enum
{
  BR_SITE_NONE,    /* no such site: the settings name every VM */
  BR_SITE_ENTRY,   /* takes requests from callers */
  BR_SITE_CONTROL, /* holds the replicated state */
} br_site_role_t;

/* The "site" settings, for a site that the platform runs. */
typedef struct
{
  br_site_role_t role;
  br_buf_t control_vms; /* "ADDRESS:PORT,...": initial control VMs */
  bool founding;        /* CONTROL_VMS are the first voters */
  br_buf_t duties;      /* "NAME,...": calls to the platform to make */
  double usage_window_s;
  double usage_late_s; /* after a window's end, until its counts are due */
  double grace_s;      /* from the stop request to the forced end */
  double retry_ratio;  /* repeats allowed for each request */
  double retry_window_s;
  double retry_slack;  /* repeats allowed in addition, over all entry VMs */
  double lease_ms;     /* minimum time between calls of two holders of a duty */
  int64_t disk_losses; /* control VMs whose disks may be lost at once */
  double rollout_share; /* of a service's requests that a bad version may get */
  double rollout_slack; /* requests in addition; both 0: no rollouts */
  double hedge_share;   /* of a service's requests that are copied; 0: none */
  double rollback_ms; /* from the 50th bad answer to the end of a bad version */
} br_site_settings_t;

typedef struct
{
  br_buf_t source; /* path of the file; empty when not read from a file */
  br_name_t vm;
  br_name_t log_name; /* name of this VM in its log; empty: as VM */
  br_name_t failure_domain;
  br_name_t region;
  bool voter;
  br_endpoint_t callers;
  br_endpoint_t operators;
  br_endpoint_t peers;
  br_endpoint_t metrics;  /* port 0: served to operators only */
  br_endpoint_t platform; /* port 0: no platform */
  br_ms_t platform_poll_ms;
  int64_t relay_port; /* of all entry VMs, at their names; 0: none */
  bool open_peers;    /* VMs that the settings do not name may join */
  bool joins;         /* this VM is not among the first voters */
  br_site_settings_t site;
  br_buf_t shared_key;  /* between entry VMs; empty without peers */
  br_buf_t data_folder; /* empty: nothing is kept on disk */
  br_digest_t operator_key_digest;
  bool has_operator_key; /* without one, operators need no key */
  int64_t body_max_bytes;
  int64_t header_max_bytes;
  br_ms_t request_ms; /* limit on receiving a request up to its body */
  br_ms_t idle_ms;    /* limit on a caller's connection without a request */
  int64_t requests_max;
  int64_t held_bytes_max; /* 0: by the memory */
  int64_t body_rate_min_bytes;
  br_ms_t body_grace_ms;
  int64_t connections_max;          /* of a port; 0: by the descriptors */
  int64_t silent_connections_max;   /* of these; 0: by the descriptors */
  int64_t greeting_connections_max; /* of peers; 0: by the descriptors */
  int64_t reader_backlog_max_bytes;
  br_ms_t connect_ms;
  br_ms_t first_token_ms;
  br_ms_t token_gap_ms;
  br_ms_t drain_notice_ms;
  br_ms_t drain_grace_ms; /* 0: no limit */
  int64_t checkpoint_tokens;
  br_ms_t checkpoint_ms;
  br_peer_settings_list_t vms;
  br_upstream_settings_list_t upstreams;
} br_settings_t;

/* Reads settings from TEXT.  FILE is the name of the source in the messages.
 * Appends all faults to FAULTS, one per line, as "FILE:LINE: KEY: FAULT".
 * Returns false when there is any.  The caller releases SETTINGS in either
 * case. */
bool br_settings_parse (br_str_t text,
                        const char *file,
                        br_settings_t *settings,
                        br_buf_t *faults);

/* Reads the settings file at PATH, like br_settings_parse(). */
bool
br_settings_load (const char *path, br_settings_t *settings, br_buf_t *faults);
void br_settings_release (br_settings_t *settings);

/* Appends each setting with its description, type, range and default. */
void br_settings_describe (br_buf_t *out);

BR_END_DECLS

#endif
