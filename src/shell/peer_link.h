/* One TCP connection with another entry VM: greeting, frames, heartbeat; and
 * the inside of the peer task, which its two files share. */
#ifndef BR_SHELL_PEER_LINK_H
#define BR_SHELL_PEER_LINK_H

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "shell/node.h"

BR_BEGIN_DECLS

/* First wait before a lost link is dialled again. */
#define BR_PEER_LINK_BACKOFF_MIN_MS 50

typedef enum
{
  BR_PEER_LINK_DOWN,
  BR_PEER_LINK_GREETING, /* hello sent, proof of the other side awaited */
  BR_PEER_LINK_READY,
} br_peer_link_state_t;

/* One TCP connection with another VM, dialled or accepted. */
typedef struct br_peer_link
{
  br_peer_task_t *task;
  struct bufferevent *bev;
  bool dialled;
  br_peer_link_state_t state;
  br_name_t vm; /* of the other side; empty until its hello */
  uint64_t incarnation;
  uint8_t nonce[BR_NONCE_BYTES];
  uint8_t their_nonce[BR_NONCE_BYTES];
  br_buf_t input;
  br_ms_t last_seen_ms;
  bool awaits_answer;      /* something was sent since it was heard */
  br_ms_t awaits_since_ms; /* since when */
  br_ms_t delay_ms;
  br_ms_t backoff_ms;
  br_ms_t dial_at_ms;
  br_peer_settings_t peer;   /* of a dialled link */
  struct br_peer_link *next; /* of accepted links */
} br_peer_link_t;

struct br_peer_task
{
  br_node_t *node;
  struct evconnlistener *listener;
  struct event *timer;
  br_peer_link_t **dialled; /* one for each known peer */
  size_t n_dialled;
  br_peer_link_t *accepted;
  size_t n_accepted;
};

/* Takes the connected socket FD, or -1 for one that is connected next. */
void br_peer_link_start (br_peer_link_t *link, evutil_socket_t fd);
void br_peer_link_dial (br_peer_link_t *link);

/* Turns Nagle's algorithm off. */
void br_peer_link_send_at_once (br_peer_link_t *link);

/* Sends PAYLOAD to PART; the link must be ready. */
void br_peer_link_send (br_peer_link_t *link, br_part_t part, br_str_t payload);

/* Pings, dials or drops the link as its silence asks.  An accepted link may be
 * freed. */
void br_peer_link_check (br_peer_link_t *link);

/* Closes the link.  A dialled one is dialled again after its backoff; an
 * accepted one is freed and must not be used again. */
void br_peer_link_close (br_peer_link_t *link);

BR_END_DECLS

#endif
