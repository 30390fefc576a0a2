#include "shell/peer_link.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <inttypes.h>
#include <netinet/tcp.h>
#include <openssl/rand.h>
#include <stdio.h>
#include <string.h>

#include "shell/held_task.h"
#include "shell/peer_task.h"

/* A link that has not answered for this long is closed.  This is also the
 * timeout of the greeting on an accepted link. */
#define LINK_TIMEOUT_MS 1500

/* A dialled link that has received nothing for this long is dialled again.  TCP
 * repeats a lost SYN only after a second, and the VM may be reachable before
 * that.  The value is six times the round trip between regions. */
#define LINK_CONNECT_TIMEOUT_MS 150

/* Time from the begin of an accepted link to the peer's proof, which is two
 * round trips later. */
#define LINK_ACCEPTED_GREETING_MS (2 * LINK_TIMEOUT_MS)

/* A greeting is a hello and a proof, below 300 bytes together. */
#define GREETING_MAX_BYTES 4096

/* A partial frame of more than this must come at the rate of a body, and can be
 * shed. */
#define PARTIAL_FRAME_BYTES (64 * 1024)

/* Answers to pings are left out while this many bytes wait to be sent. */
#define PING_BACKLOG_MAX_BYTES (64 * 1024)

/* Timeout of the greeting after the peer's hello. */
#define LINK_GREETING_TIMEOUT_MS 600

/* A link is pinged when it has been idle for this long times the number of
 * dialled peers.  The pings of all links together then cost the same for any
 * number of peers. */
#define LINK_IDLE_PER_PEER_MS 50
#define LINK_IDLE_MIN_MS 2000

/* A link that the peer dialled is closed after this many idle times without a
 * message. */
#define ACCEPTED_IDLE_TIMES 3

#define LINK_BACKOFF_MAX_MS 1000

static void link_on_read (struct bufferevent *bev, void *context);
static void link_on_event (struct bufferevent *bev, short what, void *context);

static br_digest_t
link_mac (const br_peer_link_t *link,
          const br_name_t *sender,
          uint64_t incarnation,
          const uint8_t *sender_nonce,
          const uint8_t *receiver_nonce)
{
  br_str_t key = br_buf_str (&link->task->node->settings.shared_key);
  br_buf_t data = { 0 };
  br_digest_t mac;

  br_buf_printf (&data, "briarrack %d %s %" PRIu64 " ", BR_WIRE_VERSION,
                 sender->data, incarnation);
  br_buf_append (&data,
                 br_str_make ((const char *)sender_nonce, BR_NONCE_BYTES));
  br_buf_append (&data,
                 br_str_make ((const char *)receiver_nonce, BR_NONCE_BYTES));
  mac = br_digest_hmac (key, br_buf_str (&data));
  br_buf_free (&data);
  return mac;
}

static void
link_write (br_peer_link_t *link, const br_frame_t *frame)
{
  br_buf_t out = { 0 };

  br_frame_pack (frame, &out);
  bufferevent_write (link->bev, out.data, out.len);
  br_counters_add (&link->task->node->counters, BR_COUNTER_PEER_BYTES_SENT,
                   out.len);
  br_buf_free (&out);
}

static void
link_send_hello (br_peer_link_t *link)
{
  br_node_t *node = link->task->node;
  br_frame_t frame = { .kind = BR_FRAME_HELLO };

  RAND_bytes (link->nonce, sizeof link->nonce);
  frame.hello.version = BR_WIRE_VERSION;
  frame.hello.vm = node->settings.vm;
  frame.hello.incarnation = node->incarnation;
  frame.hello.failure_domain = node->settings.failure_domain;
  memcpy (frame.hello.nonce, link->nonce, sizeof link->nonce);
  link_write (link, &frame);
}

static void
link_send_proof (br_peer_link_t *link)
{
  br_node_t *node = link->task->node;
  br_frame_t frame = { .kind = BR_FRAME_PROOF };
  br_digest_t mac = link_mac (link, &node->settings.vm, node->incarnation,
                              link->nonce, link->their_nonce);

  memcpy (frame.proof.mac, mac.bytes, BR_MAC_BYTES);
  link_write (link, &frame);
}

void
br_peer_link_send (br_peer_link_t *link, br_part_t part, br_str_t payload)
{
  br_node_t *node = link->task->node;
  br_frame_t frame = { .kind = BR_FRAME_ENVELOPE };

  if (!link->awaits_answer)
    link->awaits_since_ms = br_node_now (node);
  link->awaits_answer = true;

  frame.envelope.part = part;
  frame.envelope.hlc = br_hlc_tick (&node->log.hlc, br_clock_wall ());
  frame.envelope.payload = payload;
  link_write (link, &frame);
}

static void
link_free_accepted (br_peer_link_t *link)
{
  br_peer_link_t **at = &link->task->accepted;

  while (*at != link)
    at = &(*at)->next;
  *at = link->next;
  link->task->n_accepted--;
  if (link->state == BR_PEER_LINK_GREETING)
    link->task->n_greeting--;
  free (link);
}

static void
link_post (br_peer_link_t *link, br_node_message_kind_t kind)
{
  br_node_message_t message = { .kind = kind };

  message.peer.vm = link->vm;
  message.peer.incarnation = link->incarnation;
  br_node_post (link->task->node, message);
}

void
br_peer_link_close (br_peer_link_t *link)
{
  br_node_t *node = link->task->node;
  br_ms_t jitter = (br_ms_t)br_random_below (&node->random,
                                             (uint64_t)link->backoff_ms + 1);

  if (link->bev != NULL)
    bufferevent_free (link->bev);
  link->bev = NULL;
  br_held_leave (&link->held);
  br_buf_free (&link->input);
  if (!link->dialled)
    {
      link_free_accepted (link);
      return;
    }
  if (link->state == BR_PEER_LINK_READY)
    link_post (link, BR_NODE_PEER_DOWN);
  link->state = BR_PEER_LINK_DOWN;
  link->dial_at_ms = br_node_now (node) + link->backoff_ms / 2 + jitter / 2;
  link->backoff_ms = BR_MIN (link->backoff_ms * 2, LINK_BACKOFF_MAX_MS);
}

static void
link_fail (br_peer_link_t *link, const br_error_t *err)
{
  br_node_t *node = link->task->node;

  br_log_error (&node->log, "link", "closed", err);
  br_counters_add (&node->counters, BR_COUNTER_PEER_ERRORS, 1);
  br_peer_link_close (link);
}

static const br_peer_settings_t *
task_find_peer (const br_peer_task_t *task, const br_name_t *vm)
{
  const br_peer_settings_list_t *vms = &task->node->settings.vms;

  for (size_t i = 0; i < vms->len; i++)
    if (br_name_equal (&vms->items[i].name, vm))
      return &vms->items[i];
  return NULL;
}

static bool
link_check_hello (br_peer_link_t *link,
                  const br_hello_t *hello,
                  br_error_t *err)
{
  if (hello->version != BR_WIRE_VERSION)
    return br_error_set (err, BR_ERROR_PROTOCOL, "greet", hello->vm.data,
                         "the peer uses protocol version %u, this VM uses %d",
                         hello->version, BR_WIRE_VERSION);
  if (!link->task->node->settings.open_peers
      && task_find_peer (link->task, &hello->vm) == NULL)
    return br_error_set (err, BR_ERROR_PEER, "greet", hello->vm.data,
                         "the peer is not among peers.vms of this VM");
  if (link->dialled && !br_name_equal (&link->peer.name, &hello->vm))
    return br_error_set (err, BR_ERROR_PEER, "greet", hello->vm.data,
                         "this address is configured for VM %s",
                         link->peer.name.data);
  return true;
}

static bool
link_on_hello (br_peer_link_t *link, const br_hello_t *hello, br_error_t *err)
{
  if (!link_check_hello (link, hello, err))
    return false;
  if (link->vm.len > 0)
    return br_error_set (err, BR_ERROR_PROTOCOL, "greet", link->vm.data,
                         "a second hello");
  link->vm = hello->vm;
  link->incarnation = hello->incarnation;
  memcpy (link->their_nonce, hello->nonce, BR_NONCE_BYTES);
  if (!link->dialled)
    link_send_hello (link);
  link_send_proof (link);
  return true;
}

/* Closes the older links that the peer of LINK dialled.  A VM dials again only
 * after it has closed its earlier links. */
static void
link_close_older (const br_peer_link_t *link)
{
  br_peer_link_t *next;

  for (br_peer_link_t *each = link->task->accepted; each != NULL; each = next)
    {
      next = each->next;
      if (each != link && each->state == BR_PEER_LINK_READY
          && br_name_equal (&each->vm, &link->vm))
        br_peer_link_close (each);
    }
}

static bool
link_on_proof (br_peer_link_t *link, const br_proof_t *proof, br_error_t *err)
{
  br_digest_t received;
  br_digest_t expected;

  if (link->vm.len == 0 || link->state != BR_PEER_LINK_GREETING)
    return br_error_set (err, BR_ERROR_PROTOCOL, "greet", link->vm.data,
                         "proof received before the hello or twice");
  memcpy (received.bytes, proof->mac, BR_MAC_BYTES);
  expected = link_mac (link, &link->vm, link->incarnation, link->their_nonce,
                       link->nonce);
  if (!br_digest_equal (&received, &expected))
    return br_error_set (err, BR_ERROR_UNAUTHORIZED, "greet", link->vm.data,
                         "wrong shared key");
  if (link->task->node->settings.site.role == BR_SITE_CONTROL
      && (link->dialled || br_peer_task_dials (link->task, &link->vm)))
    bufferevent_priority_set (link->bev, BR_PRIORITY_LOG);
  link->state = BR_PEER_LINK_READY;
  if (!link->dialled)
    link->task->n_greeting--;
  link->backoff_ms = BR_PEER_LINK_BACKOFF_MIN_MS;
  if (link->dialled)
    link_post (link, BR_NODE_PEER_UP);
  else
    link_close_older (link);
  return true;
}

static void
link_on_ping (br_peer_link_t *link, br_str_t payload)
{
  uint64_t sent;

  if (!link->dialled)
    {
      if (evbuffer_get_length (bufferevent_get_output (link->bev))
          <= PING_BACKLOG_MAX_BYTES)
        br_peer_link_send (link, BR_PART_LINK, payload);
    }
  else if (br_str_to_u64 (payload, &sent))
    link->delay_ms = (br_node_now (link->task->node) - (br_ms_t)sent) / 2;
}

static bool
link_on_envelope (br_peer_link_t *link,
                  const br_envelope_t *envelope,
                  br_error_t *err)
{
  br_node_t *node = link->task->node;
  br_node_message_t message = { .kind = BR_NODE_PEER_RECEIVED };

  if (link->state != BR_PEER_LINK_READY)
    return br_error_set (err, BR_ERROR_PROTOCOL, "greet", link->vm.data,
                         "message before the proof");
  br_hlc_receive (&node->log.hlc, envelope->hlc, br_clock_wall ());
  if (envelope->part == BR_PART_LINK)
    {
      link_on_ping (link, envelope->payload);
      return true;
    }
  message.peer.vm = link->vm;
  message.peer.incarnation = link->incarnation;
  message.peer.part = envelope->part;
  br_buf_append (&message.peer.payload, envelope->payload);
  br_node_post (node, message);
  return true;
}

static bool
link_on_frame (br_peer_link_t *link, const br_frame_t *frame, br_error_t *err)
{
  switch (frame->kind)
    {
    case BR_FRAME_HELLO:
      return link_on_hello (link, &frame->hello, err);
    case BR_FRAME_PROOF:
      return link_on_proof (link, &frame->proof, err);
    case BR_FRAME_ENVELOPE:
      return link_on_envelope (link, &frame->envelope, err);
    }
  return false;
}

/* Handles all whole frames that were received.  Returns false when the link
 * must be closed. */
static bool
link_read_frames (br_peer_link_t *link, br_error_t *err)
{
  size_t consumed = 0;
  bool ok = true;

  while (ok)
    {
      br_str_t rest = br_str_make (link->input.data + consumed,
                                   link->input.len - consumed);
      br_frame_t frame;
      size_t used = 0;
      br_frame_status_t status
          = br_frame_unpack (rest, link->vm.data, &frame, &used, err);

      if (status == BR_FRAME_PARTIAL)
        break;
      ok = status == BR_FRAME_READY && link_on_frame (link, &frame, err);
      br_frame_release (&frame);
      consumed += used;
    }
  br_buf_consume (&link->input, consumed);
  return ok;
}

/* Enters what the link holds into the account. */
static void
link_account (br_peer_link_t *link)
{
  if (link->input.len == 0 && link->input.cap > PARTIAL_FRAME_BYTES)
    br_buf_free (&link->input);
  br_held_set (&link->held, link->input.cap,
               link->input.len > PARTIAL_FRAME_BYTES);
}

static bool
link_check_greeting (br_peer_link_t *link, size_t len, br_error_t *err)
{
  if (link->state != BR_PEER_LINK_GREETING)
    return true;
  link->greeting_bytes += len;
  if (link->greeting_bytes <= GREETING_MAX_BYTES)
    return true;
  link->held.account->counts[BR_HELD_EXCESS]++;
  return br_error_set (err, BR_ERROR_PROTOCOL, "greet", link->vm.data,
                       "the greeting is over %d bytes", GREETING_MAX_BYTES);
}

static void
link_on_read (struct bufferevent *bev, void *context)
{
  br_peer_link_t *link = context;
  br_held_account_t *account = link->held.account;
  struct evbuffer *input = bufferevent_get_input (bev);
  size_t len = evbuffer_get_length (input);
  size_t before = link->input.len;
  br_ms_t now = br_node_now (link->task->node);
  br_error_t err;

  br_buf_reserve (&link->input, len);
  evbuffer_remove (input, link->input.data + link->input.len, len);
  link->input.len += len;
  link->last_seen_ms = now;
  link->awaits_answer = false;
  br_counters_add (&link->task->node->counters, BR_COUNTER_PEER_BYTES_RECEIVED,
                   len);
  if (!link_read_frames (link, &err) || !link_check_greeting (link, len, &err))
    {
      link_fail (link, &err);
      return;
    }
  if (link->input.len < before + len)
    {
      link->frame_ms = now;
      br_held_begin (&link->held, now);
    }
  br_held_progress (&link->held, len, now);
  link_account (link);
  if (br_held_is_over (account))
    br_held_shed (account, now);
}

/* Nagle's algorithm would delay a message until the one before it is
 * acknowledged. */
void
br_peer_link_set_nodelay (br_peer_link_t *link)
{
  int on = 1;

  setsockopt (bufferevent_getfd (link->bev), IPPROTO_TCP, TCP_NODELAY, &on,
              sizeof on);
}

static void
link_on_event (struct bufferevent *bev, short what, void *context)
{
  br_peer_link_t *link = context;

  (void)bev;
  if (what & BEV_EVENT_CONNECTED)
    {
      br_peer_link_set_nodelay (link);
      link_send_hello (link);
    }
  else if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
    br_peer_link_close (link);
}

static void
link_shed (void *owner)
{
  br_peer_link_t *link = owner;
  br_error_t err;

  br_error_set (&err, BR_ERROR_UNAVAILABLE, "read frame", link->vm.data,
                "this VM holds as many bytes as it may");
  link_fail (link, &err);
}

void
br_peer_link_start (br_peer_link_t *link, evutil_socket_t fd)
{
  br_node_t *node = link->task->node;

  link->bev = bufferevent_socket_new (node->base, fd, BEV_OPT_CLOSE_ON_FREE);
  link->state = BR_PEER_LINK_GREETING;
  link->vm = (br_name_t){ 0 };
  link->last_seen_ms = br_node_now (node);
  link->began_ms = link->frame_ms = link->last_seen_ms;
  link->greeting_bytes = 0;
  link->awaits_answer = false;
  link->held.shed = link_shed;
  link->held.owner = link;
  link->held.bytes = 0;
  br_held_join (&link->held, br_held_task_account (node->held),
                link->last_seen_ms);
  bufferevent_setcb (link->bev, link_on_read, NULL, link_on_event, link);
  bufferevent_enable (link->bev, EV_READ | EV_WRITE);
}

void
br_peer_link_dial (br_peer_link_t *link)
{
  struct sockaddr_storage address;
  int len;

  if (!br_endpoint_to_sockaddr (&link->peer.endpoint, &address, &len))
    return;
  br_peer_link_start (link, -1);
  if (bufferevent_socket_connect (link->bev, (struct sockaddr *)&address, len)
      != 0)
    br_peer_link_close (link);
}

static void
link_ping (br_peer_link_t *link)
{
  char stamp[24];

  snprintf (stamp, sizeof stamp, "%" PRId64, br_node_now (link->task->node));
  br_peer_link_send (link, BR_PART_LINK, br_str_from (stamp));
}

static br_ms_t
link_idle_ms (const br_peer_link_t *link)
{
  br_ms_t idle_ms = (br_ms_t)link->task->n_dialled * LINK_IDLE_PER_PEER_MS;

  return BR_MAX (idle_ms, LINK_IDLE_MIN_MS);
}

/* Returns how long nothing has been received when that exceeds the timeout of
 * the link's state, or 0. */
static br_ms_t
link_overdue_ms (const br_peer_link_t *link, br_ms_t now)
{
  br_ms_t timeout_ms = LINK_TIMEOUT_MS;
  br_ms_t since_ms = link->last_seen_ms;

  /* An accepted link may not put off the end of its greeting byte by byte. */
  if (link->state == BR_PEER_LINK_GREETING && !link->dialled
      && now - link->began_ms > LINK_ACCEPTED_GREETING_MS)
    return now - link->began_ms;
  if (link->state == BR_PEER_LINK_GREETING && link->dialled)
    timeout_ms = link->vm.len == 0 ? LINK_CONNECT_TIMEOUT_MS
                                   : LINK_GREETING_TIMEOUT_MS;
  else if (link->state == BR_PEER_LINK_READY && !link->dialled)
    timeout_ms = link_idle_ms (link) * ACCEPTED_IDLE_TIMES;
  else if (link->state == BR_PEER_LINK_READY)
    since_ms = link->awaits_answer ? link->awaits_since_ms : now;
  return now - since_ms > timeout_ms ? now - since_ms : 0;
}

void
br_peer_link_check (br_peer_link_t *link)
{
  br_ms_t now = br_node_now (link->task->node);
  br_ms_t overdue_ms;
  br_error_t err;

  if (link->bev == NULL)
    {
      if (link->dialled && now >= link->dial_at_ms)
        br_peer_link_dial (link);
      return;
    }
  if (link->input.len > PARTIAL_FRAME_BYTES
      && br_held_is_slow (link->held.account, link->input.len, link->frame_ms,
                          now))
    {
      link->held.account->counts[BR_HELD_SLOW]++;
      br_error_set (&err, BR_ERROR_TIMEOUT, "read frame", link->vm.data,
                    "%zu bytes in %" PRId64 " ms", link->input.len,
                    now - link->frame_ms);
      link_fail (link, &err);
      return;
    }
  overdue_ms = link_overdue_ms (link, now);
  if (overdue_ms > 0)
    {
      const char *peer = link->dialled ? link->peer.name.data : link->vm.data;

      br_error_set (&err, BR_ERROR_TIMEOUT, "heartbeat", peer,
                    "nothing received for %" PRId64 " ms", overdue_ms);
      link_fail (link, &err);
    }
  else if (link->dialled && link->state == BR_PEER_LINK_READY
           && (link->awaits_answer
               || now - link->last_seen_ms > link_idle_ms (link)))
    link_ping (link);
}
