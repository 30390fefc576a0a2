#include "shell/settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/util.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "shell/settings_reader.h"
#include "shell/settings_table.h"

/* Far above the size of any settings file.  Keeps a wrong path from filling the
 * memory. */
#define FILE_MAX_BYTES (1024 * 1024)

static bool
address_is_valid (const char *text)
{
  struct in6_addr storage;

  return inet_pton (AF_INET, text, &storage) == 1
         || inet_pton (AF_INET6, text, &storage) == 1;
}

static bool
scalar_has_kind (const br_scalar_t *scalar, br_setting_kind_t kind)
{
  switch (kind)
    {
    case BR_SETTING_INT:
      return scalar->kind == BR_SCALAR_INT;
    case BR_SETTING_REAL:
      return scalar->kind == BR_SCALAR_INT || scalar->kind == BR_SCALAR_REAL;
    case BR_SETTING_BOOL:
      return scalar->kind == BR_SCALAR_BOOL;
    case BR_SETTING_ROLE:
    case BR_SETTING_NAME:
    case BR_SETTING_STRING:
    case BR_SETTING_ADDRESS:
    case BR_SETTING_DIGEST:
      return scalar->kind == BR_SCALAR_STRING;
    }
  return false;
}

static void
file_fault_kind (br_settings_file_t *file,
                 const br_scalar_t *scalar,
                 br_setting_kind_t kind)
{
  char what[80];

  snprintf (what, sizeof what, "must be %s", br_setting_kind_text (kind));
  br_settings_file_fault (file, scalar->line, scalar->display_path, what);
}

static void
file_store_int (br_settings_file_t *file,
                const br_setting_row_t *row,
                const br_scalar_t *scalar,
                int64_t *field)
{
  char what[96];

  *field = scalar->number;
  if (scalar->number >= row->minimum && (double)scalar->number <= row->maximum)
    return;
  snprintf (what, sizeof what,
            "%" PRId64 " is out of range %" PRId64 " to %.15g", scalar->number,
            row->minimum, row->maximum);
  br_settings_file_fault (file, scalar->line, scalar->display_path, what);
}

/* Reads "ADDRESS" or "ADDRESS:PORT".  The row of an address gives the offset of
 * the whole endpoint, whose first field is the address. */
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
                 const br_setting_row_t *row,
                 const br_scalar_t *scalar,
                 double *field)
{
  char what[96];

  *field = scalar->real;
  if (scalar->real >= (double)row->minimum && scalar->real <= row->maximum)
    return;
  snprintf (what, sizeof what, "%g is out of range %" PRId64 " to %.15g",
            scalar->real, row->minimum, row->maximum);
  br_settings_file_fault (file, scalar->line, scalar->display_path, what);
}

static bool
scalar_store_text (const br_setting_row_t *row,
                   const br_scalar_t *scalar,
                   void *field)
{
  br_str_t text = br_str_from (scalar->text);

  switch (row->kind)
    {
    case BR_SETTING_NAME:
      return text.len > 0 && br_name_set (field, text);
    case BR_SETTING_STRING:
      br_buf_clear (field);
      br_buf_append (field, text);
      return true;
    case BR_SETTING_ADDRESS:
      return endpoint_parse (text, field);
    case BR_SETTING_DIGEST:
      return br_digest_parse (text, field);
    case BR_SETTING_ROLE:
      return role_parse (text, field);
    case BR_SETTING_INT:
    case BR_SETTING_REAL:
    case BR_SETTING_BOOL:
      break;
    }
  return false;
}

static void
file_store (br_settings_file_t *file,
            const br_setting_row_t *row,
            const br_scalar_t *scalar,
            void *object)
{
  void *field = (char *)object + row->offset;

  bool fits = scalar_has_kind (scalar, row->kind);

  if (scalar->kind == BR_SCALAR_REAL && row->kind == BR_SETTING_INT)
    br_settings_file_fault (file, scalar->line, scalar->display_path,
                            "must be a whole number");
  else if (fits && row->kind == BR_SETTING_INT)
    file_store_int (file, row, scalar, field);
  else if (fits && row->kind == BR_SETTING_REAL)
    file_store_real (file, row, scalar, field);
  else if (fits && row->kind == BR_SETTING_BOOL)
    *(bool *)field = scalar->number != 0;
  else if (!fits || !scalar_store_text (row, scalar, field))
    file_fault_kind (file, scalar, row->kind);
}

static void
file_store_label (br_settings_file_t *file,
                  br_settings_t *settings,
                  const br_scalar_t *scalar)
{
  const char *key = scalar->path + sizeof BR_SETTING_LABEL_PREFIX - 1;
  br_labels_t *labels = &settings->upstreams.items[scalar->item].labels;

  if (scalar->kind != BR_SCALAR_STRING
      || !br_labels_set (labels, br_str_from (key), br_str_from (scalar->text)))
    br_settings_file_fault (file, scalar->line, scalar->display_path,
                            "must be a label value of at most 62 characters");
}

static void
file_store_scalar (br_settings_file_t *file,
                   br_settings_t *settings,
                   const br_scalar_t *scalar)
{
  const char *path = scalar->path;
  const br_setting_row_t *row;

  row = br_setting_find (&br_setting_rows, path);
  if (row != NULL)
    {
      file_store (file, row, scalar, settings);
      if (strcmp (path, "operators.key_digest") == 0)
        settings->has_operator_key = true;
      return;
    }
  row = br_setting_find (&br_setting_peer_rows, path);
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
  row = br_setting_find (&br_setting_upstream_rows, path);
  if (row != NULL)
    file_store (file, row, scalar, &settings->upstreams.items[scalar->item]);
  else if (strncmp (path, BR_SETTING_LABEL_PREFIX,
                    sizeof BR_SETTING_LABEL_PREFIX - 1)
           == 0)
    file_store_label (file, settings, scalar);
  else
    br_settings_file_fault (file, scalar->line, scalar->display_path,
                            "unknown key");
}

/* Returns true when PATH is the port of an endpoint whose address, given as
 * ADDRESS:PORT, holds the port already. */
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

/* Returns true for a required setting that this file may omit: a control VM has
 * no callers. */
static bool
file_may_omit (const br_settings_file_t *file, const char *path)
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
                     const br_setting_rows_t *rows,
                     size_t n_items)
{
  for (size_t item = 0; item < n_items; item++)
    for (size_t i = 0; i < rows->len; i++)
      {
        const br_setting_row_t *row = &rows->items[i];

        if (row->required && !file_may_omit (file, row->path)
            && !file_has (file, row->path, item)
            && !address_has_port (file, row->path, item))
          br_settings_file_fault (file, file->last_line, row->path,
                                  "is required and missing");
      }
}

/* Adds the VMs of site.control_vms as peers.  At a site that the platform runs,
 * a VM's name is its address. */
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
                                "must be ADDRESS:PORT, joined by commas");
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
file_check_combinations (br_settings_file_t *file,
                         const br_settings_t *settings)
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
settings_field (br_settings_t *settings, const br_setting_row_t *row)
{
  return (char *)settings + row->offset;
}

static void
settings_set_defaults (br_settings_t *settings)
{
  *settings = (br_settings_t){ 0 };
  for (size_t i = 0; i < br_setting_rows.len; i++)
    {
      const br_setting_row_t *row = &br_setting_rows.items[i];

      if (row->kind == BR_SETTING_INT)
        *(int64_t *)settings_field (settings, row) = row->default_value;
      else if (row->kind == BR_SETTING_REAL)
        *(double *)settings_field (settings, row) = (double)row->default_value;
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
        file_store_scalar (&file, settings, &file.scalars.items[i]);
      file_check_required (&file, &br_setting_rows, 1);
      file_check_required (&file, &br_setting_peer_rows, settings->vms.len);
      file_check_required (&file, &br_setting_upstream_rows,
                           settings->upstreams.len);
      if (settings->site.role != BR_SITE_NONE)
        file_add_control_vms (&file, settings);
      file_check_combinations (&file, settings);
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
