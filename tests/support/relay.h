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
