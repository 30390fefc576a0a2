/* Packs and sends the messages between entry VMs and control VMs. */
#ifndef BR_SHELL_SITE_MESSAGE_H
#define BR_SHELL_SITE_MESSAGE_H

#include "shell/node.h"
#include "site/listing.h"
#include "site/site.pb-c.h"

BR_BEGIN_DECLS

typedef Br__Site__Message br_site_message_t;

/* Appends MESSAGE to OUT, for br_node_send() with BR_PART_SITE.  A message to
 * many VMs is packed once and sent several times. */
void br_site_pack (const br_site_message_t *message, br_buf_t *out);

/* Sends MESSAGE to VM.  Returns false when no link to VM is ready. */
bool br_site_send (br_node_t *node,
                   const br_name_t *vm,
                   const br_site_message_t *message);

/* Returns NULL, with a log line, when PAYLOAD does not parse.  The caller frees
 * it with br__site__message__free_unpacked(). */
br_site_message_t *
br_site_receive (br_node_t *node, const br_name_t *vm, br_str_t payload);

/* The complete list of upstreams, as of SEQUENCE in the leader's TERM. */
typedef struct
{
  uint64_t term;
  uint64_t sequence;
  const br_listings_t *listings;
} br_site_fleet_t;

void br_site_pack_fleet (const br_site_fleet_t *fleet, br_buf_t *out);

/* Appends the upstreams of FLEET to LISTINGS.  Skips an entry with a name that
 * is too long. */
void br_site_read_fleet (const Br__Site__Fleet *fleet, br_listings_t *listings);

/* Connects to a control VM by its address, which is also its name.  Does
 * nothing when ADDRESS is this VM's own name or too long. */
void br_site_dial (br_node_t *node, br_str_t address);

/* Dials the VMs in VMS and removes the links to all others. */
void br_site_set_links (br_node_t *node, const br_names_t *vms);

BR_END_DECLS

#endif
