/* Relays TCP connections between loopback addresses.  On an order it delays
 * them, holds back one or both directions, resets them, or stalls the open ones
 * permanently while new ones work. */
#ifndef BR_TESTS_RELAY_H
#define BR_TESTS_RELAY_H

#include <event2/event.h>
#include <netinet/in.h>
#include <stdbool.h>

#include "base/macros.h"

BR_BEGIN_DECLS

typedef struct br_relay_link br_relay_link_t;

/* Listens at FROM and connects each accepted connection to TO.  Returns NULL
 * when it cannot listen at FROM.  The link exists until the process ends. */
br_relay_link_t *br_relay_link_new (struct event_base *base,
                                    const struct sockaddr_in *from,
                                    const struct sockaddr_in *to);

/* Carries out ORDER.  Returns false for an unknown one.  The orders are:
 *   open       forward everything, starting with what was held back
 *   cut        hold back both directions
 *   cut-to     hold back bytes to the target
 *   cut-from   hold back bytes from the target
 *   silence    stall the open connections permanently
 *   reset      close the open connections
 *   delay/25   forward everything 25 ms late */
bool br_relay_link_order (br_relay_link_t *link, const char *order);

BR_END_DECLS

#endif
