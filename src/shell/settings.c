#include "shell/settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/util.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "shell/settings_reader.h"

#define FILE_MAX_BYTES (1024 * 1024)

/* X (kind, path, field, required, minimum, maximum, default, help).  For a
 * kind other than INT the three numbers are 0. */
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
  X (INT, "callers.request_ms", head_ms, false, 100, 600000, 3000,             \
     "time for a whole request to come")                                       \
  X (INT, "callers.idle_ms", idle_ms, false, 100, 3600000, 15000,              \
     "time that a connection is kept without a request")                       \
  X (INT, "callers.requests_max", requests_max, false, 1, 100000, 12000,       \
     "requests in progress at once")                                           \
  X (INT, "callers.reader_backlog_max_bytes", reader_backlog_max_bytes, false, \
     4096, 67108864, 1048576, "answer bytes held for a slow reader")           \
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
  X (INT, "site.retry_slack", site.retry_slack, false, 0, 1000000, 20,         \
     "repeats allowed beside that, over all entry VMs")                        \
  X (INT, "site.lease_ms", site.lease_ms, false, 100, 600000, 3000,            \
     "least time between calls of two holders of a duty")                      \
  X (INT, "contract.checkpoint_tokens", checkpoint_tokens, false, 0, 65536, 8, \
     "tokens generated before they go to the backup partner; 0: never")        \
  X (INT, "contract.checkpoint_ms", checkpoint_ms, false, 1, 60000, 100,       \
     "longest wait of a token before it goes to the backup partner")

typedef enum
{
  SETTING_NAME,
  SETTING_STRING,
  SETTING_ADDRESS,
  SETTING_DIGEST,
  SETTING_INT,
  SETTING_REAL,
  SETTING_BOOL,
  SETTING_ROLE,
} setting_kind_t;

typedef struct
{
  setting_kind_t kind;
  const char *path;
  size_t offset;
  bool required;
  int64_t minimum;
  int64_t maximum;
  int64_t fallback;
  const char *help;
} setting_row_t;

#define X(kind, path, field, required, minimum, maximum, fallback, help)       \
  { SETTING_##kind, path,    offsetof (br_settings_t, field),                  \
    required,       minimum, maximum,                                          \
    fallback,       help },
static const setting_row_t setting_rows[] = { SETTING_TABLE (X) };
#undef X

#define ROW(kind, path, type, field, required, minimum, maximum, help)         \
  {                                                                            \
    SETTING_##kind, path, offsetof (type, field), required, minimum, maximum,  \
        0, help                                                                \
  }

static const setting_row_t peer_rows[] = {
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

static const setting_row_t upstream_rows[] = {
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

static const char labels_prefix[] = "upstreams[].labels.";

static bool
address_is_valid (const char *text)
{
  struct in6_addr storage;

  return inet_pton (AF_INET, text, &storage) == 1
         || inet_pton (AF_INET6, text, &storage) == 1;
}

static bool
scalar_has_kind (const br_scalar_t *scalar, setting_kind_t wanted)
{
  switch (wanted)
    {
    case SETTING_INT:
      return scalar->kind == BR_SCALAR_INT;
    case SETTING_REAL:
      return scalar->kind == BR_SCALAR_INT || scalar->kind == BR_SCALAR_REAL;
    case SETTING_BOOL:
      return scalar->kind == BR_SCALAR_BOOL;
    case SETTING_ROLE:
    case SETTING_NAME:
    case SETTING_STRING:
    case SETTING_ADDRESS:
    case SETTING_DIGEST:
      return scalar->kind == BR_SCALAR_STRING;
    }
  return false;
}

static const char *
kind_text (setting_kind_t kind)
{
  switch (kind)
    {
    case SETTING_NAME:
      return "a name of 1 to 62 characters";
    case SETTING_STRING:
      return "a string";
    case SETTING_ADDRESS:
      return "an IP address by number, or with :PORT behind it";
    case SETTING_DIGEST:
      return "sha256: and 64 hexadecimal digits";
    case SETTING_INT:
      return "a whole number";
    case SETTING_REAL:
      return "a number";
    case SETTING_BOOL:
      return "true or false";
    case SETTING_ROLE:
      return "entry or control";
    }
  return "";
}

static void
file_fault_kind (br_settings_file_t *file,
                 const br_scalar_t *scalar,
                 setting_kind_t kind)
{
  char what[80];

  snprintf (what, sizeof what, "wants %s", kind_text (kind));
  br_settings_file_fault (file, scalar->line, scalar->shown, what);
}

static void
file_store_int (br_settings_file_t *file,
                const setting_row_t *row,
                const br_scalar_t *scalar,
                int64_t *field)
{
  char what[96];

  *field = scalar->number;
  if (scalar->number >= row->minimum && scalar->number <= row->maximum)
    return;
  snprintf (what, sizeof what,
            "%" PRId64 " is out of range %" PRId64 " to %" PRId64,
            scalar->number, row->minimum, row->maximum);
  br_settings_file_fault (file, scalar->line, scalar->shown, what);
}

/* Reads "ADDRESS" or "ADDRESS:PORT".  An endpoint begins with its address. */
static bool
endpoint_parse (br_str_t text, br_endpoint_t *endpoint)
{
  const char *colon = memrchr (text.data, ':', text.len);
  br_endpoint_t parsed = { .port = endpoint->port };
  size_t len = text.len;
  uint64_t port;

  if (colon != NULL && memchr (text.data, ':', text.len) == colon)
    {
      len = (size_t)(colon - text.data);
      if (!br_str_to_u64 (br_str_make (colon + 1, text.len - len - 1), &port)
          || port == 0 || port > UINT16_MAX)
        return false;
      parsed.port = (int64_t)port;
    }
  if (len == 0 || len >= sizeof parsed.address)
    return false;
  memcpy (parsed.address, text.data, len);
  if (!address_is_valid (parsed.address))
    return false;
  *endpoint = parsed;
  return true;
}

static bool
role_parse (br_str_t text, br_site_role_t *role)
{
  *role = br_str_equal (text, br_str_from ("entry"))     ? BR_SITE_ENTRY
          : br_str_equal (text, br_str_from ("control")) ? BR_SITE_CONTROL
                                                         : BR_SITE_NONE;
  return *role != BR_SITE_NONE;
}

static void
file_store_real (br_settings_file_t *file,
                 const setting_row_t *row,
                 const br_scalar_t *scalar,
                 double *field)
{
  char what[96];

  *field = scalar->real;
  if (scalar->real >= (double)row->minimum
      && scalar->real <= (double)row->maximum)
    return;
  snprintf (what, sizeof what, "%g is out of range %" PRId64 " to %" PRId64,
            scalar->real, row->minimum, row->maximum);
  br_settings_file_fault (file, scalar->line, scalar->shown, what);
}

static bool
scalar_store_text (const setting_row_t *row,
                   const br_scalar_t *scalar,
                   void *field)
{
  br_str_t text = br_str_from (scalar->text);

  switch (row->kind)
    {
    case SETTING_NAME:
      return text.len > 0 && br_name_set (field, text);
    case SETTING_STRING:
      br_buf_clear (field);
      br_buf_append (field, text);
      return true;
    case SETTING_ADDRESS:
      return endpoint_parse (text, field);
    case SETTING_DIGEST:
      return br_digest_parse (text, field);
    case SETTING_ROLE:
      return role_parse (text, field);
    case SETTING_INT:
    case SETTING_REAL:
    case SETTING_BOOL:
      break;
    }
  return false;
}

static void
file_store (br_settings_file_t *file,
            const setting_row_t *row,
            const br_scalar_t *scalar,
            void *object)
{
  void *field = (char *)object + row->offset;

  bool fits = scalar_has_kind (scalar, row->kind);

  if (scalar->kind == BR_SCALAR_REAL && row->kind == SETTING_INT)
    br_settings_file_fault (file, scalar->line, scalar->shown,
                            "a whole number is wanted");
  else if (fits && row->kind == SETTING_INT)
    file_store_int (file, row, scalar, field);
  else if (fits && row->kind == SETTING_REAL)
    file_store_real (file, row, scalar, field);
  else if (fits && row->kind == SETTING_BOOL)
    *(bool *)field = scalar->number != 0;
  else if (!fits || !scalar_store_text (row, scalar, field))
    file_fault_kind (file, scalar, row->kind);
}

static const setting_row_t *
rows_find (const setting_row_t *rows, size_t n_rows, const char *path)
{
  for (size_t i = 0; i < n_rows; i++)
    if (strcmp (rows[i].path, path) == 0)
      return &rows[i];
  return NULL;
}

static void
file_store_label (br_settings_file_t *file,
                  br_settings_t *settings,
                  const br_scalar_t *scalar)
{
  const char *key = scalar->path + sizeof labels_prefix - 1;
  br_labels_t *labels = &settings->upstreams.items[scalar->item].labels;

  if (scalar->kind != BR_SCALAR_STRING
      || !br_labels_set (labels, br_str_from (key), br_str_from (scalar->text)))
    br_settings_file_fault (file, scalar->line, scalar->shown,
                            "wants a label value of at most 62 characters");
}

static void
file_place (br_settings_file_t *file,
            br_settings_t *settings,
            const br_scalar_t *scalar)
{
  const char *path = scalar->path;
  const setting_row_t *row;

  row = rows_find (setting_rows, BR_N_ELEMENTS (setting_rows), path);
  if (row != NULL)
    {
      file_store (file, row, scalar, settings);
      if (strcmp (path, "operators.key_digest") == 0)
        settings->has_operator_key = true;
      return;
    }
  row = rows_find (peer_rows, BR_N_ELEMENTS (peer_rows), path);
  if (row != NULL)
    {
      while (settings->vms.len <= scalar->item)
        br_peer_settings_list_push (&settings->vms, (br_peer_settings_t){ 0 });
      file_store (file, row, scalar, &settings->vms.items[scalar->item]);
      return;
    }
  if (strncmp (path, "upstreams[].", 12) == 0)
    while (settings->upstreams.len <= scalar->item)
      br_upstream_settings_list_push (&settings->upstreams,
                                      (br_upstream_settings_t){ 0 });
  row = rows_find (upstream_rows, BR_N_ELEMENTS (upstream_rows), path);
  if (row != NULL)
    file_store (file, row, scalar, &settings->upstreams.items[scalar->item]);
  else if (strncmp (path, labels_prefix, sizeof labels_prefix - 1) == 0)
    file_store_label (file, settings, scalar);
  else
    br_settings_file_fault (file, scalar->line, scalar->shown, "unknown key");
}

/* Whether the address of the endpoint whose port is PATH names the port. */
static bool
address_has_port (const br_settings_file_t *file, const char *path, size_t item)
{
  size_t len = strlen (path);
  char address[64];

  if (len < 5 || strcmp (path + len - 5, ".port") != 0)
    return false;
  snprintf (address, sizeof address, "%.*s.address", (int)(len - 5), path);
  for (size_t i = 0; i < file->scalars.len; i++)
    {
      const br_scalar_t *scalar = &file->scalars.items[i];

      if (strcmp (scalar->path, address) == 0 && scalar->item == item
          && scalar->text != NULL)
        return strchr (scalar->text, ':') != NULL;
    }
  return false;
}

static bool
file_has (const br_settings_file_t *file, const char *path, size_t item)
{
  for (size_t i = 0; i < file->scalars.len; i++)
    if (strcmp (file->scalars.items[i].path, path) == 0
        && file->scalars.items[i].item == item)
      return true;
  return false;
}

/* A control VM has no callers. */
static bool
file_needs_no (const br_settings_file_t *file, const char *path)
{
  if (strncmp (path, "callers.", 8) != 0)
    return false;
  for (size_t i = 0; i < file->scalars.len; i++)
    if (strcmp (file->scalars.items[i].path, "site.role") == 0
        && file->scalars.items[i].text != NULL)
      return strcmp (file->scalars.items[i].text, "control") == 0;
  return false;
}

static void
file_check_required (br_settings_file_t *file,
                     const setting_row_t *rows,
                     size_t n_rows,
                     size_t n_items)
{
  for (size_t item = 0; item < n_items; item++)
    for (size_t i = 0; i < n_rows; i++)
      if (rows[i].required && !file_needs_no (file, rows[i].path)
          && !file_has (file, rows[i].path, item)
          && !address_has_port (file, rows[i].path, item))
        br_settings_file_fault (file, file->last_line, rows[i].path,
                                "is required and missing");
}

/* Makes peers of the control VMs that the settings name.  A VM of such a site
 * has its address as its name. */
static void
file_add_control_vms (br_settings_file_t *file, br_settings_t *settings)
{
  br_str_t rest = br_buf_str (&settings->site.control_vms);

  settings->joins = true;
  while (rest.len > 0)
    {
      const char *comma = memchr (rest.data, ',', rest.len);
      size_t len = comma != NULL ? (size_t)(comma - rest.data) : rest.len;
      br_peer_settings_t peer = { .voter = settings->site.founding };

      if (!endpoint_parse (br_str_make (rest.data, len), &peer.endpoint))
        br_settings_file_fault (file, file->last_line, "site.control_vms",
                                "wants ADDRESS:PORT, joined by commas");
      peer.endpoint.port = settings->peers.port;
      peer.name = br_name_from (peer.endpoint.address);
      if (br_name_equal (&peer.name, &settings->vm))
        settings->joins = !settings->site.founding;
      else
        br_peer_settings_list_push (&settings->vms, peer);
      len += comma != NULL ? 1 : 0;
      rest = br_str_make (rest.data + len, rest.len - len);
    }
}

static void
file_check_together (br_settings_file_t *file, const br_settings_t *settings)
{
  int line = file->last_line;

  bool has_peers = settings->vms.len > 0 || settings->site.role != BR_SITE_NONE;

  if (has_peers && settings->peers.port == 0)
    br_settings_file_fault (file, line, "peers.port",
                            "is required with peers.vms");
  if (has_peers && settings->peers.address[0] == '\0')
    br_settings_file_fault (file, line, "peers.address",
                            "is required with peers.vms");
  if (has_peers && settings->shared_key.len < 16)
    br_settings_file_fault (
        file, line, "peers.shared_key",
        "of at least 16 characters is required with peers.vms");
  if (settings->voter && settings->data_folder.len == 0)
    br_settings_file_fault (file, line, "vm.voter", "needs data.folder");
  if (settings->platform.port != 0 && settings->platform.address[0] == '\0')
    br_settings_file_fault (file, line, "platform.address",
                            "is required with platform.port");
}

static void *
settings_field (br_settings_t *settings, const setting_row_t *row)
{
  return (char *)settings + row->offset;
}

static void
settings_set_defaults (br_settings_t *settings)
{
  *settings = (br_settings_t){ 0 };
  for (size_t i = 0; i < BR_N_ELEMENTS (setting_rows); i++)
    {
      const setting_row_t *row = &setting_rows[i];

      if (row->kind == SETTING_INT)
        *(int64_t *)settings_field (settings, row) = row->fallback;
      else if (row->kind == SETTING_REAL)
        *(double *)settings_field (settings, row) = (double)row->fallback;
    }
}

bool
br_settings_parse (br_str_t text,
                   const char *name,
                   br_settings_t *settings,
                   br_buf_t *faults)
{
  br_settings_file_t file = { .name = name, .faults = faults };

  settings_set_defaults (settings);
  if (br_settings_file_read (&file, text))
    {
      for (size_t i = 0; i < file.scalars.len; i++)
        file_place (&file, settings, &file.scalars.items[i]);
      file_check_required (&file, setting_rows, BR_N_ELEMENTS (setting_rows),
                           1);
      file_check_required (&file, peer_rows, BR_N_ELEMENTS (peer_rows),
                           settings->vms.len);
      file_check_required (&file, upstream_rows, BR_N_ELEMENTS (upstream_rows),
                           settings->upstreams.len);
      if (settings->site.role != BR_SITE_NONE)
        file_add_control_vms (&file, settings);
      file_check_together (&file, settings);
    }
  br_settings_file_release (&file);
  return file.n_faults == 0;
}

static bool
text_read (const char *path, br_buf_t *text)
{
  FILE *stream = fopen (path, "r");
  char part[4096];
  size_t n;

  if (stream == NULL)
    return false;
  while ((n = fread (part, 1, sizeof part, stream)) > 0
         && text->len <= FILE_MAX_BYTES)
    br_buf_append (text, br_str_make (part, n));
  if (ferror (stream))
    n = 1;
  fclose (stream);
  return n == 0;
}

bool
br_settings_load (const char *path, br_settings_t *settings, br_buf_t *faults)
{
  br_buf_t text = { 0 };
  bool ok = false;

  settings_set_defaults (settings);
  if (!text_read (path, &text))
    br_buf_printf (faults, "%s:0: cannot be read: %s\n", path,
                   errno != 0 ? strerror (errno) : "over 1 MiB");
  else
    ok = br_settings_parse (br_buf_str (&text), path, settings, faults);
  br_buf_append (&settings->source, br_str_from (path));
  br_buf_free (&text);
  return ok;
}

bool
br_endpoint_to_sockaddr (const br_endpoint_t *endpoint,
                         struct sockaddr_storage *address,
                         int *len)
{
  char text[BR_ADDRESS_MAX + 16];
  const char *format
      = strchr (endpoint->address, ':') != NULL ? "[%s]:%d" : "%s:%d";

  *len = sizeof *address;
  snprintf (text, sizeof text, format, endpoint->address, (int)endpoint->port);
  return evutil_parse_sockaddr_port (text, (struct sockaddr *)address, len)
         == 0;
}

void
br_settings_release (br_settings_t *settings)
{
  for (size_t i = 0; i < settings->upstreams.len; i++)
    br_labels_free (&settings->upstreams.items[i].labels);
  br_upstream_settings_list_free (&settings->upstreams);
  br_peer_settings_list_free (&settings->vms);
  br_buf_free (&settings->source);
  br_buf_free (&settings->shared_key);
  br_buf_free (&settings->data_folder);
  br_buf_free (&settings->site.control_vms);
  br_buf_free (&settings->site.duties);
}

static void
rows_describe (const setting_row_t *rows, size_t n_rows, br_buf_t *out)
{
  for (size_t i = 0; i < n_rows; i++)
    {
      const setting_row_t *row = &rows[i];
      bool is_number = row->kind == SETTING_INT || row->kind == SETTING_REAL;

      br_buf_printf (out, "%-34s %s; %s", row->path, row->help,
                     kind_text (row->kind));
      if (is_number)
        br_buf_printf (out, " %" PRId64 " to %" PRId64, row->minimum,
                       row->maximum);
      if (row->required)
        br_buf_printf (out, "; required");
      else if (is_number && row->fallback != 0)
        br_buf_printf (out, "; default %" PRId64, row->fallback);
      br_buf_append_char (out, '\n');
    }
}

void
br_settings_describe (br_buf_t *out)
{
  rows_describe (setting_rows, BR_N_ELEMENTS (setting_rows), out);
  rows_describe (peer_rows, BR_N_ELEMENTS (peer_rows), out);
  rows_describe (upstream_rows, BR_N_ELEMENTS (upstream_rows), out);
  br_buf_printf (out, "%-34s %s\n", "upstreams[].labels.KEY",
                 "label KEY of the upstream; a string");
}
