#include "http/peer_close.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

size_t
br_peer_unacked (int fd, size_t buffered)
{
  int queued = 0;

  return ioctl (fd, SIOCOUTQ, &queued) == 0 ? buffered + (size_t)queued
                                            : buffered;
}

void
br_peer_close_update (br_peer_close_t *close, int fd, size_t buffered)
{
  struct tcp_info info = { 0 };
  socklen_t len = sizeof info;

  close->unacked = br_peer_unacked (fd, buffered);
  /* A peer's FIN leaves the connection in TCP_CLOSE_WAIT. */
  close->is_reset = getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &len) != 0
                    || info.tcpi_state == TCP_CLOSE;
  close->is_in_flight = info.tcpi_unacked > 0;
}

br_peer_close_t
br_peer_close_begin (int fd, size_t buffered)
{
  br_peer_close_t close = { 0 };

  br_peer_close_update (&close, fd, buffered);
  close.unacked_first = close.unacked;
  return close;
}

br_peer_close_kind_t
br_peer_close_kind (const br_peer_close_t *close, bool has_waited)
{
  if (close->is_reset)
    return BR_PEER_CLOSE_RESET;
  /* Only a peer that shut down just its sending side acknowledges more. */
  if (close->unacked == 0 || close->unacked < close->unacked_first)
    return BR_PEER_CLOSE_ORDERLY;
  /* It has no room for more: a close of both directions resets a connection
   * whose received bytes were not read. */
  if (has_waited && !close->is_in_flight)
    return BR_PEER_CLOSE_ORDERLY;
  return BR_PEER_CLOSE_UNKNOWN;
}
