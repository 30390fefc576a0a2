/* Relays TCP connections between loopback addresses.  Commands delay a link,
 * hold back one or both directions, or stall or reset its open connections. */
#ifndef BR_TESTS_RELAY_H
#define BR_TESTS_RELAY_H

#include <event2/event.h>
#include <netinet/in.h>
#include <stdbool.h>

#include "base/macros.h"

BR_BEGIN_DECLS

typedef struct br_relay_link br_relay_link_t;

/* Listens at FROM and relays its connections to TO.  Returns NULL if it cannot
 * listen at FROM.  A link is never freed. */
br_relay_link_t *br_relay_link_new (struct event_base *base,
                                    const struct sockaddr_in *from,
                                    const struct sockaddr_in *to);

/* Returns whether bytes are held back that a connection from SOURCE sends to
 * the target or receives from it. */
typedef bool (*br_relay_held_fn) (void *context,
                                  const struct sockaddr_in *source,
                                  bool to_target);

/* Asks IS_HELD for each connection, besides the commands.  After its answers
 * have changed, the command "open" passes the bytes that were held back. */
void br_relay_link_set_held (br_relay_link_t *link,
                             br_relay_held_fn is_held,
                             void *context);

/* Relays new connections to TO. */
void br_relay_link_set_target (br_relay_link_t *link,
                               const struct sockaddr_in *to);

/* Closes the connections from the address of SOURCE at once. */
void br_relay_link_drop (br_relay_link_t *link,
                         const struct sockaddr_in *source);

/* Executes a command; returns false for an unknown one:
 *   open       pass both directions, starting with the bytes held back
 *   cut        hold back both directions
 *   cut-to     hold back the bytes to the target
 *   cut-from   hold back the bytes from the target
 *   silence    stall the open connections for good; new ones work
 *   reset      close the open connections
 *   delay/25   delay all bytes by 25 ms */
bool br_relay_link_command (br_relay_link_t *link, const char *command);

BR_END_DECLS

#endif
