// Tests that a client connection does not report a request as unsent after some
// of its bytes have left, and is not reused after another request's answer.
#include <arpa/inet.h>
#include <event2/event.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>
#include <vector>

#include "http/http_client.h"

namespace
{

struct Peer
{
  event_base *base;
  br_http_client_t *client;
  struct event *check;
  int listener;
  int accepted = -1;
  int checks = 0;
  bool arrived = false;
  bool reported_sent = false;
};

// Accepts the connection and peeks at its bytes in the same iteration of the
// event loop in which it is made.  A byte that has arrived must be reported as
// sent, even if the client has not handled the connect event yet.
void
on_check (evutil_socket_t, short, void *context)
{
  Peer *peer = static_cast<Peer *> (context);
  struct timeval now = { 0, 0 };
  char byte;

  if (peer->accepted < 0)
    peer->accepted = accept4 (peer->listener, nullptr, nullptr, SOCK_NONBLOCK);
  if (peer->accepted >= 0 && recv (peer->accepted, &byte, 1, MSG_PEEK) == 1)
    {
      peer->arrived = true;
      peer->reported_sent = br_http_client_has_sent (peer->client);
      event_base_loopbreak (peer->base);
      return;
    }
  if (++peer->checks < 100000)
    event_add (peer->check, &now);
}

TEST (HttpClient, ReceivedBytesAreReportedAsSent)
{
  Peer peer = {};
  sockaddr_in address = {};
  socklen_t len = sizeof address;
  struct timeval now = { 0, 0 };

  peer.base = event_base_new ();
  peer.listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  ASSERT_EQ (bind (peer.listener, reinterpret_cast<sockaddr *> (&address), len),
             0);
  ASSERT_EQ (listen (peer.listener, 1), 0);
  ASSERT_EQ (getsockname (peer.listener,
                          reinterpret_cast<sockaddr *> (&address), &len),
             0);
  peer.client = br_http_client_new (
      peer.base, reinterpret_cast<sockaddr *> (&address), sizeof address);
  EXPECT_FALSE (br_http_client_has_sent (peer.client));
  br_http_client_send (peer.client,
                       br_str_from ("GET / HTTP/1.1\r\nHost: h\r\n\r\n"));
  EXPECT_FALSE (br_http_client_has_sent (peer.client));
  peer.check = evtimer_new (peer.base, on_check, &peer);
  event_add (peer.check, &now);
  event_base_dispatch (peer.base);
  EXPECT_TRUE (peer.arrived);
  EXPECT_TRUE (peer.reported_sent);
  br_http_client_free (peer.client);
  event_free (peer.check);
  event_base_loop (peer.base, EVLOOP_NONBLOCK); /* run deferred callbacks */
  event_base_free (peer.base);
  close (peer.accepted);
  close (peer.listener);
}

// An upstream that writes another request's answer before the one that is due.
struct Exchange
{
  event_base *base;
  br_http_client_t *client;
  std::vector<bool> first; // of each head
  bool reusable = false;
  int ended = 0;
};

void
on_answer (void *context,
           br_http_client_t *client,
           const br_client_event_t *event)
{
  Exchange *exchange = static_cast<Exchange *> (context);

  if (event->kind == BR_CLIENT_HEAD)
    {
      exchange->first.push_back (br_http_client_is_first_response (client));
      if (event->head->status == 503)
        br_http_client_skip (client);
    }
  else if (event->kind == BR_CLIENT_END)
    {
      exchange->reusable = event->reusable;
      exchange->ended++;
      event_base_loopbreak (exchange->base);
    }
}

// Sends a request and has the peer at *FD answer with ANSWER.
void
exchange_run (Exchange *exchange, int *fd, int listener, const char *answer)
{
  br_http_client_send (exchange->client,
                       br_str_from ("GET / HTTP/1.1\r\nHost: h\r\n\r\n"));
  if (*fd < 0)
    *fd = accept (listener, nullptr, nullptr);
  ASSERT_EQ (send (*fd, answer, strlen (answer), MSG_NOSIGNAL),
             (ssize_t)strlen (answer));
  event_base_dispatch (exchange->base);
}

TEST (HttpClient, SkippedAnswerEndsReuseOfItsConnection)
{
  static const char own[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  static const char after_other[]
      = "HTTP/1.1 100 Continue\r\n\r\n"
        "HTTP/1.1 503 Full\r\nContent-Length: 5\r\n\r\nfull\n"
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  Exchange exchange = {};
  sockaddr_in address = {};
  socklen_t len = sizeof address;
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  int fd = -1;

  exchange.base = event_base_new ();
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  ASSERT_EQ (bind (listener, reinterpret_cast<sockaddr *> (&address), len), 0);
  ASSERT_EQ (listen (listener, 1), 0);
  ASSERT_EQ (
      getsockname (listener, reinterpret_cast<sockaddr *> (&address), &len), 0);
  exchange.client = br_http_client_new (
      exchange.base, reinterpret_cast<sockaddr *> (&address), sizeof address);
  br_http_client_set_owner (exchange.client, on_answer, &exchange);
  exchange_run (&exchange, &fd, listener, own);
  EXPECT_TRUE (exchange.reusable);
  exchange_run (&exchange, &fd, listener, after_other);
  EXPECT_FALSE (exchange.reusable);
  EXPECT_EQ (exchange.ended, 2);
  EXPECT_EQ (exchange.first, (std::vector<bool>{ true, false, false }));
  br_http_client_free (exchange.client);
  event_base_loop (exchange.base, EVLOOP_NONBLOCK); /* run deferred callbacks */
  event_base_free (exchange.base);
  close (fd);
  close (listener);
}

}
