#include "shell/peer_link.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <inttypes.h>
#include <netinet/tcp.h>
#include <openssl/rand.h>
#include <stdio.h>
#include <string.h>

#include "shell/peer_task.h"

/* A link that has not answered for this long is dropped. */
#define LINK_SILENCE_MS 1500

/* A dialled link on which nothing was heard for this long is dialled anew: the
 * packet that opens it is sent again only after a second, and its VM may be
 * back before.  Six times the way there and back between regions. */
#define LINK_CONNECT_MS 150

/* The greeting that has begun may take this long. */
#define LINK_GREETING_MS 600

/* An idle link is pinged once in this time for each peer in the settings, so
 * that all the links together cost the same however many there are. */
#define LINK_IDLE_PER_PEER_MS 50
#define LINK_IDLE_MIN_MS 2000

/* Idle times after which a link that the other side dialled is dropped. */
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
link_forget_accepted (br_peer_link_t *link)
{
  br_peer_link_t **at = &link->task->accepted;

  while (*at != link)
    at = &(*at)->next;
  *at = link->next;
  link->task->n_accepted--;
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

/* Closes the link.  A dialled one is dialled again after its backoff; an
 * accepted one is freed and must not be used again. */
void
br_peer_link_close (br_peer_link_t *link)
{
  br_node_t *node = link->task->node;
  br_ms_t jitter = (br_ms_t)br_random_below (&node->random,
                                             (uint64_t)link->backoff_ms + 1);

  if (link->bev != NULL)
    bufferevent_free (link->bev);
  link->bev = NULL;
  br_buf_free (&link->input);
  if (!link->dialled)
    {
      link_forget_accepted (link);
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
                         "peer speaks version %u, this VM version %d",
                         hello->version, BR_WIRE_VERSION);
  if (!link->task->node->settings.open_peers
      && task_find_peer (link->task, &hello->vm) == NULL)
    return br_error_set (err, BR_ERROR_PEER, "greet", hello->vm.data,
                         "this VM is not among peers.vms");
  if (link->dialled && !br_name_equal (&link->peer.name, &hello->vm))
    return br_error_set (err, BR_ERROR_PEER, "greet", hello->vm.data,
                         "expected %s at this address", link->peer.name.data);
  return true;
}

static bool
link_on_hello (br_peer_link_t *link, const br_hello_t *hello, br_error_t *err)
{
  if (!link_check_hello (link, hello, err))
    return false;
  link->vm = hello->vm;
  link->incarnation = hello->incarnation;
  memcpy (link->their_nonce, hello->nonce, BR_NONCE_BYTES);
  if (!link->dialled)
    link_send_hello (link);
  link_send_proof (link);
  return true;
}

/* A VM that dials anew has given up the links that it dialled before. */
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
  br_digest_t got;
  br_digest_t wanted;

  if (link->vm.len == 0 || link->state != BR_PEER_LINK_GREETING)
    return br_error_set (err, BR_ERROR_PROTOCOL, "greet", link->vm.data,
                         "proof out of turn");
  memcpy (got.bytes, proof->mac, BR_MAC_BYTES);
  wanted = link_mac (link, &link->vm, link->incarnation, link->their_nonce,
                     link->nonce);
  if (!br_digest_equal (&got, &wanted))
    return br_error_set (err, BR_ERROR_UNAUTHORIZED, "greet", link->vm.data,
                         "wrong shared key");
  if (link->task->node->settings.site.role == BR_SITE_CONTROL
      && (link->dialled || br_peer_task_dials (link->task, &link->vm)))
    bufferevent_priority_set (link->bev, BR_PRIORITY_LOG);
  link->state = BR_PEER_LINK_READY;
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
    br_peer_link_send (link, BR_PART_LINK, payload);
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

/* Handles all whole frames; false when the link must be closed. */
static bool
link_take_frames (br_peer_link_t *link, br_error_t *err)
{
  size_t taken = 0;
  bool ok = true;

  while (ok)
    {
      br_str_t rest
          = br_str_make (link->input.data + taken, link->input.len - taken);
      br_frame_t frame;
      size_t used = 0;
      br_frame_status_t status
          = br_frame_unpack (rest, link->vm.data, &frame, &used, err);

      if (status == BR_FRAME_PARTIAL)
        break;
      ok = status == BR_FRAME_READY && link_on_frame (link, &frame, err);
      br_frame_release (&frame);
      taken += used;
    }
  br_buf_consume (&link->input, taken);
  return ok;
}

static void
link_on_read (struct bufferevent *bev, void *context)
{
  br_peer_link_t *link = context;
  struct evbuffer *input = bufferevent_get_input (bev);
  size_t len = evbuffer_get_length (input);
  br_error_t err;

  br_buf_reserve (&link->input, len);
  evbuffer_remove (input, link->input.data + link->input.len, len);
  link->input.len += len;
  link->last_seen_ms = br_node_now (link->task->node);
  link->awaits_answer = false;
  br_counters_add (&link->task->node->counters, BR_COUNTER_PEER_BYTES_RECEIVED,
                   len);
  if (!link_take_frames (link, &err))
    link_fail (link, &err);
}

/* A message that follows another must not wait for the acknowledgement of the
 * first. */
void
br_peer_link_send_at_once (br_peer_link_t *link)
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
      br_peer_link_send_at_once (link);
      link_send_hello (link);
    }
  else if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
    br_peer_link_close (link);
}

void
br_peer_link_start (br_peer_link_t *link, evutil_socket_t fd)
{
  br_node_t *node = link->task->node;

  link->bev = bufferevent_socket_new (node->base, fd, BEV_OPT_CLOSE_ON_FREE);
  link->state = BR_PEER_LINK_GREETING;
  link->vm = (br_name_t){ 0 };
  link->last_seen_ms = br_node_now (node);
  link->awaits_answer = false;
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

/* Returns how long the link has been silent beyond what is to be expected, or
 * 0. */
static br_ms_t
link_silent_ms (const br_peer_link_t *link, br_ms_t now)
{
  br_ms_t bound_ms = LINK_SILENCE_MS;
  br_ms_t since_ms = link->last_seen_ms;

  if (link->state == BR_PEER_LINK_GREETING && link->dialled)
    bound_ms = link->vm.len == 0 ? LINK_CONNECT_MS : LINK_GREETING_MS;
  else if (link->state == BR_PEER_LINK_READY && !link->dialled)
    bound_ms = link_idle_ms (link) * ACCEPTED_IDLE_TIMES;
  else if (link->state == BR_PEER_LINK_READY)
    since_ms = link->awaits_answer ? link->awaits_since_ms : now;
  return now - since_ms > bound_ms ? now - since_ms : 0;
}

void
br_peer_link_check (br_peer_link_t *link)
{
  br_ms_t now = br_node_now (link->task->node);
  br_ms_t silent_ms;
  br_error_t err;

  if (link->bev == NULL)
    {
      if (link->dialled && now >= link->dial_at_ms)
        br_peer_link_dial (link);
      return;
    }
  silent_ms = link_silent_ms (link, now);
  if (silent_ms > 0)
    {
      const char *peer = link->dialled ? link->peer.name.data : link->vm.data;

      br_error_set (&err, BR_ERROR_TIMEOUT, "heartbeat", peer,
                    "nothing heard for %" PRId64 " ms", silent_ms);
      link_fail (link, &err);
    }
  else if (link->dialled && link->state == BR_PEER_LINK_READY
           && (link->awaits_answer
               || now - link->last_seen_ms > link_idle_ms (link)))
    link_ping (link);
}
