/* Checks that a call that was given up is not delivered later, that an answer
 * without end ends its call, and that an answer that was cut or has an invalid
 * head is none. */
#include <arpa/inet.h>
#include <event2/event.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <thread>

extern "C"
{
#include "shell/http_call.h"
}

/* The peer's buffer is smaller than the body and the sender's is not, so that a
 * part waits in the sender's system. */
#define PEER_BUFFER_BYTES 4096
#define BODY_BYTES (32 * 1024)

static void
on_done (void *context, int status, br_str_t body)
{
  (void)body;
  *(int *)context = status;
}

/* Reads everything that the peer has sent and still sends within a second. */
static size_t
read_all (int fd)
{
  static char bytes[65536];
  struct pollfd poll_fd = { fd, POLLIN, 0 };
  size_t total = 0;

  while (poll (&poll_fd, 1, 1000) > 0)
    {
      ssize_t n = recv (fd, bytes, sizeof bytes, 0);

      if (n <= 0)
        break;
      total += (size_t)n;
    }
  return total;
}

TEST (HttpCall, CallThatWasGivenUpIsNotDeliveredLater)
{
  struct event_base *base = event_base_new ();
  br_http_calls_t *calls = br_http_calls_new (base);
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in address = {};
  socklen_t len = sizeof address;
  std::string body (BODY_BYTES, 'x');
  br_http_call_options_t options = {};
  int buffer_bytes = PEER_BUFFER_BYTES;
  int status = -1;

  setsockopt (listener, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
              sizeof buffer_bytes);
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  ASSERT_EQ (bind (listener, (struct sockaddr *)&address, sizeof address), 0);
  ASSERT_EQ (listen (listener, 1), 0);
  ASSERT_EQ (getsockname (listener, (struct sockaddr *)&address, &len), 0);
  options.address = "127.0.0.1";
  options.port = ntohs (address.sin_port);
  options.method = EVHTTP_REQ_POST;
  options.path = "/order";
  options.body = br_str_make (body.data (), body.size ());
  options.timeout_ms = 200;
  options.done = on_done;
  options.context = &status;
  br_http_call (calls, &options);
  while (status < 0)
    event_base_loop (base, EVLOOP_ONCE);
  EXPECT_EQ (status, 0);

  int peer = accept (listener, nullptr, nullptr);

  ASSERT_GE (peer, 0);
  EXPECT_LT (read_all (peer), body.size ());
  close (peer);
  close (listener);
  br_http_calls_free (calls);
  event_base_free (base);
}

/* Most bytes of an answer without end that a peer can send: the limit, and as
 * much in socket buffers. */
#define ENDLESS_BYTES_MAX (2 * BR_HTTP_CALL_BODY_MAX)

/* Accepts one connection, sends HEAD and then REPEAT until it breaks.  Returns
 * the number of bytes sent. */
static size_t
send_endless (int listener, const std::string &head, const std::string &repeat)
{
  int peer = accept (listener, nullptr, nullptr);
  char request[4096];
  std::string block;
  size_t total = 0;
  ssize_t n;

  if (recv (peer, request, sizeof request, 0) <= 0)
    return 0;
  while (block.size () < 16384)
    block += repeat;
  n = send (peer, head.data (), head.size (), MSG_NOSIGNAL);
  while (n > 0 && total < 4 * ENDLESS_BYTES_MAX)
    {
      total += (size_t)n;
      n = send (peer, block.data (), block.size (), MSG_NOSIGNAL);
    }
  close (peer);
  return total;
}

TEST (HttpCall, AnswerWithoutEndEndsTheCall)
{
  static const std::string ok = "HTTP/1.1 200 OK\r\n";
  static const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  static const std::string filler (64, 'x');
  static const struct
  {
    const char *name;
    std::string head;
    std::string repeat;
  } cases[] = {
    { "status line", "HTTP/1.1 200 ", filler },
    { "interim answers", "HTTP/1.1 100 Continue\r\n\r\n",
      "HTTP/1.1 100 Continue\r\nX-Filler: " + filler + "\r\n\r\n" },
    { "header line", ok + "X-Filler: ", filler },
    { "headers", ok, "X-Filler: " + filler + "\r\n" },
    { "chunk size", chunked, "0000000000000000" },
    { "chunk extension", chunked + "1;x=", filler },
    { "chunk extensions", chunked, "1;x=" + filler + "\r\n:\r\n" },
    { "trailer", chunked + "0\r\n", "X-Filler: " + filler + "\r\n" },
    { "chunks", chunked, "40\r\n" + filler + "\r\n" },
    { "body", ok + "\r\n", filler },
  };

  for (const auto &endless : cases)
    {
      struct event_base *base = event_base_new ();
      br_http_calls_t *calls = br_http_calls_new (base);
      int listener = socket (AF_INET, SOCK_STREAM, 0);
      struct sockaddr_in address = {};
      socklen_t len = sizeof address;
      br_http_call_options_t options = {};
      size_t sent = 0;
      int status = -1;

      address.sin_family = AF_INET;
      address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
      ASSERT_EQ (bind (listener, (struct sockaddr *)&address, sizeof address),
                 0);
      ASSERT_EQ (listen (listener, 1), 0);
      ASSERT_EQ (getsockname (listener, (struct sockaddr *)&address, &len), 0);
      options.address = "127.0.0.1";
      options.port = ntohs (address.sin_port);
      options.method = EVHTTP_REQ_GET;
      options.path = "/list";
      options.timeout_ms = 20000;
      options.done = on_done;
      options.context = &status;
      std::thread peer ([&] {
        sent = send_endless (listener, endless.head, endless.repeat);
      });
      br_http_call (calls, &options);
      while (status < 0)
        event_base_loop (base, EVLOOP_ONCE);
      peer.join ();
      EXPECT_EQ (status, 0) << endless.name;
      EXPECT_GT (sent, 0u) << endless.name;
      EXPECT_LT (sent, (size_t)ENDLESS_BYTES_MAX) << endless.name;
      close (listener);
      br_http_calls_free (calls);
      event_base_free (base);
    }
}

/* Is no status. */
static const int not_ended = -1000;

/* Returns the status of a call with a body of BODY_LEN bytes to a peer that
 * handles its connection with PEER, which closes it. */
static int
call_status (size_t body_len, const std::function<void (int)> &handle)
{
  struct event_base *base = event_base_new ();
  br_http_calls_t *calls = br_http_calls_new (base);
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in address = {};
  socklen_t len = sizeof address;
  std::string body (body_len, 'x');
  br_http_call_options_t options = {};
  int buffer_bytes = PEER_BUFFER_BYTES;
  int status = not_ended;

  signal (SIGPIPE, SIG_IGN);
  setsockopt (listener, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
              sizeof buffer_bytes);
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  EXPECT_EQ (bind (listener, (struct sockaddr *)&address, sizeof address), 0);
  EXPECT_EQ (listen (listener, 1), 0);
  EXPECT_EQ (getsockname (listener, (struct sockaddr *)&address, &len), 0);
  options.address = "127.0.0.1";
  options.port = ntohs (address.sin_port);
  options.method = EVHTTP_REQ_POST;
  options.path = "/order";
  options.body = br_str_make (body.data (), body.size ());
  options.timeout_ms = 5000;
  options.done = on_done;
  options.context = &status;
  std::thread peer ([&] { handle (accept (listener, nullptr, nullptr)); });
  br_http_call (calls, &options);
  while (status == not_ended)
    event_base_loop (base, EVLOOP_ONCE);
  br_http_calls_free (calls);
  event_base_loop (base, EVLOOP_NONBLOCK);
  peer.join ();
  close (listener);
  event_base_free (base);
  return status;
}

/* Sends ANSWER when the request has begun. */
static void
send_answer (int fd, const std::string &answer)
{
  char byte;

  recv (fd, &byte, 1, MSG_PEEK);
  send (fd, answer.data (), answer.size (), MSG_NOSIGNAL);
}

static const std::string unframed = "HTTP/1.1 200 OK\r\n\r\n[1, 2";
static const size_t long_body = 4 * 1024 * 1024;

TEST (HttpCall, AnswerCutByAResetIsNone)
{
  EXPECT_EQ (call_status (long_body,
                          [] (int fd) {
                            struct linger now = { 1, 0 };

                            send_answer (fd, unframed);
                            setsockopt (fd, SOL_SOCKET, SO_LINGER, &now,
                                        sizeof now);
                            close (fd);
                          }),
             0);
}

/* The peer reads what has come, but never the whole request. */
TEST (HttpCall, AnswerCutByACloseBeforeTheRequestWasReadIsNone)
{
  for (int i = 0; i < 20; i++)
    EXPECT_EQ (call_status (long_body,
                            [] (int fd) {
                              char bytes[16384];
                              size_t total = 0;
                              ssize_t n;

                              send_answer (fd, unframed);
                              while (total < long_body / 2
                                     && (n = recv (fd, bytes, sizeof bytes,
                                                   MSG_DONTWAIT))
                                            > 0)
                                total += (size_t)n;
                              close (fd);
                            }),
               0);
}

TEST (HttpCall, AnswerThatEndsInOrderIsWhole)
{
  EXPECT_EQ (call_status (2,
                          [] (int fd) {
                            char bytes[16384];

                            send_answer (fd, unframed);
                            shutdown (fd, SHUT_WR);
                            while (recv (fd, bytes, sizeof bytes, 0) > 0)
                              ;
                            close (fd);
                          }),
             200);
}

TEST (HttpCall, AnswerWithAnInvalidHeadIsNone)
{
  static const std::string length = "Content-Length: 2\r\n\r\n{}";
  static const struct
  {
    std::string answer;
    int status;
  } cases[] = {
    { "HTTP/1.1 200 OK\r\n" + length, 200 },
    { "HTTP/1.1 404 None\r\nPart: a\r\n" + length, 404 },
    { "HTTP/1.1 000 OK\r\n" + length, BR_HTTP_CALL_INVALID },
    { "HTTP/1.1 0200 OK\r\n" + length, BR_HTTP_CALL_INVALID },
    { "HTTP/1.1 600 OK\r\n" + length, BR_HTTP_CALL_INVALID },
    { "HTTP/1.1 1000 OK\r\n" + length, BR_HTTP_CALL_INVALID },
    { "HTTP/1.1 200 OK\r\nA Part: a\r\n" + length, BR_HTTP_CALL_INVALID },
    { "HTTP/1.1 200 OK\r\nA\001Part: a\r\n" + length, BR_HTTP_CALL_INVALID },
    { "HTTP/1.1 200 OK\r\nPart: a\001\r\n" + length, BR_HTTP_CALL_INVALID },
    { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + length,
      BR_HTTP_CALL_INVALID },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n" + length,
      BR_HTTP_CALL_INVALID },
  };

  for (const auto &each : cases)
    EXPECT_EQ (call_status (2,
                            [&] (int fd) {
                              char bytes[4096];

                              send_answer (fd, each.answer);
                              while (recv (fd, bytes, sizeof bytes, 0) > 0)
                                ;
                              close (fd);
                            }),
               each.status)
        << each.answer;
}
