#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

extern "C"
{
#include "shell/connection_pool.h"
}

/* Long enough for the system's send buffer to hold it, and too long for the
 * peer's receive buffer. */
#define BODY_BYTES 100000

static int
listen_on_loopback (uint16_t *port)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int buffer = 4096;
  sockaddr_in address = {};
  socklen_t len = sizeof address;

  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
  EXPECT_EQ (bind (fd, (sockaddr *)&address, sizeof address), 0);
  EXPECT_EQ (listen (fd, 1), 0);
  EXPECT_EQ (getsockname (fd, (sockaddr *)&address, &len), 0);
  *port = ntohs (address.sin_port);
  return fd;
}

static void
ignore_answer (struct evhttp_request *, void *)
{
}

/* A request that only the system's buffer holds has not been sent whole, so an
 * answer that comes then is not the answer to it. */
TEST (ConnectionPool, WhatThePeerHasNotReceivedIsUnsent)
{
  uint16_t port;
  int listener = listen_on_loopback (&port);
  event_base *base = event_base_new ();
  evhttp_connection *connection
      = evhttp_connection_base_new (base, nullptr, "127.0.0.1", port);
  bufferevent *bev = evhttp_connection_get_bufferevent (connection);
  evhttp_request *request = evhttp_request_new (ignore_answer, nullptr);
  std::string body (BODY_BYTES, 'x');
  int buffer = 4 * BODY_BYTES;
  int peer;
  char bytes[4096];

  evbuffer_add (evhttp_request_get_output_buffer (request), body.data (),
                body.size ());
  evhttp_make_request (connection, request, EVHTTP_REQ_POST, "/");
  ASSERT_GE (bufferevent_getfd (bev), 0);
  setsockopt (bufferevent_getfd (bev), SOL_SOCKET, SO_SNDBUF, &buffer,
              sizeof buffer);
  peer = accept (listener, nullptr, nullptr);
  ASSERT_GE (peer, 0);
  /* Until the whole request has left this process. */
  for (int i = 0; i < 500; i++)
    {
      event_base_loop (base, EVLOOP_NONBLOCK);
      usleep (1000);
    }
  ASSERT_EQ (evbuffer_get_length (bufferevent_get_output (bev)), 0u);
  EXPECT_TRUE (br_connection_has_unsent (connection));
  for (size_t got = 0; got < BODY_BYTES;)
    {
      ssize_t n = read (peer, bytes, sizeof bytes);

      ASSERT_GT (n, 0);
      got += (size_t)n;
    }
  for (int i = 0; i < 1000 && br_connection_has_unsent (connection); i++)
    {
      recv (peer, bytes, sizeof bytes, MSG_DONTWAIT);
      usleep (1000);
    }
  EXPECT_FALSE (br_connection_has_unsent (connection));
  evhttp_connection_free (connection);
  event_base_free (base);
  close (peer);
  close (listener);
}
