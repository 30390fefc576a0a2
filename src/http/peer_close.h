/* Tells an orderly close of a TCP connection by its peer from a reset.
 *
 * The end of the input alone does not tell.  Reading returns it also behind a
 * reset that a write has reported before, and a peer that has closed both
 * directions sends its reset only when more bytes reach it. */
#ifndef BR_HTTP_PEER_CLOSE_H
#define BR_HTTP_PEER_CLOSE_H

#include <stdbool.h>
#include <stddef.h>

#include "base/macros.h"

BR_BEGIN_DECLS

typedef enum
{
  BR_PEER_CLOSE_ORDERLY, /* it has received everything, or still receives */
  BR_PEER_CLOSE_RESET,
  BR_PEER_CLOSE_UNKNOWN, /* a reset may follow */
} br_peer_close_kind_t;

typedef struct
{
  bool is_reset;        /* the connection no longer exists */
  bool is_in_flight;    /* bytes were sent that are not acknowledged */
  size_t unacked_first; /* bytes the peer had not acknowledged at its close */
  size_t unacked;       /* and now */
} br_peer_close_t;

/* Returns how many bytes the peer of the socket FD has not acknowledged,
 * BUFFERED among them, which have not been written to it yet. */
size_t br_peer_unacked (int fd, size_t buffered);

/* Reads the state of the socket FD.  BUFFERED bytes have not been written to it
 * yet. */
br_peer_close_t br_peer_close_begin (int fd, size_t buffered);
void br_peer_close_update (br_peer_close_t *close, int fd, size_t buffered);

/* HAS_WAITED says that there was time for an acknowledgement or a reset of what
 * is in flight. */
br_peer_close_kind_t br_peer_close_kind (const br_peer_close_t *close,
                                         bool has_waited);

BR_END_DECLS

#endif
