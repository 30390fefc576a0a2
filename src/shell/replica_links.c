#include "shell/replica_links.h"

#include "shell/site_message.h"

/* Time between two comparisons of the links with the VMs that the replica sends
 * to. */
#define LINKS_PERIOD_MS 100

void
br_replica_links_set (br_replica_links_t *links,
                      br_node_t *node,
                      const br_replica_t *replica)
{
  br_names_t vms = { 0 };

  links->set_ms = br_node_now (node);
  if (!node->settings.open_peers || node->peers == NULL)
    return;
  br_replica_contacts (replica, &vms);
  br_site_set_links (node, &vms);
  br_names_free (&vms);
}

void
br_replica_links_tick (br_replica_links_t *links,
                       br_node_t *node,
                       const br_replica_t *replica)
{
  if (br_node_now (node) - links->set_ms >= LINKS_PERIOD_MS)
    br_replica_links_set (links, node, replica);
}

void
br_replica_links_add (br_node_t *node,
                      br_replica_t *replica,
                      char *const *names,
                      size_t n_names)
{
  for (size_t i = 0; i < n_names; i++)
    {
      br_name_t name;

      if (br_name_set (&name, br_str_from (names[i])) && name.len > 0)
        br_replica_add_contact (replica, br_node_now (node), &name);
    }
}
