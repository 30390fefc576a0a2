// Tests the decision whether a peer closed a connection in order, and that a
// client connection ends a response without a length accordingly.
#include <arpa/inet.h>
#include <event2/event.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <thread>

#include "http/http_client.h"
#include "http/peer_close.h"

namespace
{

struct Case
{
  const char *name;
  br_peer_close_t close; // is_reset, is_in_flight, unacked_first, unacked
  bool has_waited;
  br_peer_close_kind_t kind;
};

const Case cases[] = {
  { "all received", { false, false, 0, 0 }, false, BR_PEER_CLOSE_ORDERLY },
  { "all received since",
    { false, false, 9, 0 },
    false,
    BR_PEER_CLOSE_ORDERLY },
  { "still receives", { false, true, 9, 5 }, false, BR_PEER_CLOSE_ORDERLY },
  { "not known yet", { false, true, 9, 9 }, false, BR_PEER_CLOSE_UNKNOWN },
  { "no room, not known",
    { false, false, 9, 9 },
    false,
    BR_PEER_CLOSE_UNKNOWN },
  { "no room", { false, false, 9, 9 }, true, BR_PEER_CLOSE_ORDERLY },
  { "neither in time", { false, true, 9, 9 }, true, BR_PEER_CLOSE_UNKNOWN },
  { "reset", { true, true, 9, 9 }, false, BR_PEER_CLOSE_RESET },
  { "reset at once", { true, false, 0, 0 }, false, BR_PEER_CLOSE_RESET },
  { "reset, received more", { true, false, 9, 5 }, true, BR_PEER_CLOSE_RESET },
};

TEST (PeerClose, OnlyAPeerThatHasReceivedAllOrStillReceivesClosedInOrder)
{
  for (const Case &each : cases)
    EXPECT_EQ (br_peer_close_kind (&each.close, each.has_waited), each.kind)
        << each.name;
}

// How a response ended.
struct Ended
{
  event_base *base;
  std::string body;
  bool whole = false;
  bool failed = false;
  br_client_fault_t fault = BR_CLIENT_FAULT_CONNECT;
};

void
on_event (void *context, br_http_client_t *, const br_client_event_t *event)
{
  Ended *ended = static_cast<Ended *> (context);

  if (event->kind == BR_CLIENT_BODY)
    ended->body.append (event->body.data, event->body.len);
  if (event->kind != BR_CLIENT_END && event->kind != BR_CLIENT_FAILED)
    return;
  ended->whole = event->kind == BR_CLIENT_END;
  ended->failed = event->kind == BR_CLIENT_FAILED;
  if (ended->failed)
    ended->fault = event->fault;
  event_base_loopbreak (ended->base);
}

// Sends a response without a length when the request has begun.
void
write_answer (int fd)
{
  static const char answer[] = "HTTP/1.1 200 OK\r\n\r\nhalf";
  char byte;

  recv (fd, &byte, 1, MSG_PEEK);
  send (fd, answer, sizeof answer - 1, MSG_NOSIGNAL);
}

// Waits until the sender's bytes fill both systems' buffers.
void
fill_up ()
{
  std::this_thread::sleep_for (std::chrono::milliseconds (100));
}

const size_t upload_bytes = 4 * 1024 * 1024;
std::atomic<bool> client_ended;

// Sends an upload to a peer that handles its connection with PEER, which closes
// it, and returns how the response ended.
Ended
upload (const std::function<void (int)> &peer)
{
  std::string body (upload_bytes, 'x');
  std::string request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: "
                        + std::to_string (body.size ()) + "\r\n\r\n" + body;
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = {};
  socklen_t len = sizeof address;
  int buffer = 16384;
  Ended ended = {};
  timeval most = { 10, 0 };

  signal (SIGPIPE, SIG_IGN);
  client_ended = false;
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (listener, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
  EXPECT_EQ (bind (listener, reinterpret_cast<sockaddr *> (&address), len), 0);
  EXPECT_EQ (listen (listener, 1), 0);
  getsockname (listener, reinterpret_cast<sockaddr *> (&address), &len);
  std::thread thread ([&] { peer (accept (listener, nullptr, nullptr)); });
  ended.base = event_base_new ();
  br_http_client_t *client = br_http_client_new (
      ended.base, reinterpret_cast<sockaddr *> (&address), sizeof address);
  br_http_client_set_owner (client, on_event, &ended);
  br_http_client_send (client, br_str_make (request.data (), request.size ()));
  event_base_loopexit (ended.base, &most);
  event_base_dispatch (ended.base);
  client_ended = true;
  br_http_client_free (client);
  event_base_loop (ended.base, EVLOOP_NONBLOCK); // run deferred callbacks
  event_base_free (ended.base);
  thread.join ();
  close (listener);
  return ended;
}

TEST (PeerClose, ResetBehindAnAnswerIsNotItsEnd)
{
  Ended ended = upload ([] (int fd) {
    linger now = { 1, 0 };

    write_answer (fd);
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close (fd);
  });

  EXPECT_TRUE (ended.failed);
  EXPECT_EQ (ended.fault, BR_CLIENT_FAULT_RESET);
}

TEST (PeerClose, CloseThatResetsWhatComesLaterIsNotTheEnd)
{
  Ended ended = upload ([] (int fd) {
    char bytes[65536];
    size_t total = 0; // never the whole request
    ssize_t n;

    write_answer (fd);
    while (total < upload_bytes / 2
           && (n = recv (fd, bytes, sizeof bytes, MSG_DONTWAIT)) > 0)
      total += static_cast<size_t> (n);
    close (fd);
  });

  EXPECT_TRUE (ended.failed);
}

TEST (PeerClose, PeerThatReadsOnHasEndedItsAnswer)
{
  Ended ended = upload ([] (int fd) {
    char bytes[65536];

    fill_up ();
    write_answer (fd);
    shutdown (fd, SHUT_WR);
    while (recv (fd, bytes, sizeof bytes, 0) > 0)
      ;
    close (fd);
  });

  EXPECT_TRUE (ended.whole);
  EXPECT_EQ (ended.body, "half");
}

// The end comes late, but it comes.
TEST (PeerClose, PeerThatReadsNoMoreHasEndedItsAnswer)
{
  Ended ended = upload ([] (int fd) {
    fill_up ();
    write_answer (fd);
    shutdown (fd, SHUT_WR);
    while (!client_ended)
      std::this_thread::sleep_for (std::chrono::milliseconds (1));
    close (fd);
  });

  EXPECT_TRUE (ended.whole);
  EXPECT_EQ (ended.body, "half");
}

} // namespace
