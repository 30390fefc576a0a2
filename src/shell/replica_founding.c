#include "shell/replica_founding.h"

#include <inttypes.h>
#include <limits.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "store/file.h"

/* The file holds the identity of its disk, then the names of the first voters,
 * each on a line of its own. */
#define FILE_NAME "first-voters"

static bool
founding_take_line (br_str_t *rest, br_str_t *line)
{
  const char *end = memchr (rest->data, '\n', rest->len);

  if (rest->len == 0 || end == NULL)
    return false;
  *line = br_str_make (rest->data, (size_t)(end - rest->data));
  *rest = br_str_make (end + 1, rest->len - line->len - 1);
  return true;
}

static void
founding_identity (uint64_t disk, br_buf_t *out)
{
  br_buf_printf (out, "%016" PRIx64, disk);
}

/* Reads the names of CONTENT into VMS.  Returns false when it is of another
 * disk or damaged. */
static bool
founding_parse (br_str_t content, uint64_t disk, br_names_t *vms)
{
  br_buf_t identity = { 0 };
  br_str_t line;
  bool ok;

  founding_identity (disk, &identity);
  ok = founding_take_line (&content, &line)
       && br_str_equal (line, br_buf_str (&identity));
  br_buf_free (&identity);
  while (ok && content.len > 0)
    {
      br_name_t name;

      ok = founding_take_line (&content, &line) && br_name_set (&name, line);
      if (ok)
        br_names_push (vms, name);
    }
  return ok && vms->len > 0;
}

static bool
founding_load (br_node_t *node, uint64_t disk, br_names_t *vms)
{
  char path[PATH_MAX];
  br_buf_t content = { 0 };
  br_error_t err;
  bool ok = false;

  snprintf (path, sizeof path, "%s/%s", node->settings.data_folder.data,
            FILE_NAME);
  if (access (path, F_OK) != 0)
    return false;
  if (!br_file_read (path, &content, &err))
    br_log_error (&node->log, "replica", "first voters not read", &err);
  else
    {
      ok = founding_parse (br_buf_str (&content), disk, vms);
      if (!ok)
        BR_LOG (&node->log, "replica", "first voters not read",
                br_field_z ("why", "the file is damaged or of another disk"));
    }
  br_buf_free (&content);
  return ok;
}

/* Without the file a restart with other settings takes no part in founding. */
static void
founding_save (br_node_t *node, const br_replica_options_t *options)
{
  br_buf_t content = { 0 };
  br_error_t err;

  founding_identity (options->disk, &content);
  br_buf_printf (&content, "\n%s\n", options->vm.data);
  for (size_t i = 0; i < options->peers.len; i++)
    if (options->peers.items[i].voter)
      br_buf_printf (&content, "%s\n", options->peers.items[i].vm.data);
  if (!br_file_replace (&br_file_system_ops, node->settings.data_folder.data,
                        FILE_NAME, br_buf_str (&content), NULL, &err))
    br_log_error (&node->log, "replica", "first voters not written", &err);
  br_buf_free (&content);
}

/* Makes VMS the first voters; the VMs of the settings are still asked. */
static void
founding_set_voters (br_replica_options_t *options, const br_names_t *vms)
{
  br_replica_peers_t *peers = &options->peers;

  options->joins = false;
  options->founding = true;
  for (size_t i = 0; i < peers->len; i++)
    peers->items[i].voter = br_contacts_have (vms, &peers->items[i].vm);
  for (size_t i = 0; i < vms->len; i++)
    {
      bool listed = br_name_equal (&vms->items[i], &options->vm);

      for (size_t j = 0; j < peers->len && !listed; j++)
        listed = br_name_equal (&peers->items[j].vm, &vms->items[i]);
      if (!listed)
        br_replica_peers_push (peers,
                               (br_replica_peer_t){ vms->items[i], true });
    }
}

void
br_replica_founding_fill (br_node_t *node, br_replica_options_t *options)
{
  br_names_t vms = { 0 };

  if (node->settings.site.role != BR_SITE_CONTROL
      || node->settings.data_folder.len == 0)
    return;
  if (founding_load (node, options->disk, &vms))
    founding_set_voters (options, &vms);
  else if (node->settings.site.founding && !options->joins)
    {
      options->founding = true;
      founding_save (node, options);
    }
  br_names_free (&vms);
}
