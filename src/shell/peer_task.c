#include "shell/peer_task.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <inttypes.h>
#include <netinet/tcp.h>
#include <openssl/rand.h>
#include <stdio.h>
#include <string.h>

/* A link that has not answered for this long is dropped. */
#define LINK_SILENCE_MS 1500

/* Time between two looks at the links; one that owes an answer is pinged. */
#define LINK_CHECK_MS 250

/* An idle link is pinged once in this time for each peer in the settings, so
 * that all the links together cost the same however many there are. */
#define LINK_IDLE_PER_PEER_MS 50
#define LINK_IDLE_MIN_MS 2000

/* Idle times after which a link that the other side dialled is dropped. */
#define ACCEPTED_IDLE_TIMES 3

#define LINK_BACKOFF_MIN_MS 50
#define LINK_BACKOFF_MAX_MS 1000

/* Bytes waiting on one link before messages are dropped. */
#define LINK_BACKLOG_MAX (8 * 1024 * 1024)

/* Incoming links at once, for each peer in the settings. */
#define ACCEPTED_PER_PEER 4

typedef enum
{
  LINK_DOWN,
  LINK_GREETING, /* hello sent, proof of the other side awaited */
  LINK_READY,
} link_state_t;

/* One TCP connection with another VM, dialled or accepted. */
typedef struct link
{
  br_peer_task_t *task;
  struct bufferevent *bev;
  bool dialled;
  link_state_t state;
  br_name_t vm; /* of the other side; empty until its hello */
  uint64_t incarnation;
  uint8_t nonce[BR_NONCE_BYTES];
  uint8_t their_nonce[BR_NONCE_BYTES];
  br_buf_t input;
  br_ms_t heard_ms;
  bool owes_answer; /* something was sent since it was heard */
  br_ms_t owed_ms;  /* since when */
  br_ms_t delay_ms;
  br_ms_t backoff_ms;
  br_ms_t dial_at_ms;
  const br_peer_settings_t *settings; /* of a dialled link */
  struct link *next;                  /* of accepted links */
} link_t;

struct br_peer_task
{
  br_node_t *node;
  struct evconnlistener *listener;
  struct event *timer;
  link_t *dialled; /* one for each peer in the settings */
  size_t n_dialled;
  link_t *accepted;
  size_t n_accepted;
};

static void link_on_read (struct bufferevent *bev, void *context);
static void link_on_event (struct bufferevent *bev, short what, void *context);

static br_digest_t
link_mac (const link_t *link,
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
link_write (link_t *link, const br_frame_t *frame)
{
  br_buf_t out = { 0 };

  br_frame_pack (frame, &out);
  bufferevent_write (link->bev, out.data, out.len);
  br_counters_add (&link->task->node->counters, BR_COUNTER_PEER_BYTES_SENT,
                   out.len);
  br_buf_free (&out);
}

static void
link_send_hello (link_t *link)
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
link_send_proof (link_t *link)
{
  br_node_t *node = link->task->node;
  br_frame_t frame = { .kind = BR_FRAME_PROOF };
  br_digest_t mac = link_mac (link, &node->settings.vm, node->incarnation,
                              link->nonce, link->their_nonce);

  memcpy (frame.proof.mac, mac.bytes, BR_MAC_BYTES);
  link_write (link, &frame);
}

static void
link_send_envelope (link_t *link, br_part_t part, br_str_t payload)
{
  br_node_t *node = link->task->node;
  br_frame_t frame = { .kind = BR_FRAME_ENVELOPE };

  if (!link->owes_answer)
    link->owed_ms = br_node_now (node);
  link->owes_answer = true;

  frame.envelope.part = part;
  frame.envelope.hlc = br_hlc_tick (&node->log.hlc, br_clock_wall ());
  frame.envelope.payload = payload;
  link_write (link, &frame);
}

static void
link_forget_accepted (link_t *link)
{
  link_t **at = &link->task->accepted;

  while (*at != link)
    at = &(*at)->next;
  *at = link->next;
  link->task->n_accepted--;
  free (link);
}

static void
link_post (link_t *link, br_node_message_kind_t kind)
{
  br_node_message_t message = { .kind = kind };

  message.peer.vm = link->vm;
  message.peer.incarnation = link->incarnation;
  br_node_post (link->task->node, message);
}

/* Closes the link.  A dialled one is dialled again after its backoff; an
 * accepted one is freed and must not be used again. */
static void
link_close (link_t *link)
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
  if (link->state == LINK_READY)
    link_post (link, BR_NODE_PEER_DOWN);
  link->state = LINK_DOWN;
  link->dial_at_ms = br_node_now (node) + link->backoff_ms / 2 + jitter / 2;
  link->backoff_ms = BR_MIN (link->backoff_ms * 2, LINK_BACKOFF_MAX_MS);
}

static void
link_fail (link_t *link, const br_error_t *err)
{
  br_node_t *node = link->task->node;

  br_log_error (&node->log, "link", "closed", err);
  br_counters_add (&node->counters, BR_COUNTER_PEER_ERRORS, 1);
  link_close (link);
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
link_check_hello (link_t *link, const br_hello_t *hello, br_error_t *err)
{
  if (hello->version != BR_WIRE_VERSION)
    return br_error_set (err, BR_ERROR_PROTOCOL, "greet", hello->vm.data,
                         "peer speaks version %u, this VM version %d",
                         hello->version, BR_WIRE_VERSION);
  if (task_find_peer (link->task, &hello->vm) == NULL)
    return br_error_set (err, BR_ERROR_PEER, "greet", hello->vm.data,
                         "this VM is not among peers.vms");
  if (link->dialled && !br_name_equal (&link->settings->name, &hello->vm))
    return br_error_set (err, BR_ERROR_PEER, "greet", hello->vm.data,
                         "expected %s at this address",
                         link->settings->name.data);
  return true;
}

static bool
link_on_hello (link_t *link, const br_hello_t *hello, br_error_t *err)
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
link_close_older (const link_t *link)
{
  link_t *next;

  for (link_t *each = link->task->accepted; each != NULL; each = next)
    {
      next = each->next;
      if (each != link && each->state == LINK_READY
          && br_name_equal (&each->vm, &link->vm))
        link_close (each);
    }
}

static bool
link_on_proof (link_t *link, const br_proof_t *proof, br_error_t *err)
{
  br_digest_t got;
  br_digest_t wanted;

  if (link->vm.len == 0 || link->state != LINK_GREETING)
    return br_error_set (err, BR_ERROR_PROTOCOL, "greet", link->vm.data,
                         "proof out of turn");
  memcpy (got.bytes, proof->mac, BR_MAC_BYTES);
  wanted = link_mac (link, &link->vm, link->incarnation, link->their_nonce,
                     link->nonce);
  if (!br_digest_equal (&got, &wanted))
    return br_error_set (err, BR_ERROR_UNAUTHORIZED, "greet", link->vm.data,
                         "wrong shared key");
  link->state = LINK_READY;
  link->backoff_ms = LINK_BACKOFF_MIN_MS;
  if (link->dialled)
    link_post (link, BR_NODE_PEER_UP);
  else
    link_close_older (link);
  return true;
}

static void
link_on_ping (link_t *link, br_str_t payload)
{
  uint64_t sent;

  if (!link->dialled)
    link_send_envelope (link, BR_PART_LINK, payload);
  else if (br_str_to_u64 (payload, &sent))
    link->delay_ms = (br_node_now (link->task->node) - (br_ms_t)sent) / 2;
}

static bool
link_on_envelope (link_t *link, const br_envelope_t *envelope, br_error_t *err)
{
  br_node_t *node = link->task->node;
  br_node_message_t message = { .kind = BR_NODE_PEER_RECEIVED };

  if (link->state != LINK_READY)
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
link_on_frame (link_t *link, const br_frame_t *frame, br_error_t *err)
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
link_take_frames (link_t *link, br_error_t *err)
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
  link_t *link = context;
  struct evbuffer *input = bufferevent_get_input (bev);
  size_t len = evbuffer_get_length (input);
  br_error_t err;

  br_buf_reserve (&link->input, len);
  evbuffer_remove (input, link->input.data + link->input.len, len);
  link->input.len += len;
  link->heard_ms = br_node_now (link->task->node);
  link->owes_answer = false;
  br_counters_add (&link->task->node->counters, BR_COUNTER_PEER_BYTES_RECEIVED,
                   len);
  if (!link_take_frames (link, &err))
    link_fail (link, &err);
}

/* A message that follows another must not wait for the acknowledgement of the
 * first. */
static void
link_send_at_once (link_t *link)
{
  int on = 1;

  setsockopt (bufferevent_getfd (link->bev), IPPROTO_TCP, TCP_NODELAY, &on,
              sizeof on);
}

static void
link_on_event (struct bufferevent *bev, short what, void *context)
{
  link_t *link = context;

  (void)bev;
  if (what & BEV_EVENT_CONNECTED)
    {
      link_send_at_once (link);
      link_send_hello (link);
    }
  else if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
    link_close (link);
}

static void
link_start (link_t *link, evutil_socket_t fd)
{
  br_node_t *node = link->task->node;

  link->bev = bufferevent_socket_new (node->base, fd, BEV_OPT_CLOSE_ON_FREE);
  link->state = LINK_GREETING;
  link->vm = (br_name_t){ 0 };
  link->heard_ms = br_node_now (node);
  link->owes_answer = false;
  bufferevent_setcb (link->bev, link_on_read, NULL, link_on_event, link);
  bufferevent_enable (link->bev, EV_READ | EV_WRITE);
}

static void
link_dial (link_t *link)
{
  struct sockaddr_storage address;
  int len;

  if (!br_endpoint_to_sockaddr (&link->settings->endpoint, &address, &len))
    return;
  link_start (link, -1);
  if (bufferevent_socket_connect (link->bev, (struct sockaddr *)&address, len)
      != 0)
    link_close (link);
}

static void
link_ping (link_t *link)
{
  char stamp[24];

  snprintf (stamp, sizeof stamp, "%" PRId64, br_node_now (link->task->node));
  link_send_envelope (link, BR_PART_LINK, br_str_from (stamp));
}

static br_ms_t
link_idle_ms (const link_t *link)
{
  br_ms_t idle_ms = (br_ms_t)link->task->n_dialled * LINK_IDLE_PER_PEER_MS;

  return BR_MAX (idle_ms, LINK_IDLE_MIN_MS);
}

/* Returns how long the link has been silent beyond what is to be expected, or
 * 0. */
static br_ms_t
link_silent_ms (const link_t *link, br_ms_t now)
{
  br_ms_t bound_ms = LINK_SILENCE_MS;
  br_ms_t since_ms = link->heard_ms;

  if (link->state == LINK_READY && !link->dialled)
    bound_ms = link_idle_ms (link) * ACCEPTED_IDLE_TIMES;
  else if (link->state == LINK_READY)
    since_ms = link->owes_answer ? link->owed_ms : now;
  return now - since_ms > bound_ms ? now - since_ms : 0;
}

static void
link_check (link_t *link)
{
  br_ms_t now = br_node_now (link->task->node);
  br_ms_t silent_ms;
  br_error_t err;

  if (link->bev == NULL)
    {
      if (link->dialled && now >= link->dial_at_ms)
        link_dial (link);
      return;
    }
  silent_ms = link_silent_ms (link, now);
  if (silent_ms > 0)
    {
      const char *peer
          = link->dialled ? link->settings->name.data : link->vm.data;

      br_error_set (&err, BR_ERROR_TIMEOUT, "heartbeat", peer,
                    "nothing heard for %" PRId64 " ms", silent_ms);
      link_fail (link, &err);
    }
  else if (link->dialled && link->state == LINK_READY
           && (link->owes_answer || now - link->heard_ms > link_idle_ms (link)))
    link_ping (link);
}

static void
task_on_timer (evutil_socket_t fd, short what, void *context)
{
  br_peer_task_t *task = context;
  link_t *next;

  (void)fd;
  (void)what;
  for (size_t i = 0; i < task->n_dialled; i++)
    link_check (&task->dialled[i]);
  for (link_t *link = task->accepted; link != NULL; link = next)
    {
      next = link->next;
      link_check (link);
    }
}

static void
task_on_accept (struct evconnlistener *listener,
                evutil_socket_t fd,
                struct sockaddr *address,
                int len,
                void *context)
{
  br_peer_task_t *task = context;
  link_t *link;

  (void)listener;
  (void)address;
  (void)len;
  if (task->n_accepted >= task->n_dialled * ACCEPTED_PER_PEER)
    {
      evutil_closesocket (fd);
      br_counters_add (&task->node->counters, BR_COUNTER_PEER_ERRORS, 1);
      return;
    }
  link = br_alloc_zero (sizeof *link);
  link->task = task;
  link->next = task->accepted;
  task->accepted = link;
  task->n_accepted++;
  link_start (link, fd);
  link_send_at_once (link);
}

static bool
task_listen (br_peer_task_t *task, br_error_t *err)
{
  const br_endpoint_t *endpoint = &task->node->settings.peers;
  struct sockaddr_storage address;
  int len;

  if (br_endpoint_to_sockaddr (endpoint, &address, &len))
    task->listener
        = evconnlistener_new_bind (task->node->base, task_on_accept, task,
                                   LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                   -1, (struct sockaddr *)&address, len);
  if (task->listener != NULL)
    return true;
  return br_error_set (err, BR_ERROR_INTERNAL, "listen for peers", "",
                       "%s port %d: %s", endpoint->address, (int)endpoint->port,
                       strerror (errno));
}

static void
task_add_peers (br_peer_task_t *task)
{
  br_peer_settings_list_t *vms = &task->node->settings.vms;

  task->n_dialled = vms->len;
  task->dialled = br_alloc_zero (vms->len * sizeof *task->dialled);
  for (size_t i = 0; i < vms->len; i++)
    {
      link_t *link = &task->dialled[i];

      link->task = task;
      link->dialled = true;
      link->settings = &vms->items[i];
      link->backoff_ms = LINK_BACKOFF_MIN_MS;
      link_dial (link);
    }
}

br_peer_task_t *
br_peer_task_new (br_node_t *node, br_error_t *err)
{
  br_peer_task_t *task = br_alloc_zero (sizeof *task);
  struct timeval period = { 0, LINK_CHECK_MS * 1000 };

  task->node = node;
  if (!task_listen (task, err))
    {
      free (task);
      return NULL;
    }
  task_add_peers (task);
  task->timer = event_new (node->base, -1, EV_PERSIST, task_on_timer, task);
  event_add (task->timer, &period);
  return task;
}

void
br_peer_task_free (br_peer_task_t *task)
{
  if (task == NULL)
    return;
  for (size_t i = 0; i < task->n_dialled; i++)
    {
      if (task->dialled[i].bev != NULL)
        bufferevent_free (task->dialled[i].bev);
      br_buf_free (&task->dialled[i].input);
    }
  while (task->accepted != NULL)
    link_close (task->accepted);
  free (task->dialled);
  event_free (task->timer);
  evconnlistener_free (task->listener);
  free (task);
}

static link_t *
task_find_link (const br_peer_task_t *task, const br_name_t *vm)
{
  for (size_t i = 0; i < task->n_dialled; i++)
    if (br_name_equal (&task->dialled[i].settings->name, vm))
      return &task->dialled[i];
  return NULL;
}

bool
br_peer_task_is_up (const br_peer_task_t *task, const br_name_t *vm)
{
  const link_t *link = task_find_link (task, vm);

  return link != NULL && link->state == LINK_READY;
}

bool
br_peer_task_send (br_peer_task_t *task,
                   const br_name_t *vm,
                   br_part_t part,
                   br_str_t payload)
{
  link_t *link = task_find_link (task, vm);

  if (link == NULL || link->state != LINK_READY)
    return false;
  if (evbuffer_get_length (bufferevent_get_output (link->bev))
      > LINK_BACKLOG_MAX)
    return false;
  link_send_envelope (link, part, payload);
  return true;
}

void
br_peer_task_status (const br_peer_task_t *task, br_buf_t *out)
{
  for (size_t i = 0; i < task->n_dialled; i++)
    {
      const link_t *link = &task->dialled[i];

      br_buf_printf (out,
                     "%s{\"vm\":\"%s\",\"failure_domain\":\"%s\","
                     "\"up\":%s,\"delay_ms\":%" PRId64 "}",
                     i > 0 ? "," : "", link->settings->name.data,
                     link->settings->failure_domain.data,
                     link->state == LINK_READY ? "true" : "false",
                     link->delay_ms);
    }
}
