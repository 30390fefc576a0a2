/* Runs one TCP connection with another entry VM: greeting, frames, heartbeat.
 * Also holds the private types that the two files of the peer task share. */
#ifndef BR_SHELL_PEER_LINK_H
#define BR_SHELL_PEER_LINK_H

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "http/held_bytes.h"
#include "shell/node.h"

BR_BEGIN_DECLS

/* First delay before a lost link is dialled again.  It doubles with each
 * failure. */
#define BR_PEER_LINK_BACKOFF_MIN_MS 50

typedef enum
{
  BR_PEER_LINK_DOWN,
  BR_PEER_LINK_GREETING, /* connecting, or waiting for the peer's proof */
  BR_PEER_LINK_READY,
} br_peer_link_state_t;

/* One TCP connection with another VM, dialled or accepted. */
typedef struct br_peer_link
{
  br_peer_task_t *task;
  struct bufferevent *bev;
  bool dialled;
  br_peer_link_state_t state;
  br_name_t vm; /* the peer; empty until its hello */
  uint64_t incarnation;
  uint8_t nonce[BR_NONCE_BYTES];
  uint8_t their_nonce[BR_NONCE_BYTES];
  br_buf_t input;
  br_held_t held;
  br_ms_t began_ms;      /* when the connection began */
  size_t greeting_bytes; /* received before the peer's proof */
  br_ms_t frame_ms;      /* when the frame that is incomplete began */
  br_ms_t last_seen_ms;
  bool awaits_answer;      /* something was sent since the last receipt */
  br_ms_t awaits_since_ms; /* when the first of these was sent */
  br_ms_t delay_ms;        /* half of the last ping's round trip */
  br_ms_t backoff_ms;
  br_ms_t dial_at_ms;
  br_peer_settings_t peer;   /* only of a dialled link */
  struct br_peer_link *next; /* in the list of accepted links */
} br_peer_link_t;

struct br_peer_task
{
  br_node_t *node;
  struct evconnlistener *listener;
  struct event *timer;
  br_peer_link_t **dialled; /* one for each known peer */
  size_t n_dialled;
  br_peer_link_t *accepted; /* linked list */
  size_t n_accepted;
  size_t n_greeting; /* of these without a valid greeting */
};

/* Starts the link on the connected socket FD.  With -1 the caller connects
 * link->bev next. */
void br_peer_link_start (br_peer_link_t *link, evutil_socket_t fd);

/* Connects to the address of link->peer. */
void br_peer_link_dial (br_peer_link_t *link);

/* Sets TCP_NODELAY. */
void br_peer_link_set_nodelay (br_peer_link_t *link);

/* Sends PAYLOAD to PART; the link must be ready. */
void br_peer_link_send (br_peer_link_t *link, br_part_t part, br_str_t payload);

/* Dials a link that is down, pings one that is idle or on which an answer is
 * due, and closes one that has timed out.  An accepted link may be freed. */
void br_peer_link_check (br_peer_link_t *link);

/* Closes the link.  A dialled one is dialled again after its backoff; an
 * accepted one is freed and must not be used again. */
void br_peer_link_close (br_peer_link_t *link);

BR_END_DECLS

#endif
