/* Relays TCP connections between loopback addresses and, told so, delays them,
 * holds back one or both directions, resets them, or makes the open ones silent
 * for good while new ones work. */
#ifndef BR_TESTS_RELAY_H
#define BR_TESTS_RELAY_H

#include <event2/event.h>
#include <netinet/in.h>
#include <stdbool.h>

#include "base/macros.h"

BR_BEGIN_DECLS

typedef struct br_relay_link br_relay_link_t;

/* Listens at FROM and connects on to TO.  Returns NULL when FROM is taken.
 * The link lives as long as the process. */
br_relay_link_t *br_relay_link_new (struct event_base *base,
                                    const struct sockaddr_in *from,
                                    const struct sockaddr_in *to);

/* Carries out an order; false for an unknown one:
 *   open       pass everything, what was held back first
 *   cut        hold back both directions
 *   cut-to     hold back what goes to the target
 *   cut-from   hold back what comes from the target
 *   silence    make the open connections silent for good
 *   reset      close the open connections
 *   delay/25   pass everything 25 ms late */
bool br_relay_link_order (br_relay_link_t *link, const char *order);

BR_END_DECLS

#endif
